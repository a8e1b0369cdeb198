package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// at returns a time after the start.
func at(d time.Duration) time.Time { return start.Add(d) }

// crashUnder records a crash of a further target under some parts every interval.
func crashUnder(e *Evidence, from, interval time.Duration, count int, parts ...string) {
	for n := range count {
		e.Crashed(at(from+time.Duration(n)*interval), fmt.Sprintf("t-%d-%d", from, n), 0, parts)
	}
}

// closedKeys returns what is closed.
func closedKeys(e *Evidence, now time.Time) (out []string) {
	for _, c := range e.Closures(now) {
		out = append(out, keyOf(c.Parts))
	}
	return out
}

const second = time.Second

// Guards against a crashing part that stays open, and against parts that are closed with it.
func TestPartIsClosedAfterCrashesUnderIt(t *testing.T) {
	e := NewEvidence("a")
	for n := range closeAfter {
		e.Evaluate(at(time.Duration(n) * second))
		require.Empty(t, closedKeys(e, at(time.Duration(n)*second)))
		e.Crashed(at(time.Duration(n)*second), fmt.Sprint("t-", n), 0, []string{"popular", fmt.Sprint("rare-", n%2), "dead"})
		e.Began(at(time.Duration(n)*second+second/2), []string{"popular", "other"})
	}
	now := at(10 * second)
	closed := e.Evaluate(now)
	require.Equal(t, []string{"dead"}, closedKeys(e, now))
	require.Equal(t, closeAfter, closed[0].Crashes)
	require.Equal(t, []string{"a"}, closed[0].SeenBy)
	require.Empty(t, e.Evaluate(now))
	require.True(t, e.Check(now, []string{"popular", "dead"}).Closed)
	require.False(t, e.Check(now, []string{"popular", "rare-0"}).Closed)
}

// Guards against parts that are closed by ordinary crashes: too few, all at one moment, each with a
// first event after it, or the same target reported by several requests.
func TestOrdinaryCrashesCloseNoPart(t *testing.T) {
	for name, crash := range map[string]func(e *Evidence){
		"few":  func(e *Evidence) { crashUnder(e, 0, second, closeAfter-1, "p") },
		"rack": func(e *Evidence) { crashUnder(e, 0, time.Millisecond, 20, "p") },
		"two racks": func(e *Evidence) {
			crashUnder(e, 0, time.Millisecond, 20, "p")
			crashUnder(e, 5*second, time.Millisecond, 20, "p")
		},
		"answered between": func(e *Evidence) {
			for n := range 20 {
				crashUnder(e, time.Duration(3*n)*second, second, 2, "p")
				e.Began(at(time.Duration(3*n+2)*second), []string{"p"})
			}
		},
		"one target": func(e *Evidence) {
			for n := range 20 {
				e.Crashed(at(time.Duration(n)*second), "t", 7, []string{"p"})
			}
		},
		"reported after a first event": func(e *Evidence) {
			e.Began(at(30*second), []string{"p"})
			for n := range 20 {
				e.Merge(at(40*second), &Report{Crashes: []Crash{{Target: fmt.Sprint(n), Parts: []string{"p"}, Age: time.Duration(40-n) * second}}})
			}
		},
		"long ago": func(e *Evidence) {
			for n := range 20 {
				e.Crashed(at(time.Duration(n)*crashTTL/2), fmt.Sprint(n), 7, []string{"p"})
				e.Evaluate(at(time.Duration(n) * crashTTL / 2))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvidence("a")
			crash(e)
			require.Empty(t, e.Evaluate(at(time.Minute)))
		})
	}
}

// Guards against a rare sound part that is closed since its requests were beside those with the
// crashing part at several targets.
func TestPartBesideCrashingPartIsNotClosed(t *testing.T) {
	e := NewEvidence("a")
	for n := range 12 {
		parts := []string{"dead"}
		if n%3 > 0 {
			parts = append(parts, "rare")
		}
		e.Crashed(at(time.Duration(n)*second), fmt.Sprint("t-", n), 0, parts)
		e.Evaluate(at(time.Duration(n)*second + second/2))
	}
	e.Evaluate(at(20 * second))
	require.Equal(t, []string{"dead"}, closedKeys(e, at(20*second)))
	crashUnder(e, 21*second, second, closeAfter-1, "rare")
	e.Evaluate(at(30 * second))
	require.Equal(t, []string{"dead"}, closedKeys(e, at(30*second)), "after ordinary crashes as well")
}

// Guards against a sound part that is closed since no crash tells it from the crashing part, and
// against a crashing part that stays open beside other parts.
func TestInseparablePartsAreClosedTogetherUntilACrashTellsThemApart(t *testing.T) {
	e := NewEvidence("a")
	crashUnder(e, 0, second, closeAfter, "first", "dead")
	now := at(10 * second)
	e.Evaluate(now)
	require.Equal(t, []string{"dead,first"}, closedKeys(e, now))
	require.False(t, e.Check(now, []string{"first", "b7"}).Closed)
	require.True(t, e.Check(now, []string{"first", "dead"}).Closed)

	crashUnder(e, 11*second, second, 2, "second", "dead")
	now = at(20 * second)
	e.Evaluate(now)
	require.Equal(t, []string{"dead", "dead,first"}, closedKeys(e, now))
	require.True(t, e.Check(now, []string{"third", "dead"}).Closed)
	require.False(t, e.Check(now, []string{"first", "second"}).Closed)
}

