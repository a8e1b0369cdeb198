package routed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

var allRestarts = flag.Bool("restart-all", false, "play each time after which crashed targets are back and listed, not only some")

// entryTTL is the time from the last heartbeat of a target until its entry leaves the list.
const entryTTL = 3600 * time.Millisecond

// targetRestart is how a target comes back after it crashed.
type targetRestart struct {
	// back is the time from the crash until a process listens at the address again, listed the time from then until
	// it is in the list of targets.
	back, listed time.Duration
	// keepsID is set if the process has the id of the one that crashed.
	keepsID bool
}

func (r targetRestart) String() string {
	id := "new id"
	if r.keepsID {
		id = "same id"
	}
	return fmt.Sprintf("back after %v, listed %v later, %s", r.back, r.listed, id)
}

// targetRestarts returns the restarts that are played.
func targetRestarts() (out []targetRestart) {
	if !*allRestarts {
		return []targetRestart{
			{2 * time.Millisecond, 0, false}, {2 * time.Millisecond, 1200 * time.Millisecond, true}, {200 * time.Millisecond, 3 * time.Second, true},
			{200 * time.Millisecond, 3 * time.Second, false}, {time.Second, 1200 * time.Millisecond, true}, {4 * time.Second, 0, true},
		}
	}
	for _, back := range []time.Duration{2 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		for _, listed := range []time.Duration{0, 1200 * time.Millisecond, 3 * time.Second} {
			out = append(out, targetRestart{back, listed, false}, targetRestart{back, listed, true})
		}
	}
	return out
}

// restartAs makes the targets of a fleet come back in the same way each time.
func (f *crashFleet) restartAs(r targetRestart) {
	f.restart = func(crashed *target) {
		crashedAt := time.Now()
		time.AfterFunc(entryTTL, func() { f.expireEntry(crashed.id, crashedAt) })
		time.AfterFunc(r.back, func() { f.startAgain(crashed, r) })
	}
}

// expireEntry removes the entry of a target unless a process with its id was listed since some time.
func (f *crashFleet) expireEntry(id string, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if t.id == id && !t.silent && !t.listedAt.IsZero() && t.listedAt.After(since) {
			return
		}
	}
	f.store.Put("keyed.servers", id, nil)
}

// startAgain starts a process at the address of a target that crashed, and lists it later.
func (f *crashFleet) startAgain(crashed *target, r targetRestart) {
	if f.ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	id := crashed.id
	if !r.keepsID {
		f.starts++
		id = fmt.Sprintf("t-%d", f.starts)
	}
	started := f.newCrashingTarget(id, crashed.domain, crashed.ip)
	started.listen()
	time.AfterFunc(r.listed, func() { f.list(started) })
}

// list begins to list a target, unless it has crashed meanwhile.
func (f *crashFleet) list(t *target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.silent || f.ctx.Err() != nil {
		return
	}
	t.listedAt = time.Now()
	t.register()
	f.background.Go(t.heartbeatLoop)
}

// forEachRestart plays a test on a fleet for each way in which its targets come back.
func forEachRestart(t *testing.T, load func(n int) crashLoad, play func(t *testing.T, f *crashFleet)) {
	for n, restart := range targetRestarts() {
		t.Run(restart.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, load(n))
				f.restartAs(restart)
				play(t, f)
			})
		})
	}
}

// Guards against an item that ends one target after the other since these are back, or listed, sooner or later
// than a check of them expects.
func TestItemStopsWheneverEndedTargetsAreBack(t *testing.T) {
	for _, position := range []int{0, 12} {
		t.Run(fmt.Sprint("at event ", position), func(t *testing.T) {
			forEachRestart(t, func(n int) crashLoad {
				load := soundLoad(uint64(n), 10)
				load.crashesAt = crashesRequestsAt(position)
				return load
			}, func(t *testing.T, f *crashFleet) {
				const crashing, items = 1, 6
				require.Equal(t, http.StatusAccepted, f.instances[0].send(crashingItemsJob("job-a", crashing, items, 40)).status)
				f.serve(crashEnd, crashEnd)
				f.requireFewEnds(crashing)
				f.requireNoSoundRequestClosed()
				f.requireNeighboursDone("job-a", crashing, items)
			})
		})
	}
}

