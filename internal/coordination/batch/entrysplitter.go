package batch

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
)

// errTooLarge is returned if an input file or one of its lines exceeds a limit.
var errTooLarge = errors.New("too large")

// entrySplitter splits an input stream into entries of DataStream. Its memory use
// is that of one entry plus the hashes in seen, whatever the size of the file.
type entrySplitter struct {
	opts   Options
	reader *bufio.Reader
	hash   *xxhash.Digest
	// seen contains the hashes of the custom ids so far, 8 bytes per item, to
	// save memory. With a million items the probability that two different ids
	// collide is 1 in 10^7. A collision rejects the upload and never loses an
	// item.
	seen   map[uint64]struct{}
	models map[protocol.ModelName]struct{}

	// endpoint is the endpoint that all lines must have, empty before the first.
	endpoint string
	// line, items and bytes count the lines, items and bytes read so far.
	line  int
	items int
	bytes int64
	// pending is an item that did not fit in the previous entry.
	pending *bulk.Item
}

func newEntrySplitter(opts Options, input io.Reader) *entrySplitter {
	return &entrySplitter{
		opts:   opts,
		reader: bufio.NewReaderSize(input, opts.MaxLineBytes+1),
		hash:   xxhash.New(),
		seen:   map[uint64]struct{}{},
		models: map[protocol.ModelName]struct{}{},
	}
}

// maxEntryItems limits an entry to a few chunks. Larger entries would save
// appends, but an instance reads the whole entry to load one chunk.
const maxEntryItems = 8 * protocol.MaxChunkItems

// next returns the items of the next entry, or none at the end of the file.
func (s *entrySplitter) next() ([]bulk.Item, error) {
	var items []bulk.Item
	size := 0
	for len(items) < maxEntryItems {
		item, err := s.item()
		if errors.Is(err, io.EOF) {
			return items, nil
		}
		if err != nil {
			return nil, err
		}
		size += len(item.Body) + len(item.CustomID) + len(item.Model) + itemOverhead
		if size > bulk.MaxPayload && len(items) > 0 {
			s.pending = item
			return items, nil
		}
		items = append(items, *item)
	}
	return items, nil
}

// itemOverhead is an upper bound on the bytes that the encoding adds to an item.
const itemOverhead = 32

// item returns the next item, or io.EOF at the end of the file.
func (s *entrySplitter) item() (*bulk.Item, error) {
	if s.pending != nil {
		item := s.pending
		s.pending = nil
		return item, nil
	}
	for {
		text, err := s.readLine()
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		return s.parse(text)
	}
}

// readLine returns the next line, or io.EOF at the end of the file. The line is
// valid until the next call.
func (s *entrySplitter) readLine() ([]byte, error) {
	text, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("line %d is longer than %d bytes: %w", s.line+1, s.opts.MaxLineBytes, errTooLarge)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if len(text) == 0 {
		return nil, io.EOF
	}
	s.line++
	s.bytes += int64(len(text))
	if s.bytes > s.opts.MaxFileBytes {
		return nil, fmt.Errorf("the file is larger than %d bytes: %w", s.opts.MaxFileBytes, errTooLarge)
	}
	_, _ = s.hash.Write(text)
	return text, nil
}

// parse validates a line and checks it against the previous ones.
func (s *entrySplitter) parse(text []byte) (*bulk.Item, error) {
	item, endpoint, err := parseLine(s.line, text)
	if err != nil {
		return nil, err
	}
	if s.endpoint == "" {
		s.endpoint = endpoint
	}
	if endpoint != s.endpoint {
		return nil, &LineError{Line: s.line, Field: "url", Reason: "differs from the previous lines"}
	}
	id := xxhash.Sum64String(item.CustomID)
	if _, duplicate := s.seen[id]; duplicate {
		return nil, &LineError{Line: s.line, Field: "custom_id", Reason: "occurs more than once in the file"}
	}
	s.seen[id] = struct{}{}
	s.models[item.Model] = struct{}{}
	s.items++
	if s.items > s.opts.MaxFileItems {
		return nil, fmt.Errorf("the file has more than %d items: %w", s.opts.MaxFileItems, errTooLarge)
	}
	return &item, nil
}
