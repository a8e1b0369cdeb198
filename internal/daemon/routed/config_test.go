package routed

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// withoutSecondKey removes the second organisation from a configuration.
func withoutSecondKey(config map[string]any) {
	config["tenants"] = config["tenants"].([]any)[:1]
}

// A store that was restored from a backup, or a stale read, returns an older or an
// unreadable configuration. If the instance applied it, a withdrawn key would work again.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 2, targets: 1})
		fleet.configure(withoutSecondKey)
		sleep(500 * time.Millisecond)
		requireUnauthorized := func(what string) {
			t.Helper()
			for _, inst := range fleet.instances {
				require.Equal(t, http.StatusUnauthorized, inst.send(callerRequest{id: what + inst.name, path: "/once/1", key: keyTwo}).status, what)
			}
		}
		requireUnauthorized("withdrawn")
		newest := fleet.version
		fleet.configure(func(config map[string]any) { config["version"] = newest - 1 })
		sleep(1500 * time.Millisecond)
		requireUnauthorized("older")
		fleet.store.Put("keyed.op", "config", []byte(`{"version":`))
		sleep(1500 * time.Millisecond)
		requireUnauthorized("unreadable")
		require.Contains(t, fleet.instances[0].logs.String(), "event=config_unreadable")
	})
}

// One instance can't reach the store while operators withdraw a key. The instance must
// learn of the change from its peers. Otherwise the key would work there until the store
// responds again.
func TestConfigurationArrivesThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 2, targets: 1})
		withoutStore := fleet.instances[0]
		withoutStore.storeAccess.Set(sharedstore.Fault{Silent: true})
		sleep(500 * time.Millisecond)
		fleet.configure(withoutSecondKey)
		sleep(1500 * time.Millisecond)
		require.Equal(t, http.StatusUnauthorized, withoutStore.send(callerRequest{id: "a", path: "/once/1", key: keyTwo}).status)
		require.Contains(t, withoutStore.logs.String(), "before=3 from=peer")
	})
}
