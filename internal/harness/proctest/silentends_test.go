package proctest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var silentSeeds = flag.Int("silent-seeds", 0, "number of drawn ways in which targets end, of TestRepeatsStopHoweverTargetsEnd")

// drawnCase draws a way in which targets end, are back and tell of themselves.
func drawnCase(seed int) restartCase {
	rng := rand.New(rand.NewPCG(uint64(seed), 71))
	between := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(rng.Int64N(int64(most-least)))).Round(100 * time.Millisecond)
	}
	r := targetRestart{
		ending: []targetEnding{exits, stops, stops, hangs}[rng.IntN(4)], killedAfter: between(200*time.Millisecond, 5*time.Second),
		back: between(300*time.Millisecond, 8*time.Second), listed: []time.Duration{0, time.Second, 3 * time.Second}[rng.IntN(3)],
		renews: rng.IntN(2) == 0, newIDs: rng.IntN(2) == 0, report: []targetReport{tellsStart, tellsStart, tellsNoStart}[rng.IntN(3)],
	}
	c := restartCase{restart: r}
	pauses := rng.IntN(3) == 0
	if pauses {
		c.disturb = func(ctx context.Context, f *routedFleet) { pauseTargets(ctx, f.supervised) }
	}
	c.name = fmt.Sprintf("seed %d, %q after %v, back after %v, listed %v later, renews %v, new ids %v, report tells %q, targets paused %v",
		seed, r.ending, r.killedAfter, r.back, r.listed, r.renews, r.newIDs, r.report, pauses)
	return c
}

// Guards against repeats without bound in a way of an end that nobody has listed.
func TestRepeatsStopHoweverTargetsEnd(t *testing.T) {
	for seed := range *silentSeeds {
		c := drawnCase(seed + 1)
		t.Run(c.name, func(t *testing.T) { playCase(t, c) })
	}
}

// silentEndCases are ways in which target processes end, or tell less of themselves than others, so that an instance
// does not notice the end when it comes.
func silentEndCases() []restartCase {
	usual := []restartCase{
		{"stopped, killed after 3 s", targetRestart{back: 300 * time.Millisecond, ending: stops, killedAfter: 3 * time.Second}, nil},
		{"hangs, killed after 3 s", targetRestart{back: 300 * time.Millisecond, ending: hangs, killedAfter: 3 * time.Second, renews: true}, nil},
		{"report tells no start, port stays open", targetRestart{portStaysOpen: true, report: tellsNoStart}, nil},
	}
	if !*allRestarts {
		return usual
	}
	return append(usual, []restartCase{
		{"stopped, killed after 1 s", targetRestart{back: 300 * time.Millisecond, ending: stops, killedAfter: time.Second}, nil},
		{"stopped past the expiry of its entry", targetRestart{back: 300 * time.Millisecond, ending: stops, killedAfter: entryTTL + 2*time.Second}, nil},
		{"stopped, its entry renewed, killed after 6 s", targetRestart{back: 300 * time.Millisecond, ending: stops, killedAfter: 6 * time.Second, renews: true}, nil},
		{"hangs, killed after 8 s", targetRestart{back: 300 * time.Millisecond, ending: hangs, killedAfter: 8 * time.Second, renews: true}, nil},
		{"hangs past the expiry of its entry", targetRestart{back: 300 * time.Millisecond, ending: hangs, killedAfter: entryTTL + 2*time.Second}, nil},
		{"host falls silent", targetRestart{back: 2 * time.Second, newIDs: true, ending: stops, staysSilent: true}, nil},
		{"stopped, instances paused in turn", targetRestart{back: 300 * time.Millisecond, ending: stops, killedAfter: 2 * time.Second}, pauseInTurn(time.Second)},
		{"stopped, instances killed in turn", targetRestart{back: 300 * time.Millisecond, ending: stops, killedAfter: 2 * time.Second}, killInTurn(0)},
		{"instances paused for longer than a stall", targetRestart{back: 300 * time.Millisecond}, pauseInTurn(2500 * time.Millisecond)},
		{"no report, port stays open", targetRestart{portStaysOpen: true, report: tellsNothing}, nil},
		{"report tells no start, listed late", targetRestart{back: 300 * time.Millisecond, listed: 3 * time.Second, report: tellsNoStart}, nil},
		{"targets paused, and read later what was given up", targetRestart{back: 300 * time.Millisecond}, func(ctx context.Context, f *routedFleet) { pauseTargets(ctx, f.supervised) }},
		{"failed items answered after 2 s", targetRestart{back: 2 * time.Second, failAfter: 2 * time.Second}, nil},
	}...)
}

