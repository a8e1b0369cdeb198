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
// another instance. It must learn that the change was accepted already, and
// must not receive a conflict with its own change.
func TestResentChangeIsRecognised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startTwo(t)
		rec := fleetChange("1", protocol.NoOffset, organisation("o", 1))
		require.Equal(t, protocol.Accepted, a.mustSubmit(rec))
		require.Equal(t, protocol.Duplicate, b.mustSubmit(rec))
		b.View(func(s *replica.State) {
			version, ok := s.Fleet.VersionOf("1")
			require.True(t, ok)
			require.Equal(t, a.Fleet().Version, version)
		})
	})
}

// The platform throttles appends while many submitters wait. All of them must
// be served within a few appends, or batch work would stop.
func TestManySubmittersShareFewAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{AppendsPerSecond: 10})
		a := startNode(t, log, "a")
		a.waitReady()
		before := log.Appends()
		outcomes := make(chan coordination.Outcome, 2000)
		for i := range cap(outcomes) {
			go func() {
				outcomes <- a.Submit(t.Context(), leaseClaim(protocol.Resource(fmt.Sprint("r", i)), protocol.NoOffset))
			}()
		}
		for range cap(outcomes) {
			require.True(t, (<-outcomes).Accepted())
		}
		require.Less(t, log.Appends()-before, int64(20))
	})
}

// A record that does not fit into a log entry is rejected as not run, and the
// records queued behind it are not delayed.
func TestOversizedRecordIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startNode(t, memlog.New(memlog.Options{}), "a")
		a.waitReady()
		huge := leaseClaim(protocol.Resource(bytes.Repeat([]byte("r"), protocol.MaxEntryBytes)), protocol.NoOffset)
		outcome := a.Submit(t.Context(), huge)
		require.Equal(t, protocol.NotRun, outcome.Run)
		require.ErrorIs(t, outcome.Err, protocol.ErrFrameTooLarge)
		require.Equal(t, protocol.Accepted, a.mustSubmit(leaseClaim("r", protocol.NoOffset)))
	})
}

// A graceful shutdown closes the session, so that other instances take over at
// once and not only after its expiry.
func TestCloseFreesWhatTheInstanceHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startTwo(t)
		a.mustSubmit(leaseClaim("r", protocol.NoOffset))
		require.NoError(t, a.Close(t.Context()))
		await(t, time.Second, "free at b", func() bool { return !isHeld(b, "r") })
		require.Zero(t, a.Session())
		sleep(time.Minute)
		require.Zero(t, a.Session(), "a session was opened again")
	})
}