// Guards against a second crashing part that hides behind the first one.
func TestTwoCrashingPartsAreClosed(t *testing.T) {
	e := NewEvidence("a")
	for n := range 10 {
		e.Crashed(at(time.Duration(n)*second), fmt.Sprint("t-", n), 0, []string{"f1", fmt.Sprint("dead-", n%2)})
		e.Began(at(time.Duration(n)*second+time.Millisecond), []string{"f1"})
	}
	e.Evaluate(at(20 * second))
	require.Equal(t, []string{"dead-0", "dead-1"}, closedKeys(e, at(20*second)))
}

// Guards against a report that is late, and without which a sound part seems to have more crashes
// than the crashing one.
func TestSoundPartWithOneCrashMoreIsNotClosedAlone(t *testing.T) {
	e := NewEvidence("a")
	crashUnder(e, 0, second, closeAfter, "first", "dead")
	crashUnder(e, 8*second, second, 1, "first")
	now := at(20 * second)
	e.Evaluate(now)
	require.Equal(t, []string{"dead,first"}, closedKeys(e, now))
	require.False(t, e.Check(now, []string{"first", "b7"}).Closed)
}

// Guards against a closed part that stays closed for good, against more than one trial at a time,
// and against trials that go on at the same interval.
func TestClosedPartIsTriedAgainByOneRequest(t *testing.T) {
	e, other := NewEvidence("a"), NewEvidence("b")
	crashUnder(e, 0, second, closeAfter, "dead")
	e.Evaluate(at(10 * second))
	last := time.Duration(closeAfter-1) * second
	exchange := func(now time.Time) {
		other.Merge(now, e.Since(now, 0, false))
		e.Merge(now, other.Since(now, 0, false))
	}
	exchange(at(11 * second))
	parts := []string{"f1", "dead"}
	pause := firstTrialAfter
	for range 3 {
		before := at(last + pause - 10*second)
		require.True(t, e.Check(before, parts).Closed)
		require.Equal(t, 10*second, e.Check(before, parts).RetryAfter)
		now := at(last + pause)
		// Both claim the trial, before they know of the other's claim.
		require.True(t, e.Check(now, parts).Closed)
		require.True(t, other.Check(now, parts).Closed)
		exchange(now.Add(second))
		now = now.Add(claimTime)
		require.False(t, other.Check(now, parts).Trial)
		require.True(t, e.Check(now, parts).Trial)
		require.True(t, e.Check(now, parts).Closed, "only one")
		last += pause + claimTime + second
		e.Crashed(at(last), fmt.Sprint("trial-", pause), 0, parts)
		exchange(at(last))
		pause *= 2
	}
	now := at(last + pause)
	e.Check(now, parts)
	now = now.Add(claimTime)
	require.True(t, e.Check(now, parts).Trial)
	require.Len(t, e.Began(now.Add(second), parts), 1)
	exchange(now.Add(2 * second))
	for _, evidence := range []*Evidence{e, other} {
		require.Equal(t, Decision{}, evidence.Check(now.Add(3*second), parts))
		// One ordinary crash does not close it again.
		evidence.Crashed(now.Add(4*second), "t", 0, parts)
		evidence.Evaluate(now.Add(10 * second))
		require.Empty(t, closedKeys(evidence, now.Add(10*second)))
	}
}

// Guards against a trial that nobody finishes, since the instance that claimed it is gone.
func TestClaimOfTrialExpires(t *testing.T) {
	e, other := NewEvidence("a"), NewEvidence("b")
	crashUnder(e, 0, second, closeAfter, "dead")
	e.Evaluate(at(10 * second))
	now := at(firstTrialAfter + 10*second)
	e.Check(now, []string{"dead"})
	other.Merge(now, e.Since(now, 0, false))
	require.False(t, other.Check(now.Add(claimTime), []string{"dead"}).Trial)
	now = now.Add(claimTTL)
	other.Check(now, []string{"dead"})
	require.True(t, other.Check(now.Add(claimTime), []string{"dead"}).Trial)
}

