package journal

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

const (
	// snapshotChunkBytes leaves room in an entry for the encoding.
	snapshotChunkBytes = protocol.MaxEntryBytes - 1024
	// snapshotScan is how many entries are read at a time when the stream is
	// searched backwards for the newest manifest.
	snapshotScan = 8
	// maxSnapshotBytes bounds what a forged manifest can make a reader load.
	maxSnapshotBytes = 256 << 20
)

// snapshotEntry is one entry of the snapshot stream: a chunk, or the manifest
// that is appended after all chunks and makes the snapshot complete.
type snapshotEntry struct {
	Chunk    []byte            `cbor:"1,keyasint,omitempty"`
	Manifest *snapshotManifest `cbor:"2,keyasint,omitempty"`
}

// snapshotManifest names the chunks of a snapshot in order.
type snapshotManifest struct {
	// Applied is the offset of the control stream that the snapshot covers.
	Applied protocol.Offset   `cbor:"1,keyasint"`
	Chunks  []protocol.Offset `cbor:"2,keyasint"`
	// Bytes and Sum (xxhash64) are of the whole snapshot.
	Bytes int    `cbor:"3,keyasint"`
	Sum   uint64 `cbor:"4,keyasint"`
}

// appendSnapshot writes a snapshot to the stream.
func (j *Journal) appendSnapshot(ctx context.Context, applied protocol.Offset, data []byte) error {
	manifest := snapshotManifest{Applied: applied, Bytes: len(data), Sum: xxhash.Sum64(data)}
	for rest := data; len(rest) > 0; {
		size := min(len(rest), snapshotChunkBytes)
		at, err := j.appendSnapshotEntry(ctx, snapshotEntry{Chunk: rest[:size]})
		if err != nil {
			return err
		}
		manifest.Chunks = append(manifest.Chunks, at)
		rest = rest[size:]
	}
	_, err := j.appendSnapshotEntry(ctx, snapshotEntry{Manifest: &manifest})
	return err
}

func (j *Journal) appendSnapshotEntry(ctx context.Context, entry snapshotEntry) (protocol.Offset, error) {
	payload, err := protocol.Marshal(entry)
	if err != nil {
		return protocol.NoOffset, trace.Wrap(err)
	}
	return j.appendRetrying(ctx, protocol.SnapshotStream, payload)
}

// newestSnapshot finds the newest complete snapshot. A manifest whose chunks
// have left retention, or don't match its sum, is passed over. The error is
// errNoSnapshot if the stream holds none.
func (j *Journal) newestSnapshot(ctx context.Context) ([]byte, error) {
	oldest, next, err := j.snapshotBounds(ctx)
	if err != nil {
		return nil, err
	}
	for end := next; end > oldest; {
		begin := max(oldest, end-snapshotScan)
		entries, err := j.readSnapshotEntries(ctx, begin, int(end-begin))
		if err != nil {
			return nil, err
		}
		for i := len(entries) - 1; i >= 0; i-- {
			data, err := j.assemble(ctx, entries[i])
			if err == nil {
				return data, nil
			}
			if !errors.Is(err, errNoSnapshot) {
				return nil, err
			}
		}
		end = begin
	}
	return nil, errNoSnapshot
}

func (j *Journal) snapshotBounds(ctx context.Context) (oldest, next protocol.Offset, err error) {
	page, err := j.readSnapshotPage(ctx, 0, 1)
	if errors.Is(err, external.ErrTrimmed) {
		page, err = j.readSnapshotPage(ctx, page.Oldest, 1)
	}
	return page.Oldest, page.Next, err
}

func (j *Journal) readSnapshotPage(ctx context.Context, from protocol.Offset, limit int) (external.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, j.timings.ReadTimeout)
	defer cancel()
	return j.log.Read(ctx, protocol.SnapshotStream, from, limit, 0)
}

// readSnapshotEntries reads entries; those that left retention or don't decode
// come back empty.
func (j *Journal) readSnapshotEntries(ctx context.Context, from protocol.Offset, count int) ([]snapshotEntry, error) {
	page, err := j.readSnapshotPage(ctx, from, count)
	if err != nil && !errors.Is(err, external.ErrTrimmed) {
		return nil, trace.Wrap(err)
	}
	entries := make([]snapshotEntry, 0, len(page.Entries))
	for _, raw := range page.Entries {
		entries = append(entries, decodeSnapshotEntry(raw.Payload))
	}
	return entries, nil
}

// decodeSnapshotEntry decodes an entry; one that is malformed is empty.
func decodeSnapshotEntry(payload []byte) snapshotEntry {
	var entry snapshotEntry
	if err := protocol.Unmarshal(payload, &entry); err != nil {
		return snapshotEntry{}
	}
	return entry
}

// assemble reads the chunks that a manifest names.
func (j *Journal) assemble(ctx context.Context, entry snapshotEntry) ([]byte, error) {
	manifest := entry.Manifest
	if manifest == nil || manifest.Bytes < 0 || manifest.Bytes > maxSnapshotBytes {
		return nil, errNoSnapshot
	}
	var whole bytes.Buffer
	for _, at := range manifest.Chunks {
		entries, err := j.readSnapshotEntries(ctx, at, 1)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 || whole.Len() > manifest.Bytes {
			return nil, errNoSnapshot
		}
		whole.Write(entries[0].Chunk)
	}
	if whole.Len() != manifest.Bytes || xxhash.Sum64(whole.Bytes()) != manifest.Sum {
		return nil, fmt.Errorf("%w: sum differs", errNoSnapshot)
	}
	return whole.Bytes(), nil
}
