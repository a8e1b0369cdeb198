package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

func readEntry(ctx context.Context, journal coordination.Journal, at protocol.Offset) (bulk.Entry, error) {
	payload, err := journal.ReadData(ctx, at)
	if err != nil {
		return bulk.Entry{}, trace.Wrap(err)
	}
	entry, err := bulk.Decode(payload)
	return entry, trace.Wrap(err)
}

// readItems returns the items of a chunk.
func readItems(ctx context.Context, journal coordination.Journal, ref protocol.ChunkRef) ([]bulk.Item, error) {
	entry, err := readEntry(ctx, journal, ref.Offset)
	if err != nil {
		return nil, err
	}
	return cut(entry, ref)
}

func cut(entry bulk.Entry, ref protocol.ChunkRef) ([]bulk.Item, error) {
	if ref.First < 0 || ref.Items < 1 || ref.First+ref.Items > len(entry.Items) {
		return nil, trace.Wrap(fmt.Errorf("entry %d does not hold the chunk: %w", ref.Offset, protocol.ErrMalformed))
	}
	return entry.Items[ref.First : ref.First+ref.Items], nil
}

// readResults returns the results of a chunk that an entry holds.
func readResults(ctx context.Context, journal coordination.Journal, at protocol.Offset, id ledger.ChunkID) ([]bulk.Result, error) {
	entry, err := readEntry(ctx, journal, at)
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

// writeInput writes items as the lines they came in, in a canonical order of
// fields.
func writeInput(out io.Writer, endpoint string, items []bulk.Item) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	for _, item := range items {
		line := InputLine{CustomID: item.CustomID, Method: http.MethodPost, URL: endpoint, Body: item.Body}
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}
