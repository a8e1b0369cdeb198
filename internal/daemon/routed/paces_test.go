package routed

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/sharedstore"
)

// newPaceFleet starts a fleet whose targets report their paces: 60, 100 or 160, and 2.5 times as
// much in a phase of 600 ms in each 4.2 s, at another moment at each target.
func newPaceFleet(t *testing.T) *testFleet {
	began := time.Now()
	return newTestFleet(t, fleetSize{domains: 3, instances: 3, targets: 3, paceOf: func(domain, i int) func() int {
		base := []int{60, 100, 160}[i%3]
		offset := time.Duration(3*domain+i) * 460 * time.Millisecond
		return func() int {
			if (time.Since(began)+offset)%(4200*time.Millisecond) < 600*time.Millisecond {
				return base * 5 / 2
			}
			return base
		}
	}})
}

// The instances must learn the paces, and a setting of 0 must turn the part off although the
// targets report their paces.
func TestPacesMoveRequestsUnlessTurnedOff(t *testing.T) {
	for name, maxAge := range map[string]time.Duration{"on": time.Second, "off": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newPaceFleet(t)
				for _, inst := range fleet.instances {
					inst.daemon.placer.SetPaceMaxAge(maxAge)
					inst.daemon.broker.SetPaceMaxAge(maxAge)
				}
				_, _, failed := fleet.generateLoad(40, 3*time.Second, 35, 300*time.Millisecond)
				require.Zero(t, failed)
				runs := map[string]int{}
				for _, target := range fleet.targets {
					runs[target.id[len(target.id)-1:]] += len(target.Runs())
				}
				moved := 0
				for _, inst := range fleet.instances {
					require.True(t, inst.daemon.placer.ReportsPace("svc"))
					moved += strings.Count(inst.logs.String(), " moved_from=t-")
				}
				if maxAge == 0 {
					require.Zero(t, moved)
					require.Less(t, runs["0"], 3*runs["2"], "all targets are used alike")
					return
				}
				require.Positive(t, moved)
				require.Greater(t, runs["0"], 3*runs["2"], "fast targets get more requests")
			})
		})
	}
}

// Brokers are killed, a failure domain is cut off, or the store does not respond for 7 s at a peak.
// Requests must be served as without paces.
func TestFaultsWithPacesOn(t *testing.T) {
	faults := map[string]func(fleet *testFleet) (heal func()){
		"brokers killed": func(fleet *testFleet) func() {
			var remaining []*testInstance
			all := fleet.instances
			for _, inst := range all {
				if inst.daemon.brokerClient.IsBroker() {
					time.AfterFunc(500*time.Millisecond, func() { go inst.kill() })
				} else {
					remaining = append(remaining, inst)
				}
			}
			require.Len(fleet.t, remaining, 6)
			fleet.instances = remaining
			return func() { fleet.instances = all }
		},
		"domain cut off": func(fleet *testFleet) func() {
			return fleet.isolateDomain("d1")
		},
		"store silent": func(fleet *testFleet) func() {
			for _, inst := range fleet.instances {
				inst.storeAccess.Set(sharedstore.Fault{Silent: true})
			}
			return func() {
				for _, inst := range fleet.instances {
					inst.storeAccess.Set(sharedstore.Fault{})
				}
			}
		},
	}
	for name, begin := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newPaceFleet(t)
				fleet.generateLoad(40, time.Second, 35, 300*time.Millisecond)
				heal := begin(fleet)
				answered, late, failed := fleet.generateLoad(45, 7*time.Second, 35, 300*time.Millisecond)
				heal()
				t.Logf("answered %d, late %d, failed %d", answered, late, failed)
				require.Greater(t, answered, 250)
				require.Zero(t, failed)
				require.LessOrEqual(t, late, answered/20)
			})
		})
	}
}

// Guards against a successor of a broker that ranks without paces after the interval of full
// reports.
func TestSuccessorOfKilledBrokerKnowsPacesWithin400ms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newPaceFleet(t)
		fleet.generateLoad(40, time.Second, 35, 300*time.Millisecond)
		var killed, successor *testInstance
		for _, inst := range fleet.instances {
			if inst.domain == "d0" && inst.daemon.brokerClient.IsBroker() {
				killed = inst
			}
		}
		require.NotNil(t, killed)
		address := fleet.instances[len(fleet.instances)-1].daemon.brokerClient.Brokers("d0")[1]
		for _, inst := range fleet.instances {
			if inst.ip+":82" == address {
				successor = inst
			}
		}
		var known pace.Source
		var rest []*testInstance
		for _, inst := range fleet.instances {
			if inst != killed {
				rest = append(rest, inst)
			}
		}
		time.AfterFunc(time.Second, func() { go killed.kill() })
		time.AfterFunc(time.Second+500*time.Millisecond, func() { known = successor.daemon.broker.Pace("t-0-0").Source })
		all := fleet.instances
		fleet.instances = rest
		_, _, failed := fleet.generateLoad(40, 2*time.Second, 35, 300*time.Millisecond)
		fleet.instances = all
		require.Zero(t, failed)
		require.Contains(t, []pace.Source{pace.Reported, pace.Observed}, known)
	})
}

// Guards against malformed reports that nobody sees, or that fill the log.
func TestMalformedLoadReportsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 1, targets: 1, engine: engine.Options{
			Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond, Pace: func() int { return -1 },
		}})
		for range 10 {
			require.Equal(t, http.StatusOK, fleet.instances[0].send(callerRequest{id: "a", path: "/once/a/3", key: keyOne}).status)
		}
		logs := fleet.instances[0].logs.String()
		require.Equal(t, 1, strings.Count(logs, "event=target_load_malformed target=t-0-0"))
	})
}
