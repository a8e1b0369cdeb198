package batch

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// maxCachedEntries is the number of entries that a reader caches, because
// neighbouring chunks share an entry. Each takes up to a megabyte.
const maxCachedEntries = 2

// entryReader reads entries of DataStream and caches the latest ones. Each
// background service or request uses its own, because an entryReader is not safe
// for concurrent use.
type entryReader struct {
	journal coordination.Journal
	cached  []cachedEntry
}

type cachedEntry struct {
	at    protocol.Offset
	entry bulk.Entry
}

func newEntryReader(journal coordination.Journal) *entryReader {
	return &entryReader{journal: journal}
}

// read returns the entry at an offset.
func (r *entryReader) read(ctx context.Context, at protocol.Offset) (bulk.Entry, error) {
	for _, c := range r.cached {
		if c.at == at {
			return c.entry, nil
		}
	}
	payload, err := r.journal.ReadData(ctx, at)
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
