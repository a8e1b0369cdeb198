package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a trial that meets a target which ends by itself, since targets still do, after which there is
// none; and against an item that waits for quiet until it expires.
func TestTrialWaitsUntilTargetsAreQuiet(t *testing.T) {
	for name, c := range map[string]struct {
		listed, ends int
		interval     time.Duration
		// from is the earliest time of the trial after the item's last end, within the time that it may take then.
		from, within time.Duration
	}{
		"quiet":                                 {9, 0, 0, quietTime, 3 * second},
		"others end":                            {9, 6, 2 * second, 10*second + quietTime, 3 * second},
		"others end for long":                   {9, 60, second, 40 * second, 3 * second},
		"one of many ends at each moment":       {850, 600, 100 * time.Millisecond, 40 * second, 3 * second},
		"few of many end":                       {850, 60, second, quietTime, 3 * second},
		"many of many end, and then few of all": {850, 100, 100 * time.Millisecond, 10*second + quietTime - 2*second, 3 * second},
	} {
		t.Run(name, func(t *testing.T) {
			e, last := closedItem(t, 9, 2, 5)
			e.listed = c.listed
			ended, trial := 0, time.Time{}
			for now := last; trial.IsZero() && now.Sub(last) < time.Minute; now = now.Add(100 * time.Millisecond) {
				for ; ended < c.ends && !last.Add(time.Duration(ended)*c.interval).After(now); ended++ {
					e.endTimes.add(incarnation{target: fmt.Sprint("u-", ended)}, last.Add(time.Duration(ended)*c.interval))
				}
				if e.check(now, []string{"request:item"}, last.Add(time.Minute)).Trial {
					trial = now
				}
			}
			require.False(t, trial.IsZero())
			require.GreaterOrEqual(t, trial.Sub(last), c.from)
			require.LessOrEqual(t, trial.Sub(last), c.from+c.within)
		})
	}
}

// Guards against an instance that takes its own pause or its start for quiet, since it has not learned yet which
// targets have ended meanwhile.
func TestTrialWaitsUntilTargetsWereWatched(t *testing.T) {
	e, last := closedItem(t, 9, 2, 5)
	e.watchedSince = last.Add(8 * second)
	trial := trialOf(e, last, last.Add(time.Minute))
	require.GreaterOrEqual(t, trial.Sub(last), 8*second+quietTime)
}

// takenTrial returns the time at which an item that is closed has taken its trial.
func takenTrial(t *testing.T, e *Evidence, last time.Time) time.Time {
	trial := trialOf(e, last, last.Add(time.Minute))
	require.False(t, trial.IsZero())
	require.True(t, e.check(trial, []string{"request:item"}, last.Add(time.Minute)).Closed, "only one run")
	return trial
}

// Guards against a sound item that waits until the claim of its trial lapses, since the trial yielded its
// slot, or was refused by its target, and counted as used.
func TestUndecidedTrialIsRepeatedAtOnce(t *testing.T) {
	e, last := closedItem(t, 9, 2, 5)
	now := takenTrial(t, e, last)
	for range 3 {
		now = now.Add(100 * time.Millisecond)
		e.TrialEnded(&Request{Key: "request:item"}, 0)
		require.NotEmpty(t, closedRequests(e, now))
		require.True(t, e.check(now, []string{"request:item"}, last.Add(time.Minute)).Trial)
	}
	endUnder(e, now.Add(second), "request:item", "t-9", 7)
	require.Zero(t, trialOf(e, now.Add(second), last.Add(time.Minute)), "a trial that ends its target is the last one")
}

// Guards against a sound item that stays closed although its trial has run for so long that its ends may be chance,
// and then yielded its slot.
func TestLongTrialOpensRequest(t *testing.T) {
	e, last := closedItem(t, 9, 2, 5)
	now := takenTrial(t, e, last)
	e.TrialEnded(&Request{Key: "request:item"}, 2*second)
	require.NotEmpty(t, closedRequests(e, now), "so many ends are hardly chance within 2 s")
	e.TrialEnded(&Request{Key: "request:item"}, 3*second)
	require.Empty(t, closedRequests(e, now))

	other := NewEvidence("b")
	other.Merge(now, e.Since(now, 0, false))
	require.Empty(t, closedRequests(other, now), "other instances learn of it")
	endAfter(e, now.Add(second), "request:item", "t-9", 3*second+second/2, 77)
	require.NotEmpty(t, closedRequests(e, now.Add(second)), "the time of the trial is part of that of the next end")
}

// Guards against a further trial of a request whose target ended while others did, as some always do in a large fleet,
// or whose end could not be confirmed, as in a failure domain without instances.
func TestTrialThatLostItsTargetIsNotRepeated(t *testing.T) {
	for name, after := range map[string]func(e *Evidence, at time.Time){
		"nothing":    func(*Evidence, time.Time) {},
		"others end": func(e *Evidence, at time.Time) { commonFailure(e, at, "rack", 3) },
		"dismissed": func(e *Evidence, at time.Time) {
			e.TargetEnded(at, &LostRequest{Request: Request{Key: "request:item"}, Target: "t-9"}, EndDismissed)
		},
	} {
		t.Run(name, func(t *testing.T) {
			e, last := closedItem(t, 9, 2, 5)
			end := takenTrial(t, e, last).Add(second)
			endUnder(e, end, "request:item", "t-9", 7)
			after(e, end)
			require.NotEmpty(t, closedRequests(e, end))
			require.Zero(t, trialOf(e, end, last.Add(time.Minute)))
		})
	}
}

// Guards against a sound item that is held until it expires, since three targets ended before they had begun to run
// it, or by chance after as many events of their runs; and against more than one run of an item that does crash them.
func TestItemWhoseTargetsEndedAtOnePointByChanceIsTriedOnce(t *testing.T) {
	for name, c := range map[string]struct{ events, positions []int }{
		"never begun":        {[]int{0, 0, 0}, []int{-1, -1, -1}},
		"resumed, not begun": {[]int{12, 0, 0}, []int{11, 11, 11}},
		"as many events":     {[]int{52, 52, 52}, []int{79, 168, 221}},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvidence("a")
			var last time.Time
			for n, count := range c.events {
				last = at(time.Duration(2*n) * second)
				e.TargetEnded(last, &LostRequest{
					Request: Request{ID: "item", Key: "request:item"}, Target: fmt.Sprint("t-", n), At: last, Events: count, Position: c.positions[n],
				}, EndSuspected)
			}
			require.NotEmpty(t, closedRequests(e, last))
			trial := trialOf(e, last, last.Add(time.Minute))
			require.GreaterOrEqual(t, trial.Sub(last), onePointTrialDelay)
			require.LessOrEqual(t, trial.Sub(last), onePointTrialDelay+claimTime+second)
			endUnder(e, trial.Add(second), "request:item", "t-9", c.events[2])
			require.NotEmpty(t, closedRequests(e, trial.Add(second)))
			require.Zero(t, trialOf(e, trial.Add(second), last.Add(time.Minute)))
		})
	}
}
