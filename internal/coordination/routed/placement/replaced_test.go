package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/state/roster"
)

// Guards against sending to a replaced target again because a new list still contains its entry,
// and against never using a target again that is running.
func TestReplacedTargetIsUsedAgainOnceItsEntryIsRenewed(t *testing.T) {
	entry := roster.Target{ID: "t", Service: "s", Domain: "d0", Address: "10.0.0.1:1", Slots: 8, Started: 5, Seq: 3}
	with := func(edit func(*roster.Target)) []roster.Target {
		changed := entry
		edit(&changed)
		return []roster.Target{changed}
	}
	for name, test := range map[string]struct {
		lists [][]roster.Target
		used  bool
	}{
		"same entry":             {[][]roster.Target{{entry}}, false},
		"older entry":            {[][]roster.Target{with(func(t *roster.Target) { t.Seq = 2 })}, false},
		"entry without a number": {[][]roster.Target{with(func(t *roster.Target) { t.Seq = 0 })}, false},
		"renewed entry":          {[][]roster.Target{with(func(t *roster.Target) { t.Seq = 4 })}, true},
		"restarted":              {[][]roster.Target{with(func(t *roster.Target) { t.Started, t.Seq = 6, 1 })}, true},
		"moved":                  {[][]roster.Target{with(func(t *roster.Target) { t.Address = "10.0.0.2:1" })}, true},
		"listed again":           {[][]roster.Target{nil, {entry}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(0, 0)
			c.SetTargets([]roster.Target{entry})
			choice := pick(t, c, start, Requirements{})
			c.Done(start, choice, Replaced)
			require.False(t, c.HasTargets(Requirements{Service: "s"}))
			require.Len(t, c.Replaced("d0"), 1)
			for _, list := range test.lists {
				c.SetTargets(list)
			}
			_, used := c.Pick(after(time.Hour), Requirements{Service: "s"})
			require.Equal(t, test.used, used)
			require.Equal(t, test.used, len(c.Replaced("")) == 0)
		})
	}
}

// Guards against brokers that grant a replaced target because the requesting instance has no
// other one: it is excluded although targets that only failed are not.
func TestReplacedTargetIsExcludedEvenWithoutOthers(t *testing.T) {
	c := newTestCore(1, 2)
	c.Done(start, pick(t, c, start, Requirements{Exclude: []string{"t0-1"}}), Replaced)
	c.Done(start, pick(t, c, start, Requirements{}), Unreachable)
	require.Equal(t, []string{"t0-0"}, c.Untrusted(start, Requirements{Service: "s"}))
}
