package journal

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/state/replica"
)

// The operator's tool loses the answer and sends its change again through
// another instance. It must learn that the change was accepted, not that it
// lost to itself.
func TestResentChangeIsRecognised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startTwo(t)
		rec := change("1", protocol.NoOffset, organisation("o", 1))
		require.Equal(t, protocol.Accepted, a.put(rec))
		require.Equal(t, protocol.Duplicate, b.put(rec))
		b.View(func(s *replica.State) {
			version, ok := s.Fleet.VersionOf("1")
			require.True(t, ok)
			require.Equal(t, a.Fleet().Version, version)
		})
	})
}

// The platform throttles appends while many submitters wait. All of them must
// be served in time by few appends, or batch work would stand still.
func TestManySubmittersShareFewAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{AppendsPerSecond: 10})
		a := startNode(t, log, "a")
		a.ready()
		before := log.Appends()
		outcomes := make(chan coordination.Outcome, 2000)
		for i := range cap(outcomes) {
			go func() {
				outcomes <- a.Submit(t.Context(), claim(protocol.Resource(fmt.Sprint("r", i)), protocol.NoOffset))
			}()
		}
		for range cap(outcomes) {
			require.True(t, (<-outcomes).Accepted())
		}
		require.Less(t, log.Appends()-before, int64(20))
	})
}

// A record that fits into no log entry is refused as not run, and the records
// that wait behind it are not held up.
func TestOversizedRecordIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startNode(t, memlog.New(memlog.Options{}), "a")
		a.ready()
		huge := claim(protocol.Resource(bytes.Repeat([]byte("r"), protocol.MaxEntryBytes)), protocol.NoOffset)
		outcome := a.Submit(t.Context(), huge)
		require.Equal(t, protocol.NotRun, outcome.Run)
		require.ErrorIs(t, outcome.Err, protocol.ErrFrameTooLarge)
		require.Equal(t, protocol.Accepted, a.put(claim("r", protocol.NoOffset)))
	})
}

// A graceful shutdown closes the session, so that others take over at once
// instead of after its expiry.
func TestCloseFreesWhatTheInstanceHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startTwo(t)
		a.put(claim("r", protocol.NoOffset))
		require.NoError(t, a.Close(t.Context()))
		await(t, time.Second, "free at b", func() bool { return !holdsNamed(b, "r") })
		require.Zero(t, a.Session())
		pass(time.Minute)
		require.Zero(t, a.Session(), "a session was opened again")
	})
}