// Guards against evidence that grows with what callers send.
func TestEvidenceIsBounded(t *testing.T) {
	e := NewEvidence("a")
	for n := range 3000 {
		now := at(time.Duration(n) * 20 * time.Millisecond)
		e.Crashed(now, fmt.Sprint("t-", n), 0, []string{fmt.Sprint("p-", n), fmt.Sprint("q-", n/4), fmt.Sprint("r-", n/40)})
		e.Began(now, []string{fmt.Sprint("s-", n), fmt.Sprint("p-", n)})
		if n%50 == 0 {
			e.Evaluate(now)
		}
	}
	require.LessOrEqual(t, len(e.crashes.crashes), maxCrashes)
	require.LessOrEqual(t, len(e.closures.all), maxClosures)
	require.LessOrEqual(t, len(e.began), maxCrashes*maxSuspects)
	require.LessOrEqual(t, len(e.recent.current)+len(e.recent.previous), 2*maxRecentParts)
	e.Evaluate(at(24 * time.Hour))
	require.Empty(t, e.crashes.crashes)
	require.Empty(t, e.began)
	require.Empty(t, e.closures.all)
	require.Empty(t, e.closures.ofParts)
}

// mergeRandomly gives the evidence of several instances to each other in a random order, with
// repeated and lost reports, until nothing changes.
func mergeRandomly(rng *rand.Rand, now time.Time, list []*Evidence) {
	for range 200 {
		from, to := list[rng.IntN(len(list))], list[rng.IntN(len(list))]
		if report := from.Since(now, uint64(rng.IntN(3)), false); report != nil && rng.IntN(4) > 0 {
			to.Merge(now, report)
		}
	}
	for range 2 {
		for _, from := range list {
			for _, to := range list {
				if report := from.Since(now, 0, false); report != nil && from != to {
					to.Merge(now, report)
				}
			}
		}
	}
}

// Guards against instances that close different parts although they know the same, whatever the
// order in which reports came.
func TestInstancesCloseTheSameParts(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 47))
		var list []*Evidence
		for n := range 5 {
			list = append(list, NewEvidence(fmt.Sprint("i-", n)))
		}
		for n := range 24 {
			now := at(time.Duration(n) * second / 2)
			parts := []string{fmt.Sprint("dead-", rng.IntN(2)), fmt.Sprint("f-", rng.IntN(2))}
			// Requests of several instances are lost at each crash.
			list[rng.IntN(5)].Crashed(now, fmt.Sprint("t-", n), 0, parts)
			list[rng.IntN(5)].Crashed(now, fmt.Sprint("t-", n), 0, []string{fmt.Sprint("b-", rng.IntN(6)), "f-0"})
			list[rng.IntN(5)].Began(now.Add(second/8), []string{"f-0"})
			list[rng.IntN(5)].Began(now.Add(second/4), []string{"f-1", fmt.Sprint("b-", rng.IntN(6))})
			mergeRandomly(rng, now.Add(second/3), list[:2+rng.IntN(4)])
		}
		now := at(20 * second)
		mergeRandomly(rng, now, list)
		for _, e := range list {
			e.Evaluate(now)
		}
		mergeRandomly(rng, now, list)
		for _, e := range list {
			require.Equal(t, []string{"dead-0", "dead-1"}, closedKeys(e, now), seed)
		}
		for _, e := range list {
			for _, other := range list {
				report := other.Since(now, 0, false)
				before := e.version
				e.Merge(now, report)
				require.Equal(t, before, e.version, "what is known changes nothing")
			}
		}
	}
}

// Guards against a reader that misses a change, or reads all again with each message.
func TestReaderGetsWhatChanged(t *testing.T) {
	e := NewEvidence("a")
	require.Nil(t, e.Since(start, 0, false))
	e.Crashed(start, "t-0", 0, []string{"p"})
	first := e.Since(start, 0, false)
	require.Len(t, first.Crashes, 1)
	require.Nil(t, e.Since(start, first.Version, false))
	e.Crashed(start, "t-1", 0, []string{"q"})
	e.Began(at(second), []string{"q"})
	next := e.Since(at(second), first.Version, false)
	require.Equal(t, []string{"q"}, next.Crashes[0].Parts)
	require.Equal(t, "q", next.Began[0].Part)
	require.Len(t, e.Since(at(second), next.Version+100, false).Crashes, 2, "of another incarnation")
}

// Guards against damaged reports: negative ages, closures without parts, far too old ones.
func TestDamagedReportsChangeNothing(t *testing.T) {
	e := NewEvidence("a")
	e.Merge(start, &Report{
		Crashes:  []Crash{{Target: "t", Parts: []string{"p"}, Age: -second}, {Target: "u", Parts: []string{"p"}, Age: 2 * crashTTL}},
		Began:    []FirstEvent{{Part: "p", Age: -second}, {Part: "never named", Age: second}},
		Closures: []Closure{{}, {Parts: []string{"p"}, LastCrashAge: 2 * closureTTL}, {Parts: []string{"p"}, LastCrashAge: -second}},
	})
	require.Nil(t, e.Since(start, 0, false))
}

func TestPartsAreBounded(t *testing.T) {
	long := make([]byte, 1000)
	got := bounded(append(slices.Repeat([]string{"p"}, 40), string(long)))
	require.Len(t, got, maxParts)
	require.Len(t, bounded([]string{string(long)})[0], maxPartLength)
}
