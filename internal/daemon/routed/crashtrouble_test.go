package routed

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/sharedstore"
)

var crashSeeds = flag.Int("crash-seeds", 1, "seeds of each test of crashing parts beside other trouble")

const (
	crashBegin = 4 * time.Second
	crashEnd   = 20 * time.Second
)

// usualCrashLoad has the crashing part in the second place, as the others have one of thirty parts.
func usualCrashLoad(seed uint64, perSecond float64) crashLoad {
	load := crashLoads["second part"]
	load.path, load.perSecond, load.seed, load.soundPrompt = "/again/a/35", perSecond, seed, thirtyParts
	return load
}

// crashTroubles are what happens beside a crashing part. Each is ended before the end of the test.
var crashTroubles = map[string]func(f *crashFleet) []crashEvent{
	"all restarted": func(f *crashFleet) []crashEvent {
		return []crashEvent{{9 * time.Second, f.killAll}, {9500 * time.Millisecond, f.startAll}}
	},
	"all restarted while the store is silent": func(f *crashFleet) []crashEvent {
		silent := func(on bool) func() {
			return func() {
				for _, inst := range f.instances {
					inst.storeAccess.Set(sharedstore.Fault{Silent: on})
				}
			}
		}
		return []crashEvent{
			{8500 * time.Millisecond, silent(true)}, {9 * time.Second, f.killAll}, {9500 * time.Millisecond, f.startAll}, {11 * time.Second, silent(false)},
		}
	},
	"in turn": func(f *crashFleet) (out []crashEvent) {
		for n, inst := range f.instances {
			out = append(out, crashEvent{time.Duration(3000+1500*n) * time.Millisecond, func() {
				inst.kill()
				inst.start()
			}})
		}
		return out
	},
	"store silent from the start": func(f *crashFleet) []crashEvent {
		return []crashEvent{{time.Second, func() {
			for _, inst := range f.instances {
				inst.storeAccess.Set(sharedstore.Fault{Silent: true})
			}
		}}, {crashEnd - 3*time.Second, func() {
			for _, inst := range f.instances {
				inst.storeAccess.Set(sharedstore.Fault{})
			}
		}}}
	},
	"targets crash by themselves": func(f *crashFleet) (out []crashEvent) {
		rng := rand.New(rand.NewPCG(f.load.seed, 48))
		for n := range 10 {
			out = append(out, crashEvent{time.Duration(n) * 2 * time.Second, func() { f.crashSome(rng, 1+rng.IntN(2)) }})
		}
		return out
	},
}

// crashSome ends the processes of some targets at one moment, whatever they run.
func (f *crashFleet) crashSome(rng *rand.Rand, count int) {
	var running []*target
	for _, t := range f.targets {
		if !t.silent {
			running = append(running, t)
		}
	}
	for _, n := range rng.Perm(len(running))[:min(count, len(running))] {
		f.crash(running[n])
	}
}

// Guards against closed parts that are open again after restarts, without the store, or beside
// targets that crash by themselves.
func TestCrashingPartStaysClosedBesideOtherTrouble(t *testing.T) {
	for name, trouble := range crashTroubles {
		for seed := range uint64(*crashSeeds) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, usualCrashLoad(seed, 4))
					start := time.Now()
					f.serve(crashEnd, crashBegin, trouble(f)...)
					got := f.figures(start, crashBegin, crashEnd)
					t.Logf("%+v", got)
					require.LessOrEqual(t, got.reached, toleratedRequests)
					f.requireClosed(got.closed)
				})
			})
		}
	}
}

// Guards against a failure domain that goes on to crash its targets while it is cut off from the
// others and the store, or that the others learn nothing from afterwards.
func TestDomainThatIsCutOffClosesPartItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, usualCrashLoad(1, 6))
		var own, others []string
		for _, inst := range f.instances {
			if inst.domain == "d0" {
				own = append(own, inst.ip)
			} else {
				others = append(others, inst.ip)
			}
		}
		for _, t := range f.targets {
			if t.domain == "d0" {
				own = append(own, t.ip)
			} else {
				others = append(others, t.ip)
			}
		}
		others = append(others, storeIP)
		start := time.Now()
		f.serve(crashEnd, crashBegin, crashEvent{2 * time.Second, func() { f.net.Partition(own, others) }},
			crashEvent{14 * time.Second, func() { f.net.HealPartition(own, others) }})
		got := f.figures(start, crashBegin, crashEnd)
		t.Logf("%+v", got)
		f.requireClosed(got.closed)
		require.LessOrEqual(t, f.reachedAfter(start.Add(14*time.Second)), toleratedRequests)
		require.LessOrEqual(t, got.crashes, 2*(4+6))
	})
}

