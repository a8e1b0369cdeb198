package routed

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// generateLoad sends requests to random instances for a duration d, as a Poisson process
// with perSecond arrivals per second. It returns how many requests were answered, how many
// of those got their first byte after the objective, and how many were not answered.
func (fleet *testFleet) generateLoad(perSecond float64, d time.Duration, events int, objective time.Duration) (answered, late, failed int) {
	rng := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	var callers sync.WaitGroup
	until := time.Now().Add(d)
	for i := 0; time.Now().Before(until); i++ {
		sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		inst := fleet.instances[rng.IntN(len(fleet.instances))]
		callers.Go(func() {
			got := inst.send(callerRequest{id: fmt.Sprintf("peak-%d", i), path: fmt.Sprintf("/once/a/%d", events), key: keyOne})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.err == nil && got.status == http.StatusOK:
				answered++
				if got.firstByte > objective {
					late++
				}
			default:
				failed++
			}
		})
	}
	callers.Wait()
	return answered, late, failed
}

// At peak load six in seven slots are occupied by online requests, and batch items
// compete for the rest. Nine instances share the same slots. When each instance chose
// targets from the last reports of its peers, 75 to 84 of 194 requests queued at a full
// target and were late. With slots granted by a broker, none was.
func TestPeakLoadBesideBatchIsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 3, targets: 3})
		for i, inst := range fleet.instances[:6] {
			require.Equal(t, http.StatusAccepted, inst.send(batchJob(fmt.Sprint("job-", i), 12, 250)).status)
		}
		sleep(time.Second)
		answered, late, failed := fleet.generateLoad(85, 2400*time.Millisecond, 35, 300*time.Millisecond)
		require.Zero(t, failed)
		require.Greater(t, answered, 150)
		require.LessOrEqual(t, late, answered/100)
	})
}

// The instances that act as brokers are killed at peak load. The other instances must
// switch to the next brokers, and requests must still be served.
func TestPeakLoadSurvivesBrokerFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 3, targets: 3})
		brokers := map[string]bool{}
		for _, inst := range fleet.instances {
			if list := inst.daemon.brokerClient.Brokers(inst.domain); len(list) > 0 {
				brokers[list[0]] = true
			}
		}
		require.Len(t, brokers, 2, "all instances agree on one broker for each domain")
		var remaining []*testInstance
		for _, inst := range fleet.instances {
			if !brokers[inst.ip+":82"] {
				remaining = append(remaining, inst)
			}
		}
		time.AfterFunc(500*time.Millisecond, func() {
			for _, inst := range fleet.instances {
				if brokers[inst.ip+":82"] {
					go inst.kill()
				}
			}
		})
		all := fleet.instances
		fleet.instances = remaining
		answered, late, failed := fleet.generateLoad(45, 2*time.Second, 35, 300*time.Millisecond)
		fleet.instances = all
		require.Zero(t, failed)
		require.LessOrEqual(t, late, answered/50)
	})
}

// startUnknownRuns starts requests at a target that no instance of the fleet knows of,
// such as the requests of instances that lost power.
func (t *target) startUnknownRuns(runs, events int) {
	for i := range runs {
		t.fleet.background.Go(func() {
			client := t.fleet.client()
			defer client.CloseIdleConnections()
			id := fmt.Sprintf("unknown-%s-%d", t.id, i)
			request, err := http.NewRequestWithContext(t.fleet.ctx, http.MethodPost, fmt.Sprintf("http://%s:8000/once/a/%d", t.ip, events), nil)
			require.NoError(t.fleet.t, err)
			request.Header.Set("Request-Id", id)
			response, err := client.Do(request)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		})
	}
}

// Instances of a failure domain lost power. Their requests keep running at the targets
// for seconds, and no instance knows of them any more. If brokers treated those slots as
// free, some requests would wait in the queues of these targets while other targets have
// free slots.
func TestUnreportedRunsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 3, targets: 3})
		for _, target := range fleet.targets[:3] {
			target.startUnknownRuns(4, 200)
		}
		sleep(100 * time.Millisecond)
		answered, late, failed := fleet.generateLoad(38, 3*time.Second, 35, 300*time.Millisecond)
		require.Zero(t, failed)
		require.Greater(t, answered, 90)
		require.LessOrEqual(t, late, answered/20, "of %d", answered)
	})
}
