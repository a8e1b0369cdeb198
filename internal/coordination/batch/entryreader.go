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

// keptEntries is the number of entries that a reader keeps: neighbouring chunks
// share them. Each takes up to a megabyte.
const keptEntries = 2

// entryReader reads entries of DataStream for one duty or request. It is not
// safe for concurrent use.
type entryReader struct {
	journal coordination.Journal
	kept    []keptEntry
}

type keptEntry struct {
	at    protocol.Offset
	entry bulk.Entry
}

func newEntryReader(journal coordination.Journal) *entryReader {
	return &entryReader{journal: journal}
}

func (r *entryReader) read(ctx context.Context, at protocol.Offset) (bulk.Entry, error) {
	for _, kept := range r.kept {
		if kept.at == at {
			return kept.entry, nil
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
	if len(r.kept) == keptEntries {
		r.kept = r.kept[1:]
	}
	r.kept = append(r.kept, keptEntry{at, entry})
	return entry, nil
}

// items returns the items of a chunk.
func (r *entryReader) items(ctx context.Context, ref protocol.ChunkRef) ([]bulk.Item, error) {
	entry, err := r.read(ctx, ref.Offset)
	if err != nil {
		return nil, err
	}
	if ref.First < 0 || ref.Items < 1 || ref.First+ref.Items > len(entry.Items) {
		return nil, trace.Wrap(fmt.Errorf("entry %d does not hold the chunk: %w", ref.Offset, protocol.ErrMalformed))
	}
	return entry.Items[ref.First : ref.First+ref.Items], nil
}

// results returns the results of a chunk that an entry holds.
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
	return nil, trace.Wrap(fmt.Errorf("entry %d holds no results of %v: %w", at, id, protocol.ErrMalformed))
}
