package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A virtual machine is suspended while it has unspent grants. Its monotonic
// clock does not advance meanwhile, so it would spend tokens that their holders
// already count as expired.
func TestSuspensionDiscardsGrants(t *testing.T) {
	var s suspension
	now := time.Now()
	require.False(t, s.detected(now))
	require.False(t, s.detected(now.Add(time.Hour)), "both clocks advanced")
	require.True(t, clockPaused(time.Minute, time.Second))
	require.False(t, clockPaused(time.Second, time.Minute), "the wall clock was set back")
	c := NewCore("i", "a", Defaults())
	c.accounts["o"] = &account{grants: []grant{{expiresAt: now.Add(time.Second), amount: 1}}}
	c.discardTimeLimited()
	require.Zero(t, c.accounts["o"].availableGrants(now))
}
