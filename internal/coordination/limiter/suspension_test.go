package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A virtual machine is suspended with tokens in hand. Its monotonic clock stands
// still meanwhile, and it would spend tokens that others count as ended.
func TestSuspensionDropsWhatMayHaveEnded(t *testing.T) {
	var s suspension
	now := time.Now()
	require.False(t, s.passed(now))
	require.False(t, s.passed(now.Add(time.Hour)), "both clocks went on")
	require.True(t, stoodStill(time.Minute, time.Second))
	require.False(t, stoodStill(time.Second, time.Minute), "the wall clock was set back")
	c := NewCore("i", "a", Defaults())
	c.accounts["o"] = &account{grants: []lent{{until: now.Add(time.Second), amount: 1}}}
	c.forgetPerishable()
	require.Zero(t, c.accounts["o"].granted(now))
}
