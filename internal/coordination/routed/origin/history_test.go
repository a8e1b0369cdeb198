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
		out = append(out, roster.Target{ID: "t-" + version, Service: "s", Version: version, Domain: "d0", Started: start.Add(-time.Hour).UnixMilli()})
	}
	return out
}

// pastOf returns a past in which a service had versions, all in one failure domain.
func pastOf(service string, versions ...string) VersionSet {
	past := VersionSet{}
	for _, version := range versions {
		past.add(service, version, "d0")
	}
	return past
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

// watchedHistory returns a history that has had a list of versions for an hour, with all failure domains in reach.
func watchedHistory(versions ...string) *history {
	h := newHistory()
	h.setTargets(start.Add(-time.Hour), targetsOf(versions...))
	h.setReached(start, map[string]bool{"d0": true})
	return h
}

// Guards against a version that is forgotten while targets in a failure domain that is out of reach may serve: their entries
// have lapsed.
func TestVersionOfUnreachableFailureDomainCounts(t *testing.T) {
	const unreachable = time.Minute
	h := watchedHistory("v1", "v2")
	h.setTargets(start, targetsOf("v2"))
	for age := time.Duration(0); age <= unreachable+2*streamLifetime; age += time.Second {
		h.setReached(start.Add(age), reachedIf(age > unreachable))
		_, ok := h.onlyVersion(start.Add(age-streamLifetime), "s")
		require.Equal(t, age > unreachable+streamLifetime, ok, age)
	}
}

// reachedIf returns the failure domains in reach: d0 or none.
func reachedIf(reached bool) map[string]bool {
	if reached {
		return map[string]bool{"d0": true}
	}
	return nil
}

// Guards against streams that can't be taken up all the while that a failure domain is out of reach, though the other version had
// left before, so that no stream begins at it.
func TestVersionThatLeftBeforeFailureDomainWasOutOfReachIsForgotten(t *testing.T) {
	leaving := targetsOf("v1", "v2")
	leaving[0].Leaving = true
	for name, list := range map[string][]roster.Target{"unlisted": targetsOf("v2"), "leaving, then unlisted": leaving} {
		h := watchedHistory("v1", "v2")
		h.setTargets(start, list)
		h.setReached(start.Add(maxListAge+time.Second), reachedIf(true))
		h.setTargets(start.Add(maxListAge+2*time.Second), targetsOf("v2"))
		for age := maxListAge + 2*time.Second; age <= 3*streamLifetime; age += time.Second {
			h.setReached(start.Add(age), nil)
		}
		_, ok := h.onlyVersion(start.Add(2*streamLifetime), "s")
		require.True(t, ok, name)
	}
}

// Guards against a version that counts for ever since it ended together with all of its failure domain.
func TestVersionOfFailureDomainThatIsGoneIsForgotten(t *testing.T) {
	h := watchedHistory("v1", "v2")
	h.setTargets(start, targetsOf("v2"))
	for age := time.Duration(0); age <= 2*maxUnreachable; age += time.Second {
		h.setReached(start.Add(age), nil)
		_, ok := h.onlyVersion(start.Add(age-streamLifetime), "s")
		require.Equal(t, age > maxUnreachable+streamLifetime, ok, age)
	}
}

// Guards against a conclusion of an instance that has just started while a failure domain is out of reach: the list may lack the
// versions that serve there, however long it has been known.
func TestStartedInstanceConcludesNothingWhileFailureDomainIsOutOfReach(t *testing.T) {
	for version, known := range map[string]bool{"v1": false, "v2": true} {
		h := newHistory()
		h.setTargets(start, targetsOf("v2"))
		for age := time.Duration(0); age <= 2*streamLifetime; age += time.Second {
			h.setReached(start.Add(age), nil)
			_, ok := h.onlyVersion(start.Add(age-streamLifetime), "s")
			require.False(t, ok, age)
		}
		h.setPast(pastOf("s", version))
		for age := 2 * streamLifetime; age <= 4*streamLifetime; age += time.Second {
			_, ok := h.onlyVersion(start.Add(age-streamLifetime), "s")
			require.Equal(t, known, ok, "past with %s, %s", version, age)
			h.setReached(start.Add(age), nil)
		}
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
		past VersionSet
		want string
	}{
		"one version":      {pastOf("s", "v2"), "v2"},
		"nothing recorded": {VersionSet{}, "v2"},
		"other service":    {pastOf("other", "v1"), "v2"},
		"another version":  {pastOf("s", "v1"), ""},
		"two versions":     {pastOf("s", "v1", "v2"), ""},
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

// Guards against streams that begin at a version which other instances have not read of though their lists count as
// current, and against a service without targets since all of its versions are new.
func TestStreamsBeginAtVersionsThatAreListedForLong(t *testing.T) {
	leaving := func(list []roster.Target) []roster.Target {
		for i := range list {
			list[i].Leaving = list[i].Version == "v1"
		}
		return list
	}
	settled := start.Add(time.Minute)
	for name, c := range map[string]struct {
		lists [][]roster.Target
		after time.Duration
		want  []string
	}{
		"one version":                      {[][]roster.Target{targetsOf("v1")}, 0, nil},
		"several in the first list":        {[][]roster.Target{targetsOf("v1", "v2")}, 0, nil},
		"a second one has just joined":     {[][]roster.Target{targetsOf("v1"), targetsOf("v1", "v2")}, 0, []string{"v1"}},
		"a second one has joined long ago": {[][]roster.Target{targetsOf("v1"), targetsOf("v1", "v2")}, versionSettleTime, nil},
		"the first one is gone":            {[][]roster.Target{targetsOf("v1"), targetsOf("v2")}, 0, nil},
		"the first one is leaving":         {[][]roster.Target{targetsOf("v1"), leaving(targetsOf("v1", "v2"))}, 0, nil},
		"it left and joined again":         {[][]roster.Target{targetsOf("v1", "v2"), targetsOf("v1"), targetsOf("v1", "v2")}, 0, []string{"v1"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			for i, list := range c.lists {
				h.setTargets(settled.Add(time.Duration(i-len(c.lists)+1)*time.Second), list)
			}
			require.Equal(t, c.want, h.settled(settled.Add(c.after-versionSettleTime), "s"))
		})
	}
}
