package wait

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that decides after a pause as if it had run, since its next tick has not come yet, and
// against one that takes a late tick for a pause.
func TestRunClockTellsWhenTheProcessWentOn(t *testing.T) {
	const period = 100 * time.Millisecond
	start := time.Unix(1000, 0)
	clock := &RunClock{}
	require.Zero(t, clock.ResumedAt(start))
	clock.Tick(start, period)
	late := start.Add(period + period/2)
	require.Zero(t, clock.ResumedAt(late))
	clock.Tick(late, period)
	resumed := late.Add(5 * time.Second)
	require.Equal(t, resumed, clock.ResumedAt(resumed), "before the tick")
	clock.Tick(resumed, period)
	require.Equal(t, resumed, clock.ResumedAt(resumed.Add(period)))
	clock.Tick(resumed.Add(period), period)
	require.Equal(t, resumed, clock.ResumedAt(resumed.Add(period)))
}
