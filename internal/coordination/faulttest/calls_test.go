package faulttest

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/online"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

func onceCall(key string, hash uint64) online.AtMostOnceCall {
	return online.AtMostOnceCall{Key: protocol.CallKey{Organisation: cascadia, Key: key}, BodyHash: hash}
}

// answering is a dispatch that takes a while and counts its runs.
func answering(runs *int, takes time.Duration, body []byte) online.Dispatch {
	return func(ctx context.Context, _ protocol.CallID) (online.Response, error) {
		*runs++
		select {
		case <-time.After(takes):
			return online.Response{Status: 201, Header: map[string][]string{"X-Roster": {"7"}}, Body: body}, nil
		case <-ctx.Done():
			return online.Response{}, &external.CallError{Run: protocol.MayHaveRun, Err: ctx.Err()}
		}
	}
}

func never(t *testing.T) online.Dispatch {
	return func(context.Context, protocol.CallID) (online.Response, error) {
		require.Fail(t, "sent")
		return online.Response{}, nil
	}
}

// A caller loses the answer and sends the call again through another instance.
// It must get the very same answer, without a second run.
func TestResendGetsTheStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, variant{})
		runs := 0
		first, refusal := w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), answering(&runs, time.Second, []byte("done")))
		require.Nil(t, refusal)
		<-time.After(time.Second)
		again, refusal := w.nodes[1].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), never(t))
		require.Nil(t, refusal)
		require.True(t, again.Stored)
		require.Equal(t, first.Body, again.Body)
		require.Equal(t, first.Header, again.Header)
		require.Equal(t, 201, again.Status)
		require.Equal(t, 1, runs)
	})
}

// The resend comes while the first dispatch runs. A short one is waited for; of
// a long one the caller is told at once, after the stated wait, to ask again.
func TestResendJoinsARunningCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, variant{})
		for name, takes := range map[string]time.Duration{"short": time.Second, "long": 10 * time.Second} {
			runs := 0
			w.background.Go(func() {
				_, _ = w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall(name, 1), answering(&runs, takes, []byte("done")))
			})
			<-time.After(500 * time.Millisecond)
			answer, refusal := w.nodes[1].caller.CallAtMostOnce(w.ctx, onceCall(name, 1), never(t))
			if name == "short" {
				require.Nil(t, refusal)
				require.Equal(t, "done", string(answer.Body))
				continue
			}
			require.Equal(t, protocol.CodeConflict, refusal.Code)
			require.Equal(t, protocol.MayHaveRun, refusal.Run)
			require.Positive(t, refusal.RetryAfter)
		}
		w.background.Wait()
	})
}

// An idempotency key comes with another request. Giving it the first answer
// would tell a caller that something was done that was not.
func TestKeyOfAnotherRequestIsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, variant{})
		runs := 0
		_, refusal := w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), answering(&runs, time.Second, nil))
		require.Nil(t, refusal)
		_, refusal = w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("k", 2), never(t))
		require.Equal(t, protocol.CodeConflict, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		require.Zero(t, refusal.RetryAfter)
	})
}

// The log is down, so nobody can know whether the call is the only one. It must
// be refused at once as not run, and run when it comes again.
func TestCallIsRefusedWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, variant{})
		w.outage(time.Minute)
		<-time.After(10 * time.Second)
		began := time.Now()
		_, refusal := w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), never(t))
		require.Equal(t, protocol.CodePlatformDown, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		require.Positive(t, refusal.RetryAfter)
		require.Zero(t, time.Since(began))
		<-time.After(2 * time.Minute)
		runs := 0
		_, refusal = w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), answering(&runs, time.Second, nil))
		require.Nil(t, refusal)
		require.Equal(t, 1, runs)
	})
}

// The caller hangs up while the target works. The call goes on, so that the
// resend finds its answer instead of an unknown outcome.
func TestCallOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, variant{})
		runs := 0
		ctx, hangUp := context.WithCancel(w.ctx)
		w.background.Go(func() {
			_, _ = w.nodes[0].caller.CallAtMostOnce(ctx, onceCall("k", 1), answering(&runs, 3*time.Second, []byte("done")))
		})
		<-time.After(time.Second)
		hangUp()
		<-time.After(3 * time.Second)
		answer, refusal := w.nodes[1].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), never(t))
		require.Nil(t, refusal)
		require.Equal(t, "done", string(answer.Body))
		require.Equal(t, 1, runs)
	})
}

// An answer is too large for a log entry. The caller gets it; a resend learns
// that the call ran, and does not run it again.
func TestLargeAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, variant{})
		runs := 0
		large := bytes.Repeat([]byte("x"), protocol.MaxEntryBytes)
		answer, refusal := w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), answering(&runs, time.Second, large))
		require.Nil(t, refusal)
		require.Len(t, answer.Body, len(large))
		_, refusal = w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), never(t))
		require.Equal(t, protocol.CodeGone, refusal.Code)
		require.Equal(t, protocol.Completed, refusal.Run)
	})
}

// A target refused the connection. The refusal says so truly, and the next
// attempt may run.
func TestRefusedConnectionFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, variant{})
		_, refusal := w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), func(context.Context, protocol.CallID) (online.Response, error) {
			return online.Response{}, &external.CallError{Run: protocol.NotRun, Err: errNoAnswer}
		})
		require.Equal(t, protocol.NotRun, refusal.Run)
		runs := 0
		_, refusal = w.nodes[1].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), answering(&runs, time.Second, nil))
		require.Nil(t, refusal)
		require.Equal(t, 1, runs)
	})
}

// Keys are remembered for a stated time, or the memory of every instance would grow
// without end. Then they are forgotten.
func TestKeysAreForgottenAfterTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWith(t, 1, func(w *world) { w.calls.Retention = 10 * time.Minute })
		runs := 0
		_, refusal := w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("k", 1), answering(&runs, time.Second, nil))
		require.Nil(t, refusal)
		known := func() (count int) {
			w.nodes[0].View(func(state *replica.State) { count = state.Once.Len() })
			return count
		}
		<-time.After(9 * time.Minute)
		require.Equal(t, 1, known())
		<-time.After(3 * time.Minute)
		require.Zero(t, known())
	})
}

// More calls come than can be remembered. Forgetting one early could run it
// twice, so that new ones are refused, truly as not run.
func TestCallsBeyondMemoryAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWith(t, 1, func(w *world) { w.calls.MaxCalls = 1 })
		runs := 0
		_, refusal := w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("a", 1), answering(&runs, time.Second, nil))
		require.Nil(t, refusal)
		_, refusal = w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("b", 1), never(t))
		require.Equal(t, protocol.CodeOverloaded, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		_, refusal = w.nodes[0].caller.CallAtMostOnce(w.ctx, onceCall("a", 1), never(t))
		require.Nil(t, refusal)
	})
}
