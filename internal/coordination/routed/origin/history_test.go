package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/state/roster"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// targetsOf returns a list with one target of each version, which all started long ago.
func targetsOf(versions ...string) (out []roster.Target) {
	for _, version := range versions {
		out = append(out, roster.Target{ID: "t-" + version, Service: "s", Version: version, Started: start.Add(-time.Hour).UnixMilli()})
	}
	return out
}

func TestOnlyVersionOfService(t *testing.T) {
	longAgo := start.Add(-time.Hour)
	for name, c := range map[string]struct {
		lists [][]roster.Target
		want  string
	}{
		"one":               {[][]roster.Target{targetsOf("v1")}, "v1"},
		"two":               {[][]roster.Target{targetsOf("v1", "v2")}, ""},
		"three":             {[][]roster.Target{targetsOf("v1", "v2", "v3")}, ""},
		"replaced just now": {[][]roster.Target{targetsOf("v1"), targetsOf("v2")}, ""},
		"unknown":           {[][]roster.Target{targetsOf("")}, ""},
		"one and unknown":   {[][]roster.Target{targetsOf("v1", "")}, ""},
		"none":              {[][]roster.Target{nil}, ""},
		"not listed":        {nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			if c.lists != nil {
				h.setTargets(longAgo, nil)
			}
			for _, list := range c.lists {
				h.setTargets(start, list)
			}
			version, ok := h.onlyVersion(start.Add(-streamLifetime), "s")
			require.Equal(t, c.want, version)
			require.Equal(t, c.want != "", ok)
		})
	}
}

// Guards against a guess while streams of a version that has left may still be taken up.
func TestVersionThatLeftCountsForAsLongAsItsStreams(t *testing.T) {
	h := newHistory()
	h.setTargets(start.Add(-time.Hour), targetsOf("v1", "v2"))
	h.setTargets(start, targetsOf("v1", "v2"))
	for age := time.Duration(0); age <= 2*streamLifetime; age += time.Second {
		now := start.Add(age)
		h.setTargets(now, targetsOf("v2"))
		_, ok := h.onlyVersion(now.Add(-streamLifetime), "s")
		require.Equal(t, age > streamLifetime, ok, age)
	}
}

// Guards against a version that is forgotten while it serves: instances that follow a relay get the list only when it changes.
func TestVersionCountsAsLongAsTheListHasIt(t *testing.T) {
	h := newHistory()
	h.setTargets(start.Add(-time.Hour), targetsOf("v1", "v2"))
	_, ok := h.onlyVersion(start.Add(-streamLifetime), "s")
	require.False(t, ok, "both are listed")
	require.False(t, h.hasNoOther(start.Add(-streamLifetime), "s", "v2"))
	h.setTargets(start, targetsOf("v2"))
	for age := time.Duration(0); age <= 2*streamLifetime; age += time.Second {
		version, ok := h.onlyVersion(start.Add(age-streamLifetime), "s")
		require.Equal(t, age > streamLifetime, ok, age)
		require.Equal(t, ok, version == "v2", age)
	}
}

// Guards against a conclusion of an instance that has just started about versions that the list does not show, however
// long ago the listed targets started: targets of another version may have left a moment before, or not be listed yet.
func TestStartedInstanceConcludesNothingFromListAlone(t *testing.T) {
	for _, started := range []time.Duration{time.Second, time.Hour, -time.Hour} {
		list := targetsOf("v2")
		list[0].Started = start.Add(-started).UnixMilli()
		h := newHistory()
		h.setTargets(start, list)
		for age := time.Duration(0); age <= 2*streamLifetime; age += time.Second {
			now := start.Add(age)
			h.setTargets(now, list)
			_, ok := h.onlyVersion(now.Add(-streamLifetime), "s")
			require.Equal(t, age >= streamLifetime, ok, age)
		}
	}
}

// Guards against streams that can't be taken up after a restart though the past shows one version, and against those of a
// version that only the past shows being continued at another.
func TestStartedInstanceKnowsVersionsFromThePast(t *testing.T) {
	for name, c := range map[string]struct {
		past versionSet
		want string
	}{
		"one version":      {versionSet{"s": {"v2"}}, "v2"},
		"nothing recorded": {versionSet{}, "v2"},
		"other service":    {versionSet{"other": {"v1"}}, "v2"},
		"another version":  {versionSet{"s": {"v1"}}, ""},
		"two versions":     {versionSet{"s": {"v1", "v2"}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.setTargets(start, targetsOf("v2"))
			now := start.Add(time.Second)
			h.setPast(c.past)
			version, ok := h.onlyVersion(now.Add(-streamLifetime), "s")
			require.Equal(t, c.want, version)
			require.Equal(t, c.want != "", ok)
			later := start.Add(streamLifetime + time.Second)
			h.setTargets(later, targetsOf("v2"))
			_, ok = h.onlyVersion(later.Add(-streamLifetime), "s")
			require.True(t, ok, "streams of the past can't be taken up any more")
		})
	}
}

func TestServicesHaveTheirOwnVersions(t *testing.T) {
	h := newHistory()
	h.setTargets(start.Add(-time.Hour), nil)
	other := targetsOf("v2")
	other[0].Service = "other"
	h.setTargets(start, append(targetsOf("v1"), other...))
	version, ok := h.onlyVersion(start.Add(-streamLifetime), "s")
	require.True(t, ok)
	require.Equal(t, "v1", version)
}