// Guards against too many requests with the part at targets when they come rarely or often, or
// when several parts crash targets.
func TestCrashingPartsOfOtherRates(t *testing.T) {
	two := func(own string) string {
		return "f1:200," + crashingPart + ":100," + own + ":250"
	}
	for name, load := range map[string]crashLoad{
		"one in two seconds": {prompt: two, perSecond: 0.5, soundPerSecond: 36},
		"twenty a second":    {prompt: two, perSecond: 20, soundPerSecond: 36},
		"few sound requests": {prompt: two, perSecond: 4, soundPerSecond: 3},
		"two parts": {prompt: func(own string) string {
			return fmt.Sprintf("f1:200,other%d%s:100,%s:250", len(own)+int(own[len(own)-1])%2, crashingPart, own)
		}, perSecond: 6, soundPerSecond: 36},
	} {
		for seed := range uint64(*crashSeeds) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					load.path, load.seed, load.soundPrompt = "/again/a/35", seed, thirtyParts
					f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, load)
					start := time.Now()
					f.serve(crashEnd, crashBegin)
					got := f.figures(start, crashBegin, crashEnd)
					t.Logf("%+v", got)
					f.requireClosed(got.closed)
					for part := range f.crashesOf {
						require.Contains(t, got.closed, part)
						require.LessOrEqual(t, f.lateOf(part), toleratedRequests, part)
					}
				})
			})
		}
	}
}

// Guards against parts that are closed although targets crash by themselves, in racks as well, or
// lose, break off or crash answers of requests with rare parts.
func TestOrdinaryTroubleClosesNoPart(t *testing.T) {
	for seed := range uint64(4 * *crashSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 49))
				parts := 1 + 100*int(seed%3)
				load := crashLoad{
					soundPerSecond: 40, path: "/again/a/35", seed: seed,
					soundPrompt: func(rng *rand.Rand, own string) string {
						return fmt.Sprintf("f%d:200,b%02d:100,%s:250", rng.IntN(2), rng.IntN(parts), own)
					},
					faultFor: func(string) engine.Fault {
						switch rng.IntN(30) {
						case 0:
							return engine.Fault{LoseAnswer: true}
						case 1:
							return engine.Fault{BreakAfter: 1 + rng.IntN(5)}
						default:
							return engine.Fault{}
						}
					},
				}
				f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, load)
				var events []crashEvent
				for at := time.Second; at < crashEnd; at += time.Duration(300+rng.IntN(1500)) * time.Millisecond {
					events = append(events, crashEvent{at, func() { f.crashSome(rng, 1+rng.IntN(3)) }})
				}
				f.serve(crashEnd, crashEnd, events...)
				require.Greater(t, len(f.crashes), 10)
				require.Empty(t, f.closedParts())
			})
		})
	}
}

// Guards against items of batch jobs that crash one target after the other, and against other items
// of the same job that never complete.
func TestItemsWithCrashingPartStopReachingTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := usualCrashLoad(0, 0)
		load.soundPerSecond = 10
		f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, load)
		start := time.Now()
		const sound, crashing = 8, 4
		job := promptJob("job-a", func(n int) string {
			if n < crashing {
				return fmt.Sprintf("j1:100,%s:50,own%d:250", crashingPart, n)
			}
			return fmt.Sprintf("j1:100,x:50,own%d:250", n)
		}, sound+crashing)
		require.Equal(t, http.StatusAccepted, f.instances[0].send(job).status)
		f.serve(crashEnd, crashEnd)
		got := f.figures(start, crashBegin, crashEnd)
		t.Logf("%+v", got)
		require.LessOrEqual(t, got.reached, toleratedRequests)
		f.requireClosed(got.closed)
		held := 0
		for _, inst := range f.instances {
			held += strings.Count(inst.logs.String(), "event=item_held")
		}
		require.Positive(t, held)
		done := map[string]bool{}
		page, status := f.instances[1].results("job-a", 0)
		require.Equal(t, http.StatusOK, status)
		for _, result := range page.Results {
			require.Equal(t, "succeeded", result.State)
			done[result.ID] = true
		}
		for n := range sound {
			require.True(t, done[itemID("job-a", crashing+n)], "item %d: %v", crashing+n, done)
		}
	})
}

