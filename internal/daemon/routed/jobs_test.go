package routed

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/sharedstore"
)

// submit hands jobs in and gives their ids.
func (w *world) submit(n *node, count, items, events int) []string {
	w.t.Helper()
	var ids []string
	for i := range count {
		id := fmt.Sprintf("job-%s-%d", n.name, i)
		require.Equal(w.t, http.StatusAccepted, n.send(jobOf(id, items, events)).status, "%s", n.logs)
		ids = append(ids, id)
	}
	return ids
}

// fromStart counts the runs of a job's items that began with the first event.
func (w *world) fromStart(job string, items int) int {
	count := 0
	for i := range items {
		for _, run := range w.runs(itemOf(job, i)) {
			if run.ResumedAfter < 0 {
				count++
			}
		}
	}
	return count
}

// The store deals all partitions anew at once. The instances that ran items hold
// other partitions from then on. Running the items from the start once more would
// take the slots of others and make results late.
func TestRedealingRunsNoItemTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 2})
		ids := w.submit(w.nodes[0], 6, 4, 150)
		pass(800 * time.Millisecond)
		w.store.Rebalance()
		for _, id := range ids {
			w.requireWhole(id, w.nodes[3].allResults(id, 12*time.Second), 150)
			require.Equal(t, 4, w.fromStart(id, 4), "job %s", id)
		}
	})
}

// An instance leaves with items half done. What they have of their output is
// handed over, and the others go on from there.
func TestLeavingInstanceHandsOutputOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 1, nodes: 2, targets: 3})
		ids := w.submit(w.nodes[1], 6, 3, 300)
		pass(1500 * time.Millisecond)
		w.nodes[0].terminate()
		for _, id := range ids {
			w.requireWhole(id, w.nodes[1].allResults(id, 15*time.Second), 300)
			require.Equal(t, 3, w.fromStart(id, 3), "job %s\n%s", id, w.nodes[0].logs)
		}
	})
}

// An instance is killed, or loses its power, while its items run. The others find
// out by the silence and run the items again; each result is listed once.
func TestItemsOfADeadInstanceAreRunByOthers(t *testing.T) {
	for name, end := range map[string]func(*node){
		"killed": func(n *node) { n.kill() },
		"dark": func(n *node) {
			n.world.net.PowerOff(n.ip)
			n.kill()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, size{domains: 1, nodes: 3, targets: 2})
				ids := w.submit(w.nodes[1], 6, 2, 100)
				pass(700 * time.Millisecond)
				end(w.nodes[0])
				for _, id := range ids {
					w.requireWhole(id, w.nodes[2].allResults(id, 10*time.Second), 100)
				}
			})
		})
	}
}

// All instances lose their power right after a job was accepted. They come back
// empty, and the job must be done all the same.
func TestAcceptedJobOutlivesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 2})
		ids := w.submit(w.nodes[0], 2, 3, 60)
		w.killAll()
		pass(time.Second)
		w.startAll()
		w.awaitReady()
		for _, id := range ids {
			w.requireWhole(id, w.nodes[2].allResults(id, 8*time.Second), 60)
		}
	})
}

// A job is ended while its items run and wait. Nothing of it may be begun after
// that, also not by an instance that holds its partition no more.
func TestEndedJobRunsNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 1, nodes: 3, targets: 1})
		ids := w.submit(w.nodes[0], 3, 12, 100)
		pass(time.Second)
		w.store.Rebalance()
		for _, id := range ids {
			got := w.nodes[1].send(ask{method: http.MethodDelete, path: "/lots/" + id, key: keyOne})
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, http.StatusOK, w.nodes[2].send(ask{method: http.MethodDelete, path: "/lots/" + id, key: keyOne}).status)
		}
		ended := time.Now()
		pass(8 * time.Second)
		for _, target := range w.targets {
			for _, run := range target.Runs() {
				require.False(t, run.StartedAt.After(ended.Add(3*time.Second)), "item %s began %s after the end", run.ID, run.StartedAt.Sub(ended))
			}
		}
	})
}

// An item's runs break off in the middle of an event, again and again, and
// another one fails each time. The first goes on where it was and is whole; the
// second is given up after as many tries as its route allows.
func TestItemsThatBreakOffAndItemsThatFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		breaks, failing, impossible := itemOf("job", 0), itemOf("job", 1), itemOf("job", 2)
		w := newWorld(t, size{domains: 1, nodes: 2, targets: 2, target: engine.Options{
			Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond,
			FaultFor: func(id string) engine.Fault {
				switch id {
				case breaks:
					return engine.Fault{BreakAfter: 30}
				case failing:
					return engine.Fault{Status: http.StatusInternalServerError}
				case impossible:
					return engine.Fault{Status: http.StatusUnprocessableEntity}
				}
				return engine.Fault{}
			},
		}})
		require.Equal(t, http.StatusAccepted, w.nodes[0].send(jobOf("job", 4, 100)).status)
		got := w.nodes[1].allResults("job", 15*time.Second)
		states := map[string]string{}
		for _, r := range got.Results {
			states[r.ID] = r.State
			if r.State == "succeeded" {
				require.Equal(t, text(r.ID, 100), r.Text)
			}
		}
		require.Equal(t, map[string]string{
			breaks: "succeeded", failing: "dead_letter", impossible: "dead_letter", itemOf("job", 3): "succeeded",
		}, states)
		require.Len(t, w.runs(failing), 3)
		require.Len(t, w.runs(impossible), 1)
		require.Equal(t, 1, w.fromStart("job", 1))
	})
}

