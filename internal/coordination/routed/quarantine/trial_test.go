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
		"others end for long":                   {9, 60, second, 20 * second, 3 * second},
		"one of many ends at each moment":       {850, 600, 100 * time.Millisecond, 20 * second, 3 * second},
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
