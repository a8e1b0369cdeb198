package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/wait"
)

// maxCachedEntries is the number of entries that a reader caches, because
// neighbouring chunks share an entry. Each takes up to a megabyte.
const maxCachedEntries = 2

const (
	// persistentTries is the number of reads of one entry by a reader whose user
	// would lose the entries read before.
	persistentTries = 5
	// firstRetryPause is the time before the first retry. Each further pause is
	// twice as long.
	firstRetryPause = 200 * time.Millisecond
)

// entryReader reads entries of DataStream and caches the latest ones. Each
// background service or request uses its own, because an entryReader is not safe
// for concurrent use.
type entryReader struct {
	journal coordination.Journal
	cached  []cachedEntry
	// tries is the number of reads of one entry before a temporary failure is
	// returned.
	tries int
}

type cachedEntry struct {
	at    protocol.Offset
	entry bulk.Entry
}

func newEntryReader(journal coordination.Journal) *entryReader {
	return &entryReader{journal: journal, tries: 1}
}

// newPersistentEntryReader returns a reader that retries after a temporary
// failure.
func newPersistentEntryReader(journal coordination.Journal) *entryReader {
	return &entryReader{journal: journal, tries: persistentTries}
}

// read returns the entry at an offset.
func (r *entryReader) read(ctx context.Context, at protocol.Offset) (bulk.Entry, error) {
	for _, c := range r.cached {
		if c.at == at {
			return c.entry, nil
		}
	}
	payload, err := r.readPayload(ctx, at)
	if err != nil {
		return bulk.Entry{}, trace.Wrap(err)
	}
	entry, err := bulk.Decode(payload)
	if err != nil {
		return bulk.Entry{}, trace.Wrap(err)
	}
	if len(r.cached) == maxCachedEntries {
		r.cached = r.cached[1:]
	}
	r.cached = append(r.cached, cachedEntry{at, entry})
	return entry, nil
}

// readPayload reads the payload of an entry, with retries if the reader has any.
func (r *entryReader) readPayload(ctx context.Context, at protocol.Offset) ([]byte, error) {
	pause := firstRetryPause
	payload, err := r.journal.ReadData(ctx, at)
	for try := 1; try < r.tries && mayBeReadLater(err); try++ {
		if !wait.For(ctx, pause) {
			return nil, ctx.Err()
		}
		pause *= 2
		payload, err = r.journal.ReadData(ctx, at)
	}
	return payload, err
}

// mayBeReadLater reports whether a read failed and may succeed if it is repeated.
func mayBeReadLater(err error) bool {
	return err != nil && !isUnrecoverable(err) && !trace.IsNotFound(err)
}

// items returns the items of a chunk.
func (r *entryReader) items(ctx context.Context, ref protocol.ChunkRef) ([]bulk.Item, error) {
	entry, err := r.read(ctx, ref.Offset)
	if err != nil {
		return nil, err
	}
	if ref.First < 0 || ref.Items < 1 || ref.First+ref.Items > len(entry.Items) {
		return nil, trace.Wrap(fmt.Errorf("entry %d does not contain the chunk: %w", ref.Offset, protocol.ErrMalformed))
	}
	return entry.Items[ref.First : ref.First+ref.Items], nil
}

// results returns the results of a chunk in the entry at an offset.
func (r *entryReader) results(ctx context.Context, at protocol.Offset, id ledger.ChunkID) ([]bulk.Result, error) {
	entry, err := r.read(ctx, at)
	if err != nil {
		return nil, err
	}
	for _, section := range entry.Results {
		if section.Job == id.Job && section.Chunk == id.Chunk {
			return section.Results, nil
		}
	}
	return nil, trace.Wrap(fmt.Errorf("entry %d contains no results of chunk %v: %w", at, id, protocol.ErrMalformed))
}
