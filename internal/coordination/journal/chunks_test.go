package journal

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
)

// An instance starts while the log rejects one read in three. Guards against a snapshot of
// many chunks that is never read whole, since each failed read discards the chunks before it.
func TestReadOfSnapshotContinuesAfterFailedChunk(t *testing.T) {
	const chunks = 6
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		link := &logLink{Log: log}
		j := New(Options{Log: link, Instance: "a", Domain: "pnw-sea", PeerAddress: "a:7000", Seed: 1, NewSession: sessionIDs("a")})
		written := bytes.Repeat([]byte{'x'}, chunks*snapshotChunkBytes)
		require.NoError(t, j.appendSnapshot(t.Context(), 1, written))
		reads := 0
		link.setFault(func(operation, stream string, _ []byte) memlog.Fault {
			if operation != "read" || stream != protocol.SnapshotStream {
				return memlog.None
			}
			reads++
			if reads%3 == 0 {
				return memlog.Down
			}
			return memlog.None
		})
		var err error
		var data []byte
		for range 10 * chunks {
			if data, err = j.latestSnapshot(t.Context()); err == nil {
				break
			}
		}
		require.NoError(t, err, "after %d reads", reads)
		require.Equal(t, len(written), len(data))
	})
}

// rejectReadsFrom rejects reads of the snapshot stream from the given one on.
func rejectReadsFrom(link *logLink, first int) (reads *int) {
	reads = new(int)
	link.setFault(func(operation, stream string, _ []byte) memlog.Fault {
		if operation != "read" || stream != protocol.SnapshotStream {
			return memlog.None
		}
		*reads++
		if *reads >= first {
			return memlog.Down
		}
		return memlog.None
	})
	return reads
}

// Chunks of an older snapshot are not part of a newer one, and are released with time.
func TestKeptChunksAreDroppedForNewerSnapshotAndWithTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &logLink{Log: memlog.New(memlog.Options{})}
		j := New(Options{Log: link, Instance: "a", Domain: "pnw-sea", PeerAddress: "a:7000", Seed: 1, NewSession: sessionIDs("a")})
		require.NoError(t, j.appendSnapshot(t.Context(), 1, bytes.Repeat([]byte{'x'}, 3*snapshotChunkBytes)))
		rejectReadsFrom(link, 5)
		_, err := j.latestSnapshot(t.Context())
		require.Error(t, err)
		require.Equal(t, 2, j.partial.read)

		link.setFault(nil)
		newer := bytes.Repeat([]byte{'y'}, 3*snapshotChunkBytes)
		require.NoError(t, j.appendSnapshot(t.Context(), 2, newer))
		time.Sleep(manifestSearchAfter)
		data, err := j.latestSnapshot(t.Context())
		require.NoError(t, err)
		require.True(t, bytes.Equal(newer, data))
		require.Zero(t, j.partial.assembled.Len())

		rejectReadsFrom(link, 5)
		_, err = j.latestSnapshot(t.Context())
		require.Error(t, err)
		require.Equal(t, 2, j.partial.read)
		time.Sleep(partialSnapshotTTL + time.Second)
		j.partial.dropExpired(time.Now())
		require.Zero(t, j.partial.assembled.Cap())
	})
}

// A search that finds the same snapshot again keeps its chunks.
func TestKeptChunksOutlastSearchThatFindsSameSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &logLink{Log: memlog.New(memlog.Options{})}
		j := New(Options{Log: link, Instance: "a", Domain: "pnw-sea", PeerAddress: "a:7000", Seed: 1, NewSession: sessionIDs("a")})
		written := bytes.Repeat([]byte{'x'}, 3*snapshotChunkBytes)
		require.NoError(t, j.appendSnapshot(t.Context(), 1, written))
		rejectReadsFrom(link, 5)
		_, err := j.latestSnapshot(t.Context())
		require.Error(t, err)
		time.Sleep(manifestSearchAfter)
		reads := rejectReadsFrom(link, 1000)
		data, err := j.latestSnapshot(t.Context())
		require.NoError(t, err)
		require.True(t, bytes.Equal(written, data))
		require.Equal(t, 3, *reads, "bounds, search and the missing chunk")
	})
}