// promptJob returns the request that submits a job whose items have prompts.
func promptJob(id string, prompt func(n int) string, items int) callerRequest {
	request := batchJob(id, items, 40)
	var job struct {
		Items []map[string]any `json:"items"`
	}
	_ = json.Unmarshal([]byte(request.body), &job)
	for n, item := range job.Items {
		item["headers"].(map[string]any)["Prompt-Prefix"] = prompt(n)
	}
	data, _ := json.Marshal(job)
	request.body = string(data)
	return request
}

// Guards against a refusal that does not say why, or that tells a caller that a request ran.
func TestRefusalOfClosedPartTellsItsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, fleetSize{domains: 1, instances: 3, targets: 5}, usualCrashLoad(3, 6))
		f.serve(8*time.Second, time.Second)
		got := f.instances[1].send(callerRequest{
			id: "later", path: "/again/a/35", key: keyOne, header: map[string]string{"Prompt-Prefix": "f1:200," + crashingPart + ":100,own:250"},
		})
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Less(t, got.took, 100*time.Millisecond)
		logs := f.instances[1].logs.String()
		at := strings.Index(logs, "event=request request=later ")
		require.Positive(t, at)
		line, _, _ := strings.Cut(logs[at:], "\n")
		for _, field := range []string{"reason=part_closed", "closed_parts=" + crashingPart, "crashes=", "targets=t-", "seen_by=n-0-", "last_crash_ms="} {
			require.Contains(t, line, field)
		}
	})
}

// Guards against a part that stays closed although targets bear it again, and against trials that crash
// more than one target each.
func TestClosedPartOpensOnceTargetsBearIt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		load := usualCrashLoad(1, 2)
		load.soundPerSecond = 2
		f := newCrashFleet(t, fleetSize{domains: 1, instances: 3, targets: 5}, load)
		// The first trial comes two minutes after the last crash, the second one four minutes after
		// the first.
		const firstTrial, secondTrial = 150 * time.Second, 400 * time.Second
		start, before := time.Now(), 0
		f.serve(secondTrial, time.Second,
			crashEvent{60 * time.Second, func() { before = len(f.crashes) }},
			crashEvent{firstTrial, func() {
				require.Equal(t, before+1, len(f.crashes), "one trial")
				f.mended.Store(true)
			}})
		require.Equal(t, before+1, len(f.crashes))
		opened := 0
		for _, inst := range f.instances {
			opened += strings.Count(inst.logs.String(), "event=part_opened")
		}
		require.Equal(t, len(f.instances), opened)
		require.Greater(t, f.reachedAfter(start.Add(secondTrial-10*time.Second)), 10, "served again")
	})
}

// Guards against targets that count as crashed since a network partition refuses connections to them.
func TestPartitionThatRefusesConnectionsIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 3, targets: 3})
		var own, others []string
		for _, inst := range fleet.instances {
			if inst.domain == "d0" {
				own = append(own, inst.ip)
			} else {
				others = append(others, inst.ip)
			}
		}
		fleet.net.Partition(own, others)
		guard := fleet.instances[0].daemon.quarantine
		for n := range 8 {
			// Nothing listens at the address, as behind such a partition.
			guard.Lost(quarantine.LostRequest{
				Request: quarantine.Request{ID: fmt.Sprint("r-", n), Key: "request:1", Parts: []string{"rare"}},
				Target:  fmt.Sprint("t-", n), Address: "10.1.2.9:8000", Domain: "d1", At: time.Now(),
			})
			sleep(300 * time.Millisecond)
		}
		sleep(4 * time.Second)
		require.Empty(t, guard.Closures())
		logs := fleet.instances[0].logs.String()
		require.Contains(t, logs, "event=request_closed", "until the second check")
		require.Contains(t, logs, "event=request_opened")
	})
}
