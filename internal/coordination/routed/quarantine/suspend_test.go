package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Check decides on a request with the given parts that does not expire.
func (e *Evidence) Check(now time.Time, parts []string) Decision {
	return e.check(now, parts, time.Time{})
}

// crashUnderRequests records crashes every interval that so many requests with part p cause in turn.
func crashUnderRequests(e *Evidence, crashes, requests int, interval time.Duration) {
	for n := range crashes {
		now, target := at(time.Duration(n)*interval), fmt.Sprint("t-", n)
		endUnder(e, now, fmt.Sprint("request:", n%requests), target, 0)
		e.Crashed(now, target, 0, []string{"p"})
	}
}

// Guards against a crashing part that stays open after its fifth crash, since two requests or one moment may have
// caused all of them: each further request ends three targets.
func TestPartThatMayBeSoundIsTriedByOneRequest(t *testing.T) {
	for name, crash := range map[string]func(e *Evidence){
		"one request":  func(e *Evidence) { crashUnderRequests(e, suspendAfter, 1, second) },
		"two requests": func(e *Evidence) { crashUnderRequests(e, suspendAfter, 2, second) },
		"one moment":   func(e *Evidence) { crashUnderRequests(e, suspendAfter, suspendAfter, time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			for _, sound := range []bool{true, false} {
				e := NewEvidence("a")
				crash(e)
				now := at(10 * second)
				require.Empty(t, e.Evaluate(now))
				require.Len(t, e.Suspend(now), 1)
				require.Empty(t, e.Suspend(now))
				parts := []string{"p", "own"}
				require.True(t, e.Check(now, parts).Closed, "claims the trial")
				now = now.Add(claimTime)
				require.True(t, e.Check(now, parts).Trial)
				require.True(t, e.Check(now, parts).Closed, "one trial only")
				if sound {
					require.Len(t, e.Began(now.Add(second), parts), 1)
					require.False(t, e.Check(now.Add(2*second), parts).Closed)
					require.Empty(t, e.Suspend(now.Add(2*second)))
					continue
				}
				now = failTrials(t, e, now, parts)
				require.True(t, e.Check(now.Add(firstTrialAfter), parts).Closed)
				require.False(t, e.Closures(now)[0].Suspended)
			}
		})
	}
}

// failTrials ends the target of a trial that was taken, and those of the trials that follow, until the part is closed.
func failTrials(t *testing.T, e *Evidence, now time.Time, parts []string) time.Time {
	for n := range maxSuspendedTrials {
		e.Crashed(now.Add(second), fmt.Sprint("t-trial-", n), 0, parts)
		now = now.Add(2 * second)
		if n < maxSuspendedTrials-1 {
			require.Empty(t, e.Evaluate(now))
			now = now.Add(quietTime)
			require.True(t, e.Check(now, parts).Claimed)
			now = now.Add(SuspendedClaimTime)
			require.True(t, e.Check(now, parts).Trial)
		}
	}
	require.Len(t, e.Evaluate(now), 1)
	return now
}

// Guards against a sound part that is closed since its trial is a request that has ended targets by itself.
func TestRequestWithEndsTriesNoSuspendedPart(t *testing.T) {
	e := NewEvidence("a")
	crashUnderRequests(e, suspendAfter, 2, second)
	now := at(10 * second)
	e.Suspend(now)
	require.False(t, e.check(now, []string{"p", "request:0"}, time.Time{}).Claimed)
	require.True(t, e.check(now, []string{"p", "request:other"}, time.Time{}).Claimed)
}

// Guards against a part that is suspended by the crashes of a single request, which ends three targets at most.
func TestFewCrashesSuspendNoPart(t *testing.T) {
	e := NewEvidence("a")
	crashUnderRequests(e, suspendAfter-1, 1, second)
	require.Empty(t, e.Evaluate(at(10*second)))
	require.Empty(t, e.Suspend(at(10*second)))
}

// Guards against a common part of which all requests are rejected, so that none can acquit it, since all targets ended
// at one moment or under few requests.
func TestPartThatTargetsBoreShortlyBeforeIsNotSuspended(t *testing.T) {
	e := NewEvidence("a")
	e.Began(at(-second), []string{"p"})
	crashUnderRequests(e, suspendAfter, suspendAfter, time.Millisecond)
	require.Empty(t, e.Suspend(at(10*second)))
}

// Guards against requests that are opened, and end a further target each, since a suspended part that they share seems
// to explain their ends.
func TestSuspendedPartExplainsNoEnd(t *testing.T) {
	e := NewEvidence("a")
	crashUnderRequests(e, 2*MaxEndedTargets, 2, second)
	now := at(10 * second)
	require.Len(t, closedRequests(e, now), 2)
	require.Len(t, e.Suspend(now), 1)
	require.Len(t, closedRequests(e, now), 3)
	e.Began(now.Add(second), []string{"p"})
	require.Equal(t, []string{"request:0", "request:1"}, closedRequests(e, now.Add(second)))
}

// Guards against instances that try a suspended part at once, each for itself, or do not learn that it was opened or
// closed.
func TestInstancesTryASuspendedPartOnce(t *testing.T) {
	a, b := NewEvidence("a"), NewEvidence("b")
	crashUnderRequests(a, suspendAfter, 2, second)
	now := at(10 * second)
	a.Suspend(now)
	b.Merge(now, a.Since(now, 0, false))
	require.Len(t, b.Closures(now), 1)
	for _, e := range []*Evidence{a, b} {
		require.True(t, e.Check(now, []string{"p"}).Closed)
	}
	a.Merge(now, b.Since(now, 0, false))
	b.Merge(now, a.Since(now, 0, false))
	now = now.Add(claimTime)
	require.True(t, a.Check(now, []string{"p"}).Trial)
	require.False(t, b.Check(now, []string{"p"}).Trial)
	now = failTrials(t, a, now, []string{"p"})
	closed, _, _ := b.Merge(now, a.Since(now, 0, false))
	require.Len(t, closed, 1)
	require.False(t, b.Closures(now)[0].Suspended)
	require.True(t, b.Check(now.Add(firstTrialAfter), []string{"p"}).Closed)
}
