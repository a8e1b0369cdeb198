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
	// warmUpTime is the duration of a target's warm-up after its start.
	warmUpTime = 3 * time.Second
	// maxColdStarts is the largest number of requests that may start at a target within any
	// second of its warm-up: one and a half times its warm-up rate, and five.
	maxColdStarts = coldPerSecond*1.5 + 5
)

// crash stops a target's process. restart starts it again under the same id; the target
// updates its entry in the list with the next heartbeat.
func (t *target) crash() {
	t.silent = true
	t.fleet.net.Kill(t.ip)
	_ = t.server.Close()
}

func (t *target) restart() {
	t.started = time.Now().UnixMilli()
	t.Start(time.Now().Add(warmUpTime))
	t.silent = false
	t.listen()
}

// maxStartsPerSecond returns the largest number of requests that started at a target within
// any second between two times.
func (t *target) maxStartsPerSecond(from, to time.Time) (most int) {
	var starts []time.Time
	for _, run := range t.Runs() {
		if !run.Began.Before(from) && run.Began.Before(to) {
			starts = append(starts, run.Began)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	first := 0
	for i := range starts {
		for starts[i].Sub(starts[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// startLoad sends requests to all instances in turn until stopLoad is called. stopLoad
// returns the number of requests that were not answered with 200.
func (fleet *testFleet) startLoad(every time.Duration) (stopLoad func() (failed int)) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	failed := 0
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
			inst := fleet.instances[i%len(fleet.instances)]
			callers.Go(func() {
				if got := inst.send(callerRequest{id: fmt.Sprint("load-", i), path: "/again/x/10", key: keyOne}); got.status != 200 {
					mu.Lock()
					failed++
					mu.Unlock()
				}
			})
		}
	}()
	return func() int {
		close(stop)
		<-stopped
		callers.Wait()
		return failed
	}
}

// newWarmUpFleet starts a fleet for a load of 200 requests a second. Each of its eight
// targets serves 40 a second.
func newWarmUpFleet(t *testing.T, instances int) *testFleet {
	return newTestFleet(t, fleetSize{
		domains: 2, instances: instances, targets: 4,
		engine: engine.Options{Slots: 8, Queue: 24, Step: 20 * time.Millisecond},
	})
}

// A target restarts within a second under its old id, while its old entry is still listed.
// Guards against sending it more requests than it can serve during its warm-up.
func TestRestartedTargetGetsFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newWarmUpFleet(t, 3)
		stopLoad := fleet.startLoad(5 * time.Millisecond)
		sleep(2 * time.Second)
		restarted := fleet.targets[0]
		restarted.crash()
		sleep(700 * time.Millisecond)
		restarted.restart()
		start := time.Now()
		sleep(warmUpTime + 2*time.Second)
		stopLoad()
		require.LessOrEqual(t, float64(restarted.maxStartsPerSecond(start, start.Add(warmUpTime))), maxColdStarts)
		require.NotZero(t, restarted.maxStartsPerSecond(start, start.Add(warmUpTime)), "some requests during the warm-up")
		require.Greater(t, float64(restarted.maxStartsPerSecond(start.Add(warmUpTime), time.Now())), maxColdStarts, "the full rate after the warm-up")
	})
}

// Guards against overloading the targets of a failure domain after the end of its drain.
// They may have to warm up again, whatever their last entries say. Targets that report that
// they are warm must get the full rate.
func TestUndrainedDomainGetsFewRequests(t *testing.T) {
	for _, cold := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newWarmUpFleet(t, 3)
			stopLoad := fleet.startLoad(5 * time.Millisecond)
			fleet.drain("d0")
			sleep(6 * time.Second)
			start := time.Now()
			fleet.undrain("d0")
			if cold {
				for _, target := range fleet.targets[:4] {
					target.Start(start.Add(warmUpTime))
				}
			}
			sleep(warmUpTime)
			for _, target := range fleet.targets[:4] {
				most := float64(target.maxStartsPerSecond(start, start.Add(warmUpTime)))
				if cold {
					require.LessOrEqual(t, most, maxColdStarts, target.id)
				} else {
					require.Greater(t, most, maxColdStarts, target.id)
				}
				require.NotZero(t, most, target.id)
			}
			stopLoad()
		})
	}
}

// Two groups of instances in each failure domain can't reach each other, so a cold target
// has two brokers. Guards against each broker granting the full warm-up rate of the target.
func TestColdTargetGetsFewRequestsDuringNetworkPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newWarmUpFleet(t, 4)
		stopLoad := fleet.startLoad(3500 * time.Microsecond)
		sleep(2 * time.Second)
		var groupA, groupB []string
		for i, inst := range fleet.instances {
			if i%2 == 0 {
				groupA = append(groupA, inst.ip)
			} else {
				groupB = append(groupB, inst.ip)
			}
		}
		fleet.net.Part(groupA, groupB)
		sleep(300 * time.Millisecond)
		restarted := fleet.targets[0]
		restarted.crash()
		sleep(1200 * time.Millisecond)
		restarted.restart()
		start := time.Now()
		sleep(warmUpTime)
		require.LessOrEqual(t, float64(restarted.maxStartsPerSecond(start, start.Add(warmUpTime))), maxColdStarts)
		fleet.net.Join(groupA, groupB)
		stopLoad()
	})
}
