package journal

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

const (
	// snapshotChunkBytes is the size of a chunk. It leaves 1,024 bytes of an
	// entry for the encoding.
	snapshotChunkBytes = protocol.MaxEntryBytes - 1024
	// snapshotScanEntries is the number of entries in each read of the backward
	// search for the newest manifest.
	snapshotScanEntries = 8
	// maxSnapshotBytes limits the memory that a reader allocates for a forged
	// manifest.
	maxSnapshotBytes = 256 << 20
)

// snapshotEntry is one entry of the snapshot stream: either a chunk or the
// manifest. The manifest is appended after all chunks. A snapshot without a
// manifest is incomplete.
type snapshotEntry struct {
	Chunk    []byte            `cbor:"1,keyasint,omitempty"`
	Manifest *snapshotManifest `cbor:"2,keyasint,omitempty"`
}

// snapshotManifest lists the chunks of a snapshot in order.
type snapshotManifest struct {
	// Applied is the offset of the last entry of the control stream that the
	// snapshot covers.
	Applied protocol.Offset   `cbor:"1,keyasint"`
	Chunks  []protocol.Offset `cbor:"2,keyasint"`
	// Bytes is the size and Sum the xxhash64 of the whole snapshot.
	Bytes int    `cbor:"3,keyasint"`
	Sum   uint64 `cbor:"4,keyasint"`
}

// appendSnapshot writes a snapshot to the snapshot stream.
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
	return j.appendWithRetry(ctx, protocol.SnapshotStream, payload)
}

// latestSnapshot returns the newest complete snapshot. It first continues a
// snapshot that an earlier call read in part, unless the search for it is too
// long ago. It returns errNoSnapshot if the stream holds no complete snapshot.
func (j *Journal) latestSnapshot(ctx context.Context) ([]byte, error) {
	j.partial.dropExpired(time.Now())
	if !j.partial.searchedRecently(time.Now()) {
		return j.searchSnapshot(ctx)
	}
	data, err := j.readMissingChunks(ctx)
	if errors.Is(err, errNoSnapshot) {
		return j.searchSnapshot(ctx)
	}
	return data, err
}

// searchSnapshot searches the stream backwards for the newest complete snapshot.
// It skips a manifest whose chunks have left retention or don't match its sum.
func (j *Journal) searchSnapshot(ctx context.Context) ([]byte, error) {
	oldest, next, err := j.snapshotBounds(ctx)
	if err != nil {
		return nil, err
	}
	for end := next; end > oldest; {
		begin := max(oldest, end-snapshotScanEntries)
		entries, err := j.readSnapshotEntries(ctx, begin, int(end-begin))
		if err != nil {
			return nil, err
		}
		for i := len(entries) - 1; i >= 0; i-- {
			data, err := j.assembleSnapshot(ctx, entries[i])
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

// readSnapshotEntries reads entries. The result lacks entries that have left
// retention, and holds an empty entry in place of one that does not decode.
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

// decodeSnapshotEntry decodes an entry. It returns an empty entry for a
// malformed payload.
func decodeSnapshotEntry(payload []byte) snapshotEntry {
	var entry snapshotEntry
	if err := protocol.Unmarshal(payload, &entry); err != nil {
		return snapshotEntry{}
	}
	return entry
}

// assembleSnapshot reads and joins the chunks that a manifest lists. It reuses
// chunks that an earlier try has read.
func (j *Journal) assembleSnapshot(ctx context.Context, entry snapshotEntry) ([]byte, error) {
	manifest := entry.Manifest
	if manifest == nil || manifest.Bytes < 0 || manifest.Bytes > maxSnapshotBytes {
		return nil, errNoSnapshot
	}
	j.partial.begin(manifest, time.Now())
	return j.readMissingChunks(ctx)
}
