package routed

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

// itemTroubles are what happens after the second target has ended under an item.
var itemTroubles = map[string]func(f *crashFleet, item string) []crashEvent{
	"nothing": func(*crashFleet, string) []crashEvent { return nil },
	"owner killed": func(f *crashFleet, item string) []crashEvent {
		return []crashEvent{{0, func() { f.runnerOf(item).kill() }}}
	},
	"all restarted": func(f *crashFleet, _ string) []crashEvent {
		return []crashEvent{{0, f.killAll}, {500 * time.Millisecond, f.startAll}}
	},
	"in turn": func(f *crashFleet, _ string) (out []crashEvent) {
		for n, inst := range f.instances {
			out = append(out, crashEvent{time.Duration(500*n) * time.Millisecond, func() {
				inst.kill()
				inst.start()
			}})
		}
		return out
	},
}

// runnerOf returns the instance that lost the latest run of an item to its target.
func (f *crashFleet) runnerOf(item string) *testInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.endsOf[item][len(f.endsOf[item])-1].target
	for _, inst := range f.instances {
		if strings.Contains(inst.logs.String(), "event=request_target_ended request="+item+" ") &&
			strings.Contains(inst.logs.String(), " target="+last+" ") {
			return inst
		}
	}
	return f.instances[0]
}

// Guards against an item whose ended targets are forgotten with the instance that saw them, and against
// other items of its job that wait with it.
func TestItemsEndedTargetsSurviveTheirInstance(t *testing.T) {
	for name, trouble := range itemTroubles {
		for kind, crashesAt := range crashingKinds() {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					load := soundLoad(1, 8)
					load.crashesAt = crashesAt
					f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, load)
					const crashing, items = 1, 12
					job := crashingItemsJob("job-a", crashing, items, 40)
					require.Equal(t, http.StatusAccepted, f.instances[0].send(job).status)
					item := crashingPrefix + itemID("job-a", 0)
					begin := time.Now()
					for f.endCount(item) < 2 && time.Since(begin) < 10*time.Second {
						sleep(5 * time.Millisecond)
					}
					// The end is known to its instance and written to the store after some ten milliseconds.
					sleep(50 * time.Millisecond)
					f.serve(crashEnd, crashEnd, trouble(f, item)...)
					f.requireFewEnds(crashing)
					f.requireNeighboursDone("job-a", crashing, items)
					f.requireNoSoundRequestClosed()
					ends := f.endsOf[item]
					for n := 2; n < len(ends); n++ {
						// Whoever runs the item next has learned of the second end by then.
						require.GreaterOrEqual(t, ends[n].at.Sub(ends[n-1].at), time.Second)
					}
				})
			})
		}
	}
}

func (f *crashFleet) endCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.endsOf[id])
}

// ordinaryTroubles are faults of targets that no request causes.
var ordinaryTroubles = map[string]struct {
	// lostPerMille and brokenPerMille are the shares of answers that are lost or broken off.
	lostPerMille, brokenPerMille int
	// itemEvents is the number of events of each item.
	itemEvents int
	// crashes returns the number of targets that crash at one moment, pause the time to the next one.
	crashes func(rng *rand.Rand) int
	pause   func(rng *rand.Rand) time.Duration
}{
	"lost answers at 3 percent": {lostPerMille: 30, brokenPerMille: 30, itemEvents: 150},
	"lost answers at 7 percent": {lostPerMille: 70, brokenPerMille: 70, itemEvents: 150},
	"crashes": {
		itemEvents: 150,
		crashes:    func(*rand.Rand) int { return 1 },
		pause:      func(rng *rand.Rand) time.Duration { return time.Duration(1000+rng.IntN(2000)) * time.Millisecond },
	},
	"racks": {
		itemEvents: 150,
		crashes:    func(*rand.Rand) int { return 3 },
		pause:      func(rng *rand.Rand) time.Duration { return time.Duration(3000+rng.IntN(3000)) * time.Millisecond },
	},
	"racks in series": {
		itemEvents: 450,
		crashes:    func(*rand.Rand) int { return 4 },
		pause:      func(rng *rand.Rand) time.Duration { return time.Duration(2000+rng.IntN(2000)) * time.Millisecond },
	},
	"crashes and lost answers": {
		lostPerMille: 30, brokenPerMille: 30, itemEvents: 150,
		crashes: func(rng *rand.Rand) int { return 1 + rng.IntN(3) },
		pause:   func(rng *rand.Rand) time.Duration { return time.Duration(2000+rng.IntN(3000)) * time.Millisecond },
	},
}

// Guards against sound requests and items that wait or are rejected because they met crashes of targets,
// racks and lost answers.
func TestOrdinaryTroubleClosesNoRequest(t *testing.T) {
	for name, trouble := range ordinaryTroubles {
		for seed := range uint64(*crashSeeds) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					rng := rand.New(rand.NewPCG(seed, 54))
					load := soundLoad(seed, 15)
					load.faultFor = func(string) engine.Fault {
						switch at := rng.IntN(1000); {
						case at < trouble.lostPerMille:
							return engine.Fault{LoseAnswer: true}
						case at < trouble.lostPerMille+trouble.brokenPerMille:
							return engine.Fault{BreakAfter: 1 + rng.IntN(5)}
						default:
							return engine.Fault{}
						}
					}
					f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, load)
					const items = 20
					require.Equal(t, http.StatusAccepted, f.instances[0].send(batchJob("job-a", items, trouble.itemEvents)).status)
					var events []crashEvent
					if trouble.crashes != nil {
						for at := time.Second; at < crashEnd; at += trouble.pause(rng) {
							events = append(events, crashEvent{at, func() { f.crashSome(rng, trouble.crashes(rng)) }})
						}
					}
					f.serve(crashEnd, crashEnd, events...)
					sleep(15 * time.Second)
					f.requireNoSoundRequestClosed()
					require.Empty(t, f.closedParts())
					f.requireNeighboursDone("job-a", 0, items)
				})
			})
		}
	}
}

