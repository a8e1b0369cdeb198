package journal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPacerSpacesAndGivesWay(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pace := DefaultPace()
	p := newPacer(pace)
	for range int(pace.Burst) {
		require.Zero(t, p.take(now))
	}
	wait := p.take(now)
	require.InDelta(t, 10*time.Millisecond, wait, float64(10*time.Microsecond))
	require.Zero(t, p.take(now.Add(wait)))
	p.throttled(now)
	p.throttled(now.Add(pace.Deaf / 2))
	require.Equal(t, pace.Start/2, p.rate, "one congestion halves once")
	for i := range 100 {
		p.throttled(now.Add(time.Duration(i+1) * time.Second))
	}
	require.Equal(t, pace.Least, p.rate)
	later := now.Add(time.Hour)
	p.succeeded(later)
	require.LessOrEqual(t, p.rate, pace.Least+pace.Step, "an idle hour proves nothing")
	for i := range 200 {
		p.succeeded(later.Add(time.Duration(i) * time.Second))
	}
	require.Equal(t, pace.Most, p.rate)
}
