package journal

import (
	"bytes"
	"testing"
	"testing/synctest"

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
