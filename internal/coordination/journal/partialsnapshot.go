package journal

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// partialSnapshotTTL is how long the chunks of a partly read snapshot are
	// kept after the last one was read. It exceeds several retries with the
	// longest wait.
	partialSnapshotTTL = time.Minute
	// manifestSearchAfter is the time after which a read of a partly read
	// snapshot searches for a newer one first. A search reads up to
	// snapshotScanEntries entries, too much for each retry.
	manifestSearchAfter = 15 * time.Second
)

// partialSnapshot holds the chunks of a snapshot that was not read whole. The
// next try continues with the first missing chunk. The size is limited by
// maxSnapshotBytes. It is not safe for concurrent use; only the reader uses it.
type partialSnapshot struct {
	manifest *snapshotManifest
	// read is the number of chunks in assembled.
	read      int
	assembled bytes.Buffer
	// foundAt is when the search found the manifest.
	foundAt time.Time
	// readAt is when the last chunk was read, or foundAt before the first one.
	readAt time.Time
}

func (p *partialSnapshot) drop() { *p = partialSnapshot{} }

// dropExpired releases the chunks if no chunk was added for partialSnapshotTTL.
func (p *partialSnapshot) dropExpired(now time.Time) {
	if now.Sub(p.readAt) > partialSnapshotTTL {
		p.drop()
	}
}

// begin selects the snapshot to read. It keeps the chunks if they belong to
// that snapshot.
func (p *partialSnapshot) begin(manifest *snapshotManifest, now time.Time) {
	if !p.manifest.same(manifest) {
		p.drop()
		p.manifest = manifest
		p.readAt = now
	}
	p.foundAt = now
}

// searchedRecently reports whether the manifest can be used without a search.
func (p *partialSnapshot) searchedRecently(now time.Time) bool {
	return p.manifest != nil && now.Sub(p.foundAt) < manifestSearchAfter
}

func (p *partialSnapshot) add(chunk []byte, now time.Time) {
	p.assembled.Write(chunk)
	p.read++
	p.readAt = now
}

// take returns the whole snapshot and releases it.
func (p *partialSnapshot) take() ([]byte, error) {
	data, manifest := p.assembled.Bytes(), p.manifest
	p.drop()
	if len(data) != manifest.Bytes || xxhash.Sum64(data) != manifest.Sum {
		return nil, fmt.Errorf("%w: checksum differs", errNoSnapshot)
	}
	return data, nil
}

// same reports whether two manifests list the same snapshot.
func (m *snapshotManifest) same(other *snapshotManifest) bool {
	if m == nil || other == nil {
		return false
	}
	return m.Sum == other.Sum && m.Bytes == other.Bytes && slices.Equal(m.Chunks, other.Chunks)
}

// readMissingChunks reads the chunks that the partial snapshot lacks and
// returns the whole snapshot. After a failed read the chunks are kept.
func (j *Journal) readMissingChunks(ctx context.Context) ([]byte, error) {
	partial := &j.partial
	for partial.read < len(partial.manifest.Chunks) {
		entries, err := j.readSnapshotEntries(ctx, partial.manifest.Chunks[partial.read], 1)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 || partial.assembled.Len() > partial.manifest.Bytes {
			partial.drop()
			return nil, errNoSnapshot
		}
		partial.add(entries[0].Chunk, time.Now())
	}
	return partial.take()
}