// Guards against repeats of a request by its caller that end one target after the other for the same reason.
func TestRepeatsStopWheneverEndedTargetsAreBack(t *testing.T) {
	for name, crashesAt := range crashingKinds() {
		t.Run(name, func(t *testing.T) {
			forEachRestart(t, func(n int) crashLoad {
				load := soundLoad(uint64(n), 18)
				load.crashesAt = crashesAt
				return load
			}, func(t *testing.T, f *crashFleet) {
				rng := rand.New(rand.NewPCG(1, 68))
				f.serve(crashEnd, crashEnd, crashEvent{crashBegin, func() { go f.repeatRequest(rng, crashingPrefix+"0", "/again/a/35", 30) }})
				f.requireFewEnds(1)
				f.requireNoSoundRequestClosed()
			})
		})
	}
}

// Guards against requests with a part that crashes targets that go on to reach them for the same reason.
func TestCrashingPartStopsWheneverEndedTargetsAreBack(t *testing.T) {
	forEachRestart(t, func(n int) crashLoad { return usualCrashLoad(uint64(n), 4) }, func(t *testing.T, f *crashFleet) {
		start := time.Now()
		f.serve(crashEnd, crashBegin)
		got := f.figures(start, crashBegin, crashEnd)
		t.Logf("%+v", got)
		require.GreaterOrEqual(t, got.crashes, 4)
		require.LessOrEqual(t, got.reached, toleratedRequests)
		f.requireClosed(got.closed)
	})
}

var checkedTarget = regexp.MustCompile(`at=(\S+) event=target_crash_checked target=(\S+) started=(\d+) crashed=(\w+) .*lost_ms=(\d+)`)

// checksOfTargets returns the number of checks of targets by whether these had ended, and whether their end counted.
func (f *crashFleet) checksOfTargets() map[bool]map[bool]int {
	endedAt := map[string]time.Time{}
	for _, t := range f.targets {
		if t.silent {
			endedAt[fmt.Sprint(t.id, " ", t.started)] = t.endedAt
		}
	}
	out := map[bool]map[bool]int{true: {}, false: {}}
	for _, inst := range f.instances {
		for _, match := range checkedTarget.FindAllStringSubmatch(inst.logs.String(), -1) {
			checkedAt, err := time.Parse(time.RFC3339Nano, match[1])
			require.NoError(f.t, err)
			lost, err := strconv.Atoi(match[5])
			require.NoError(f.t, err)
			at, ended := endedAt[match[2]+" "+match[3]]
			// The age of the loss is rounded down.
			lostAt := checkedAt.Add(-time.Duration(lost) * time.Millisecond)
			out[ended && !lostAt.Before(at)][match[4] == "true"]++
		}
	}
	return out
}

// losesAnswers returns faults by which targets lose a share of their answers.
func losesAnswers(seed uint64, share float64) func(id string) engine.Fault {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 69))
	return func(string) engine.Fault {
		mu.Lock()
		defer mu.Unlock()
		return engine.Fault{LoseAnswer: rng.Float64() < share}
	}
}

// Guards against sound requests that are closed since targets lose their answers around a restart, when the list
// still names the process before.
func TestLostAnswersAtRestartedTargetsCloseNoRequest(t *testing.T) {
	forEachRestart(t, func(n int) crashLoad {
		load := soundLoad(uint64(n), 36)
		load.faultFor = losesAnswers(uint64(n), 0.07)
		return load
	}, func(t *testing.T, f *crashFleet) {
		rng := rand.New(rand.NewPCG(2, 70))
		var events []crashEvent
		for n := range 16 {
			events = append(events, crashEvent{time.Duration(n) * time.Second, func() { f.crashSome(rng, 1) }})
		}
		require.Equal(t, http.StatusAccepted, f.instances[0].send(promptJob("job-a", func(n int) string { return fmt.Sprintf("j1:100,own%d:250", n) }, 12)).status)
		f.serve(crashEnd, crashEnd, events...)
		f.requireNoSoundRequestClosed()
		f.requireNeighboursDone("job-a", 0, 12)
		require.Empty(t, f.closedParts())
		checks := f.checksOfTargets()
		t.Logf("checks of targets that ended: %d counted, %d not; of others: %d not counted, %d counted", checks[true][true], checks[true][false], checks[false][false], checks[false][true])
		require.Zero(t, checks[true][false], "ends that do not count")
		require.Zero(t, checks[false][true], "lost answers that count as ends")
	})
}
