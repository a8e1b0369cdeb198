package journal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPacerSpacesAndGivesWay(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := newPacer()
	require.Zero(t, p.reserve(now))
	require.Equal(t, 10*time.Millisecond, p.reserve(now))
	p.throttled(now)
	p.throttled(now.Add(pacerDeaf / 2))
	require.Equal(t, pacerStart/2, p.rate, "one congestion halves once")
	for i := range 100 {
		p.throttled(now.Add(time.Duration(i+1) * time.Second))
	}
	require.Equal(t, pacerLeast, p.rate)
	later := now.Add(time.Hour)
	p.succeeded(later)
	require.LessOrEqual(t, p.rate, pacerLeast+pacerStep, "an idle hour proves nothing")
	for i := range 200 {
		p.succeeded(later.Add(time.Duration(i) * time.Second))
	}
	require.Equal(t, pacerMost, p.rate)
}