// Guards against items, repeats of a request and requests with a crashing part that end one target after the other,
// since their targets end without closing the connection, or do not tell which process they are.
func TestRepeatsStopWhenTargetsEndSilently(t *testing.T) {
	for _, c := range silentEndCases() {
		t.Run(c.name, func(t *testing.T) { playCase(t, c) })
	}
}

// Guards against sound requests that are closed, or wait, since their targets were paused and went on.
func TestPausedTargetsCloseNoRequest(t *testing.T) {
	dir := t.TempDir()
	f := startRoutedWith(t, dir, restartInstances, func(f *routedFleet) {
		for n := range restartInstances {
			f.superviseTarget(dir, n, crashesAt, targetRestart{})
		}
	})
	ctx, stop := context.WithTimeout(f.ctx, 20*time.Second)
	defer stop()
	var items []string
	for n := range 20 {
		items = append(items, fmt.Sprint("good-", n))
	}
	f.submit("job-a", jobOf(items...))
	paused := make(chan struct{})
	go func() {
		defer close(paused)
		pauseTargets(ctx, f.supervised)
	}()
	sound := f.sendSound(ctx, 1, 20)
	<-paused
	t.Logf("sound requests: %d of %d served, %v", sound.served, sound.sent, sound.status)
	require.Zero(t, f.countLogged("event=request_closed"))
	require.Zero(t, f.countLogged("event=part_closed"))
	require.Zero(t, f.countLogged("event=item_held"))
}

// countLogged returns the number of lines of instances with a text.
func (f *routedFleet) countLogged(text string) (count int) {
	for _, i := range f.instances {
		log, err := os.ReadFile(i.process.LogFile)
		require.NoError(f.t, err)
		count += strings.Count(string(log), text)
	}
	return count
}

// Guards against an instance that was paused, goes on, and sends an item to a further target before it has read that
// others have closed it meanwhile.
func TestPausedInstancesSendNoClosedItem(t *testing.T) {
	dir := t.TempDir()
	f := startRoutedWith(t, dir, restartInstances, func(f *routedFleet) {
		for n := range restartInstances {
			f.superviseTarget(dir, n, crashesAt, targetRestart{back: 8 * time.Second})
		}
	})
	// The trial of the item comes 18 s after its third end.
	ctx, stop := context.WithTimeout(f.ctx, 15*time.Second)
	defer stop()
	paused := make(chan struct{})
	go func() {
		defer close(paused)
		pauseInTurn(entryTTL+2*time.Second)(ctx, f)
	}()
	f.submit("job-a", jobOf(crashesPrefix+"item", "good-0"))
	<-paused
	f.requireFewRuns(dir, crashesPrefix+"item", toleratedEnds)
}

// requireFewRuns requires that targets began to run a request, but not more often than it may end them.
func (f *routedFleet) requireFewRuns(dir, id string, most int) {
	runs := runsOf(f.runsIn(dir), id)
	for _, run := range runs {
		f.t.Logf("%s at %s, %s", run.ID, run.Target, time.Unix(0, run.At).Format("05.000"))
	}
	require.NotEmpty(f.t, runs)
	require.LessOrEqual(f.t, len(runs), most)
}