// Guards against a part that isn't closed because its requests are, and against sound requests that
// suffer from both.
func TestCrashingRequestsBesideCrashingPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := usualCrashLoad(3, 4)
		load.crashesAt = crashesAfterEvents(2)
		f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, load)
		start := time.Now()
		var events []crashEvent
		for n := range 4 {
			rng := rand.New(rand.NewPCG(uint64(n), 53))
			events = append(events, crashEvent{crashBegin, func() {
				go f.repeatRequest(rng, fmt.Sprint(crashingPrefix, n), "/again/a/35", 10)
			}})
		}
		f.serve(crashEnd, crashBegin, events...)
		got := f.figures(start, crashBegin, crashEnd)
		t.Logf("%+v, %d crashes under the part", got, len(f.crashesOf[crashingPart]))
		require.LessOrEqual(t, f.lateOf(crashingPart), toleratedRequests)
		require.GreaterOrEqual(t, got.after, soundShare*got.before)
		f.requireFewEnds(4)
	})
}

// Guards against requests that end more than three targets each since racks fail meanwhile.
func TestCrashingRequestsBesideRacks(t *testing.T) {
	for kind, crashesAt := range crashingKinds() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(0, 56))
				load := soundLoad(3, 10)
				load.crashesAt = crashesAt
				f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, load)
				const crashing, items = 1, 6
				require.Equal(t, http.StatusAccepted, f.instances[0].send(crashingItemsJob("job-a", crashing, items, 40)).status)
				var events []crashEvent
				for at := time.Second; at < crashEnd; at += 3 * time.Second {
					again := rand.New(rand.NewPCG(uint64(at), 56))
					events = append(events, crashEvent{at, func() { f.crashSome(rng, 3) }},
						crashEvent{at, func() { go f.repeatRequest(again, fmt.Sprint(crashingPrefix, at), "/again/a/35", 10) }})
				}
				f.serve(crashEnd, crashEnd, events...)
				f.requireFewEnds(crashing + len(events)/2)
			})
		})
	}
}

// Guards against a failure domain that is cut off and forgets, or never tells, which targets ended under
// a request.
func TestEndedTargetsAreToldAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := soundLoad(1, 10)
		load.crashesAt = crashesAfterEvents(0)
		f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, load)
		var own, others []string
		for _, inst := range f.instances {
			if inst.domain == "d0" {
				own = append(own, inst.ip)
			} else {
				others = append(others, inst.ip)
			}
		}
		for _, target := range f.targets {
			if target.domain == "d0" {
				own = append(own, target.ip)
			} else {
				others = append(others, target.ip)
			}
		}
		others = append(others, storeIP)
		f.net.Partition(own, others)
		sleep(time.Second)
		id := crashingPrefix + "s"
		request := callerRequest{id: id, path: "/again/a/35", key: keyOne, header: map[string]string{
			"Prompt-Prefix": "own:250", "Token-Count": "250,35", "Model": "m",
		}}
		for range 4 {
			f.instances[0].send(request)
			sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, f.endCount(id), toleratedEnds)
		f.net.HealPartition(own, others)
		sleep(3 * time.Second)
		for _, inst := range f.instances {
			inst.send(request)
		}
		f.logEnds()
		require.LessOrEqual(t, f.endCount(id), toleratedEnds)
	})
}

// Guards against items that are left lying since their targets refused connections behind a network
// partition, which looks like three ended targets until the second check.
func TestItemsGoOnAfterPartitionThatRefuses(t *testing.T) {
	for seed := range uint64(2 * *crashSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 55))
				f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, soundLoad(seed, 10))
				const items = 20
				require.Equal(t, http.StatusAccepted, f.instances[0].send(batchJob("job-a", items, 150)).status)
				var events []crashEvent
				for at := 500 * time.Millisecond; at < crashEnd; at += 5 * time.Second {
					cut := []string{f.instances[rng.IntN(len(f.instances))].ip}
					var others []string
					for _, inst := range f.instances {
						if inst.ip != cut[0] {
							others = append(others, inst.ip)
						}
					}
					for _, target := range f.targets {
						others = append(others, target.ip)
					}
					others = append(others, storeIP)
					events = append(events, crashEvent{at, func() { f.net.PartitionRefusing(cut, others) }},
						crashEvent{at + 3*time.Second, func() { f.net.HealPartitionRefusing(cut, others) }})
				}
				f.serve(crashEnd, crashEnd, events...)
				sleep(10 * time.Second)
				f.requireNeighboursDone("job-a", 0, items)
				for _, inst := range f.instances {
					require.Empty(t, inst.daemon.quarantine.Closures(), inst.name)
				}
			})
		})
	}
}
