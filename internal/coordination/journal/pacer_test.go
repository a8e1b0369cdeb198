package journal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPacerSpacesAppendsAndBacksOff(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pace := DefaultPacerSettings()
	p := newPacer(pace)
	for range int(pace.Burst) {
		require.Zero(t, p.take(now))
	}
	wait := p.take(now)
	require.InDelta(t, 10*time.Millisecond, wait, float64(10*time.Microsecond))
	require.Zero(t, p.take(now.Add(wait)))
	p.onThrottled(now)
	p.onThrottled(now.Add(pace.Cooldown / 2))
	require.Equal(t, pace.InitialRate/2, p.rate, "one congestion halves the rate once")
	for i := range 100 {
		p.onThrottled(now.Add(time.Duration(i+1) * time.Second))
	}
	require.Equal(t, pace.MinRate, p.rate)
	later := now.Add(time.Hour)
	p.onSuccess(later)
	require.LessOrEqual(t, p.rate, pace.MinRate+pace.IncreasePerSecond, "an idle hour raises the rate by one step at most")
	for i := range 200 {
		p.onSuccess(later.Add(time.Duration(i) * time.Second))
	}
	require.Equal(t, pace.MaxRate, p.rate)
}
