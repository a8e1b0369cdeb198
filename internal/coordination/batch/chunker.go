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

// errTooLarge: an input file or line exceeds its bound.
var errTooLarge = errors.New("too large")

// chunker cuts an input file into entries while it streams by, so that a file
// of any size takes the memory of one entry.
type chunker struct {
	opts   Options
	reader *bufio.Reader
	hash   *xxhash.Digest
	// seen holds the hashes of custom ids: 8 bytes in place of the ids. That
	// two different ids of a file collide is one chance in 10^7 at a million
	// items, and shows as a refused upload, never as a lost item.
	seen   map[uint64]struct{}
	models map[protocol.ModelName]struct{}

	endpoint string
	line     int
	items    int
	bytes    int64
	pending  *bulk.Item
}

func newChunker(opts Options, input io.Reader) *chunker {
	return &chunker{
		opts:   opts,
		reader: bufio.NewReaderSize(input, opts.MaxLineBytes+1),
		hash:   xxhash.New(),
		seen:   map[uint64]struct{}{},
		models: map[protocol.ModelName]struct{}{},
	}
}

// entryItems bounds the items of an entry to a few chunks. More would save
// appends, and make whoever takes one chunk read all the others.
const entryItems = 8 * protocol.MaxChunkItems

// next returns the items of the next entry, none at the end of the file.
func (c *chunker) next() ([]bulk.Item, error) {
	var chunk []bulk.Item
	size := 0
	for len(chunk) < entryItems {
		item, err := c.item()
		if errors.Is(err, io.EOF) {
			return chunk, nil
		}
		if err != nil {
			return nil, err
		}
		size += len(item.Body) + len(item.CustomID) + len(item.Model) + itemOverhead
		if size > bulk.MaxPayload && len(chunk) > 0 {
			c.pending = item
			return chunk, nil
		}
		chunk = append(chunk, *item)
	}
	return chunk, nil
}

// itemOverhead is a generous bound on what encoding adds to an item, in bytes.
const itemOverhead = 32

func (c *chunker) item() (*bulk.Item, error) {
	if c.pending != nil {
		item := c.pending
		c.pending = nil
		return item, nil
	}
	for {
		text, err := c.readLine()
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		return c.parse(text)
	}
}

func (c *chunker) readLine() ([]byte, error) {
	text, err := c.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("line %d has more than %d bytes: %w", c.line+1, c.opts.MaxLineBytes, errTooLarge)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if len(text) == 0 {
		return nil, io.EOF
	}
	c.line++
	c.bytes += int64(len(text))
	if c.bytes > c.opts.MaxFileBytes {
		return nil, fmt.Errorf("file has more than %d bytes: %w", c.opts.MaxFileBytes, errTooLarge)
	}
	_, _ = c.hash.Write(text)
	return text, nil
}

func (c *chunker) parse(text []byte) (*bulk.Item, error) {
	item, endpoint, err := parseLine(c.line, text)
	if err != nil {
		return nil, err
	}
	if c.endpoint == "" {
		c.endpoint = endpoint
	}
	if endpoint != c.endpoint {
		return nil, &LineError{Line: c.line, Field: "url", Reason: "differs from the lines before"}
	}
	id := xxhash.Sum64String(item.CustomID)
	if _, twice := c.seen[id]; twice {
		return nil, &LineError{Line: c.line, Field: "custom_id", Reason: "stands twice in the file"}
	}
	c.seen[id] = struct{}{}
	c.models[item.Model] = struct{}{}
	c.items++
	if c.items > c.opts.MaxFileItems {
		return nil, fmt.Errorf("file has more than %d items: %w", c.opts.MaxFileItems, errTooLarge)
	}
	return &item, nil
}
