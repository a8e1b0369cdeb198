package routed

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// Guards against a failure domain whose instances don't learn that a target leaves: the store
// rejects all of them, their relays among them, and serves those of the other domains.
func TestLeavingTargetIsLearnedWhereTheStoreRejectsRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 7, targets: 2})
		for _, inst := range fleet.instances {
			if inst.domain == "d0" {
				inst.storeAccess.Set(sharedstore.Fault{Status: http.StatusTooManyRequests})
			}
		}
		sleep(3 * time.Second)
		leaving := fleet.targets[0]
		leaving.state = "draining"
		leaving.register()
		sleep(2 * time.Second)
		since := time.Now()
		for i := range 3 {
			fleet.sendToAll(fmt.Sprint("after-", i), 1)
		}
		for _, run := range leaving.Runs() {
			require.False(t, run.StartedAt.After(since), "%s ran at the leaving target", run.ID)
		}
	})
}

// leaveNow makes a target say that it leaves.
func (t *target) leaveNow() {
	t.state = "draining"
	t.register()
}

// requireNothingSentBy sends requests to some instances, and checks that none runs at a target from now on.
func (fleet *testFleet) requireNothingSentBy(t *testing.T, instances []*testInstance, leaving *target) {
	t.Helper()
	const perInstance = 20
	since := time.Now()
	var callers sync.WaitGroup
	for _, inst := range instances {
		for i := range perInstance {
			callers.Go(func() {
				got := inst.send(callerRequest{id: fmt.Sprintf("after-%s-%d", inst.name, i), path: "/once/x/5", key: keyOne})
				require.Equal(t, http.StatusOK, got.status)
			})
		}
	}
	callers.Wait()
	for _, run := range leaving.Runs() {
		require.False(t, run.StartedAt.After(since), "%s ran at the leaving target", run.ID)
	}
}

// Guards against requests of sound instances that reach a target which has left, because their broker still has the
// list from before, as after a pause of its machine.
func TestNothingIsSentToTargetThatOnlyBrokerListsAsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 3, targets: 3})
		var broker *testInstance
		var others []*testInstance
		for _, inst := range fleet.instances {
			if inst.daemon.brokerClient.IsBroker() {
				broker = inst
			} else {
				others = append(others, inst)
			}
		}
		before, mark, _ := broker.daemon.view.TargetsNewerThan(0)
		leaving := fleet.targets[0]
		leaving.leaveNow()
		sleep(2 * time.Second)
		broker.daemon.broker.SetTargets(mark, before)
		fleet.requireNothingSentBy(t, others, leaving)
	})
}

// Guards against an instance that keeps an old list of targets while other instances have a newer one: the store answers
// its other calls, and rejects only the reads of the list.
func TestLeavingTargetIsLearnedWhereOnlyReadsOfTheListFail(t *testing.T) {
	for name, size := range map[string]fleetSize{"small fleet": {domains: 3, instances: 2, targets: 2}, "with relays": {domains: 3, instances: 7, targets: 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(t, size)
				var rejected []*testInstance
				for _, inst := range fleet.instances {
					if inst.domain == "d0" {
						inst.storeAccess.Set(sharedstore.Fault{RejectedTopics: []string{"keyed.servers"}})
						rejected = append(rejected, inst)
					}
				}
				sleep(3 * time.Second)
				leaving := fleet.targets[0]
				leaving.leaveNow()
				sleep(2 * time.Second)
				fleet.requireNothingSentBy(t, rejected, leaving)
			})
		})
	}
}

// unlist removes a target's entry while the target goes on serving, as those do that never say that they leave.
func (t *target) unlist() {
	t.silent = true
	t.fleet.store.Put("keyed.servers", t.id, nil)
}

// Guards against an instance that the store rejects and that takes a removed target for one whose entry has lapsed, though
// instances that the store serves say all the while that the list is current.
func TestUnlistedTargetIsNotUsedWhereOnlyTheStoreRejects(t *testing.T) {
	for name, size := range map[string]fleetSize{"small fleet": {domains: 3, instances: 2, targets: 2}, "with relays": {domains: 3, instances: 7, targets: 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(t, size)
				var rejected []*testInstance
				for _, inst := range fleet.instances {
					if inst.domain == "d0" {
						inst.storeAccess.Set(sharedstore.Fault{Status: http.StatusTooManyRequests})
						rejected = append(rejected, inst)
					}
				}
				sleep(5 * time.Second)
				gone := fleet.targets[0]
				gone.unlist()
				sleep(2 * time.Second)
				fleet.requireNothingSentBy(t, rejected, gone)
			})
		})
	}
}
