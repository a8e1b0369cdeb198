package online

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const testSilence = 400 * time.Millisecond

// startWatchdog starts a watchdog whose clock is ahead by what setAhead says.
func startWatchdog(t *testing.T) (ctx context.Context, d *watchdog, setAhead func(time.Duration)) {
	ctx, cancel := context.WithCancelCause(t.Context())
	d = newWatchdog(testSilence, func() bool { return true }, nil, cancel)
	t.Cleanup(func() { d.stop() })
	setAhead = func(ahead time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.now = func() time.Time { return time.Now().Add(ahead) }
	}
	return ctx, d, setAhead
}

// Guards against attempts that are cancelled because this process did not run for a while:
// their responses have arrived meanwhile and were not read.
func TestStallOfThisProcessIsNotSilenceOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, _, setAhead := startWatchdog(t)
		<-time.After(testSilence / 2)
		setAhead(10 * testSilence)
		<-time.After(testSilence/2 - testSilence/stallChecks)
		require.NoError(t, ctx.Err())
	})
}

// Guards against a target that hangs and is waited for without end, since this process
// stalled once.
func TestSilenceOfTheTargetEndsAttemptAfterStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, _, setAhead := startWatchdog(t)
		setAhead(10 * testSilence)
		<-time.After(testSilence + 2*testSilence/stallChecks)
		var silence *silenceError
		require.ErrorAs(t, context.Cause(ctx), &silence)
		require.GreaterOrEqual(t, silence.stalled, 10*testSilence-testSilence/stallChecks)
	})
}

// Guards against a stall that counts for a target which has answered since.
func TestProgressForgetsStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, d, setAhead := startWatchdog(t)
		setAhead(10 * testSilence)
		<-time.After(testSilence / 2)
		d.extend(testSilence)
		<-time.After(testSilence - testSilence/stallChecks)
		require.NoError(t, ctx.Err())
		<-time.After(2 * testSilence / stallChecks)
		require.Error(t, ctx.Err())
	})
}
