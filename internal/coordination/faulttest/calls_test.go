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

// dispatchAfter returns a dispatch function that answers after the given time
// and counts its runs.
func dispatchAfter(runs *int, takes time.Duration, body []byte) online.Dispatch {
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

func mustNotDispatch(t *testing.T) online.Dispatch {
	return func(context.Context, protocol.CallID) (online.Response, error) {
		require.Fail(t, "the call was sent to a target")
		return online.Response{}, nil
	}
}

// A caller loses the answer and resends the call through another instance. The
// caller must get the stored answer without a second run.
func TestResendGetsTheStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(t, 2, variant{})
		runs := 0
		first, refusal := tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), dispatchAfter(&runs, time.Second, []byte("done")))
		require.Nil(t, refusal)
		<-time.After(time.Second)
		again, refusal := tf.nodes[1].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), mustNotDispatch(t))
		require.Nil(t, refusal)
		require.True(t, again.Stored)
		require.Equal(t, first.Body, again.Body)
		require.Equal(t, first.Header, again.Header)
		require.Equal(t, 201, again.Status)
		require.Equal(t, 1, runs)
	})
}

// A call is resent while its first dispatch is in flight. The resend waits for a
// short call and gets its answer. For a long call the resend is rejected after
// the configured wait, with the time after which to retry.
func TestResendJoinsARunningCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(t, 2, variant{})
		for name, takes := range map[string]time.Duration{"short": time.Second, "long": 10 * time.Second} {
			runs := 0
			tf.background.Go(func() {
				_, _ = tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall(name, 1), dispatchAfter(&runs, takes, []byte("done")))
			})
			<-time.After(500 * time.Millisecond)
			answer, refusal := tf.nodes[1].caller.CallAtMostOnce(tf.ctx, onceCall(name, 1), mustNotDispatch(t))
			if name == "short" {
				require.Nil(t, refusal)
				require.Equal(t, "done", string(answer.Body))
				continue
			}
			require.Equal(t, protocol.CodeConflict, refusal.Code)
			require.Equal(t, protocol.MayHaveRun, refusal.Run)
			require.Positive(t, refusal.RetryAfter)
		}
		tf.background.Wait()
	})
}

// An idempotency key is reused for a different request. Answering it with the
// stored answer would report a call as done that never ran.
func TestKeyOfAnotherRequestIsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(t, 1, variant{})
		runs := 0
		_, refusal := tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), dispatchAfter(&runs, time.Second, nil))
		require.Nil(t, refusal)
		_, refusal = tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("k", 2), mustNotDispatch(t))
		require.Equal(t, protocol.CodeConflict, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		require.Zero(t, refusal.RetryAfter)
	})
}

// While the log is down, an instance cannot reserve a call for the fleet. The
// call must be rejected at once as not run, and must run when it is resent after
// the outage.
func TestCallIsRefusedWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(t, 1, variant{})
		tf.outage(time.Minute)
		<-time.After(10 * time.Second)
		began := time.Now()
		_, refusal := tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), mustNotDispatch(t))
		require.Equal(t, protocol.CodePlatformDown, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		require.Positive(t, refusal.RetryAfter)
		require.Zero(t, time.Since(began))
		<-time.After(2 * time.Minute)
		runs := 0
		_, refusal = tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), dispatchAfter(&runs, time.Second, nil))
		require.Nil(t, refusal)
		require.Equal(t, 1, runs)
	})
}

// The caller disconnects while the target handles the call. The call must
// continue, so that a resend gets its answer instead of an unknown outcome.
func TestCallOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(t, 2, variant{})
		runs := 0
		ctx, hangUp := context.WithCancel(tf.ctx)
		tf.background.Go(func() {
			_, _ = tf.nodes[0].caller.CallAtMostOnce(ctx, onceCall("k", 1), dispatchAfter(&runs, 3*time.Second, []byte("done")))
		})
		<-time.After(time.Second)
		hangUp()
		<-time.After(3 * time.Second)
		answer, refusal := tf.nodes[1].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), mustNotDispatch(t))
		require.Nil(t, refusal)
		require.Equal(t, "done", string(answer.Body))
		require.Equal(t, 1, runs)
	})
}

// An answer is too large for a log entry. The caller gets the answer. A resend
// must be told that the call completed, and must not run it again.
func TestLargeAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(t, 1, variant{})
		runs := 0
		large := bytes.Repeat([]byte("x"), protocol.MaxEntryBytes)
		answer, refusal := tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), dispatchAfter(&runs, time.Second, large))
		require.Nil(t, refusal)
		require.Len(t, answer.Body, len(large))
		_, refusal = tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), mustNotDispatch(t))
		require.Equal(t, protocol.CodeGone, refusal.Code)
		require.Equal(t, protocol.Completed, refusal.Run)
	})
}

// A target refuses the connection. The call must be rejected as not run, and the
// next attempt with the same key must run.
func TestRefusedConnectionFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(t, 2, variant{})
		_, refusal := tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), func(context.Context, protocol.CallID) (online.Response, error) {
			return online.Response{}, &external.CallError{Run: protocol.NotRun, Err: errNoAnswer}
		})
		require.Equal(t, protocol.NotRun, refusal.Run)
		runs := 0
		_, refusal = tf.nodes[1].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), dispatchAfter(&runs, time.Second, nil))
		require.Nil(t, refusal)
		require.Equal(t, 1, runs)
	})
}

// Idempotency keys must be deleted after the retention time. Otherwise the memory
// of every instance grows without bound.
func TestKeysAreForgottenAfterTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleetWith(t, 1, func(tf *testFleet) { tf.calls.Retention = 10 * time.Minute })
		runs := 0
		_, refusal := tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("k", 1), dispatchAfter(&runs, time.Second, nil))
		require.Nil(t, refusal)
		known := func() (count int) {
			tf.nodes[0].View(func(state *replica.State) { count = state.Once.Len() })
			return count
		}
		<-time.After(9 * time.Minute)
		require.Equal(t, 1, known())
		<-time.After(3 * time.Minute)
		require.Zero(t, known())
	})
}

// The number of stored calls has reached its limit. Deleting a call before its
// retention ends could let it run twice, so new calls must be rejected as not
// run.
func TestCallsBeyondMemoryAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleetWith(t, 1, func(tf *testFleet) { tf.calls.MaxCalls = 1 })
		runs := 0
		_, refusal := tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("a", 1), dispatchAfter(&runs, time.Second, nil))
		require.Nil(t, refusal)
		_, refusal = tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("b", 1), mustNotDispatch(t))
		require.Equal(t, protocol.CodeOverloaded, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		_, refusal = tf.nodes[0].caller.CallAtMostOnce(tf.ctx, onceCall("a", 1), mustNotDispatch(t))
		require.Nil(t, refusal)
	})
}
