package routed

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

const (
	// warmsFor is how long targets warm up after a start.
	warmsFor = 3 * time.Second
	// coldMost is how many requests may begin at a target in any second meanwhile: half as
	// many again as it bears, and five.
	coldMost = coldPerSecond*1.5 + 5
)

// crash ends a target's process. comeBack starts it anew under the same id; its entry
// follows with the next heartbeat.
func (t *target) crash() {
	t.quiet = true
	t.world.net.Kill(t.ip)
	_ = t.server.Close()
}

func (t *target) comeBack() {
	t.started = time.Now().UnixMilli()
	t.Restart(time.Now().Add(warmsFor))
	t.quiet = false
	t.listen()
}

// mostBegun is the largest number of requests that began at a target within any second of
// a span.
func (t *target) mostBegun(from, to time.Time) (most int) {
	var at []time.Time
	for _, run := range t.Runs() {
		if !run.StartedAt.Before(from) && run.StartedAt.Before(to) {
			at = append(at, run.StartedAt)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// load has callers come to all instances in turn until it is ended.
func (w *world) load(every time.Duration) (end func() (refused int)) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			n := w.nodes[i%len(w.nodes)]
			callers.Go(func() {
				if got := n.send(ask{id: fmt.Sprint("load-", i), path: "/again/x/10", key: keyOne}); got.status != 200 {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			})
		}
	}()
	return func() int {
		close(stop)
		<-stopped
		callers.Wait()
		return refused
	}
}

// warmWorld is a fleet under a load of 200 requests a second before targets that serve 40
// each.
func warmWorld(t *testing.T, nodes int) *world {
	return newWorld(t, size{
		domains: 2, nodes: nodes, targets: 4,
		target: engine.Options{Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond},
	})
}

// Guards against a target that comes back within moments, under its old id and with its old
// entry still listed, and gets more requests than it bears while it warms up.
func TestTargetThatRestartsGetsFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := warmWorld(t, 3)
		end := w.load(5 * time.Millisecond)
		pass(2 * time.Second)
		back := w.targets[0]
		back.crash()
		pass(700 * time.Millisecond)
		back.comeBack()
		began := time.Now()
		pass(warmsFor + 2*time.Second)
		end()
		require.LessOrEqual(t, float64(back.mostBegun(began, began.Add(warmsFor))), coldMost)
		require.NotZero(t, back.mostBegun(began, began.Add(warmsFor)), "it bears some")
		require.Greater(t, float64(back.mostBegun(began.Add(warmsFor), time.Now())), coldMost, "and all afterwards")
	})
}

// Guards against the rush to the targets of a failure domain whose drain has ended. They may
// be cold, whatever their last entries say; those that say that they are warm get all.
func TestDomainThatIsNoLongerDrainedGetsFewRequests(t *testing.T) {
	for _, cold := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := warmWorld(t, 3)
			end := w.load(5 * time.Millisecond)
			w.drain("d0")
			pass(6 * time.Second)
			began := time.Now()
			w.undrain("d0")
			if cold {
				for _, target := range w.targets[:4] {
					target.Restart(began.Add(warmsFor))
				}
			}
			pass(warmsFor)
			for _, target := range w.targets[:4] {
				most := float64(target.mostBegun(began, began.Add(warmsFor)))
				if cold {
					require.LessOrEqual(t, most, coldMost, target.id)
				} else {
					require.Greater(t, most, coldMost, target.id)
				}
				require.NotZero(t, most, target.id)
			}
			end()
		})
	}
}

// Guards against two brokers that each let as many requests begin at a cold target as it
// bears from all: the instances of its domain are cut off from each other.
func TestColdTargetGetsFewRequestsOnBothSidesOfACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := warmWorld(t, 4)
		end := w.load(3500 * time.Microsecond)
		pass(2 * time.Second)
		var one, other []string
		for i, n := range w.nodes {
			if i%2 == 0 {
				one = append(one, n.ip)
			} else {
				other = append(other, n.ip)
			}
		}
		w.net.Partition(one, other)
		pass(300 * time.Millisecond)
		back := w.targets[0]
		back.crash()
		pass(1200 * time.Millisecond)
		back.comeBack()
		began := time.Now()
		pass(warmsFor)
		require.LessOrEqual(t, float64(back.mostBegun(began, began.Add(warmsFor))), coldMost)
		w.net.HealPartition(one, other)
		end()
	})
}