// The store turns one holder away for several seconds and deals its partitions to
// others. The items that it runs must stay with it, and it must begin none of
// those any more that others hold: it would not learn that their job was ended.
func TestHolderThatTheStoreTurnsAwayGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 1, nodes: 3, targets: 2})
		ids := w.submit(w.nodes[1], 9, 4, 250)
		pass(time.Second)
		cut := w.nodes[0]
		cut.door.Set(sharedstore.Fault{Silent: true})
		pass(4 * time.Second)
		held, _ := cut.daemon.keeper.Owned()
		require.Empty(t, held, "others hold them by now")
		for _, id := range ids {
			w.requireWhole(id, w.nodes[2].allResults(id, 25*time.Second), 250)
			require.Equal(t, 4, w.fromStart(id, 4), "job %s", id)
		}
		cut.door.Set(sharedstore.Fault{})
	})
}

// domainIPs are the addresses of the instances and targets of a failure domain.
func (w *world) domainIPs(domain string) (ips []string) {
	for _, n := range w.nodes {
		if n.domain == domain {
			ips = append(ips, n.ip)
		}
	}
	for _, target := range w.targets {
		if target.domain == domain {
			ips = append(ips, target.ip)
		}
	}
	return ips
}

// A failure domain is cut off from the other one, and nobody there answers for its
// slots. Items that look for a slot there must not go to the targets that are left
// past the broker of those: it would give the same slots to online requests.
func TestItemsGoPastNoBrokerWhileADomainIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 2})
		w.submit(w.nodes[0], 8, 10, 150)
		w.net.Partition(w.domainIPs("d0"), w.domainIPs("d1"))
		pass(8 * time.Second)
		seen := 0
		for _, n := range w.nodes[:2] {
			for line := range strings.Lines(n.logs.String()) {
				if !strings.Contains(line, "event=item_run") || !strings.Contains(line, "target=t-0-") {
					continue
				}
				seen++
				require.NotContains(t, line, "broker= ", "a target of the own domain, whose broker answers")
			}
		}
		require.Greater(t, seen, 8)
	})
}

// All instances are killed at once while items run, and start again. Items that ran
// for seconds must go on where they were, or they would be late with all others.
func TestItemsGoOnAfterAllInstancesWereKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 1})
		ids := w.submit(w.nodes[0], 2, 6, 250)
		pass(3500 * time.Millisecond)
		w.killAll()
		began := time.Now()
		w.startAll()
		for _, id := range ids {
			w.requireWhole(id, w.nodes[1].allResults(id, 12*time.Second), 250)
			require.Equal(t, 6, w.fromStart(id, 6), "job %s: no item begins anew", id)
		}
		require.Less(t, time.Since(began), 7*time.Second, "5 s of work, of which 3.5 were done")
	})
}

// All instances are killed at once and start again half a second later. Until callers
// are back there is nothing to do but their jobs, whose items are due within seconds;
// slots that stay empty meanwhile make them late.
func TestItemsBeginAgainSoonAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 3, targets: 3})
		ids := w.submit(w.nodes[0], 4, 8, 250)
		pass(2500 * time.Millisecond)
		w.killAll()
		pass(500 * time.Millisecond)
		began := time.Now()
		w.startAll()
		pass(600 * time.Millisecond)
		again := 0
		for _, id := range ids {
			for i := range 8 {
				for _, run := range w.runs(itemOf(id, i)) {
					if run.StartedAt.After(began) {
						again++
						break
					}
				}
			}
		}
		require.Equal(t, 4*8, again, "items that go on")
		for _, id := range ids {
			w.requireWhole(id, w.nodes[4].allResults(id, 10*time.Second), 250)
		}
	})
}

// Instances are stopped and started in turn, so that partitions are dealt anew again
// and again, or all are killed. An item that fails at every target must not be tried
// from the beginning by each new holder.
func TestFailuresOfAnItemAreKnownToItsNextHolder(t *testing.T) {
	for name, disturb := range map[string]func(*world){
		"dealt anew": func(w *world) { w.store.Rebalance() },
		"killed": func(w *world) {
			for _, n := range w.nodes {
				n.kill()
			}
			for _, n := range w.nodes {
				n.start()
			}
			w.awaitReady()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				failing := itemOf("job", 0)
				w := newWorld(t, size{domains: 1, nodes: 3, targets: 2, target: engine.Options{
					Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond,
					FaultFor: func(id string) engine.Fault {
						if id == failing {
							return engine.Fault{Status: http.StatusInternalServerError}
						}
						return engine.Fault{}
					},
				}})
				require.Equal(t, http.StatusAccepted, w.nodes[0].send(jobOf("job", 1, 10)).status)
				for range 8 {
					pass(700 * time.Millisecond)
					disturb(w)
				}
				got := w.nodes[1].allResults("job", 10*time.Second)
				require.Len(t, got.Results, 1)
				require.Equal(t, "dead_letter", got.Results[0].State)
				require.LessOrEqual(t, len(w.runs(failing)), 2*3)
			})
		})
	}
}
