package routed

import (
	"fmt"
	"net/http"
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
