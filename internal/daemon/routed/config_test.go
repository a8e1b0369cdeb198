package routed

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// withoutSecondKey takes the second organisation out of a configuration.
func withoutSecondKey(config map[string]any) {
	config["tenants"] = config["tenants"].([]any)[:1]
}

// A store that was restored from a copy, or a read that is behind, shows an older
// configuration, or one that can't be read. Taken over, it would bring back a key
// that was withdrawn.
func TestConfigurationNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 1, nodes: 2, targets: 1})
		w.configure(withoutSecondKey)
		pass(500 * time.Millisecond)
		refused := func(what string) {
			t.Helper()
			for _, n := range w.nodes {
				require.Equal(t, http.StatusUnauthorized, n.send(ask{id: what + n.name, path: "/once/1", key: keyTwo}).status, what)
			}
		}
		refused("withdrawn")
		newest := w.version
		w.configure(func(config map[string]any) { config["version"] = newest - 1 })
		pass(1500 * time.Millisecond)
		refused("older")
		w.store.Put("keyed.op", "config", []byte(`{"version":`))
		pass(1500 * time.Millisecond)
		refused("unreadable")
		require.Contains(t, w.nodes[0].logs.String(), "event=config_unreadable")
	})
}

// The store turns one instance away while operators withdraw a key. The instance must
// learn of it through the others, or the key works there for as long as that lasts.
func TestConfigurationComesThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 1})
		away := w.nodes[0]
		away.door.Set(sharedstore.Fault{Silent: true})
		pass(500 * time.Millisecond)
		w.configure(withoutSecondKey)
		pass(1500 * time.Millisecond)
		require.Equal(t, http.StatusUnauthorized, away.send(ask{id: "a", path: "/once/1", key: keyTwo}).status)
		require.Contains(t, away.logs.String(), "before=3 from=peer")
	})
}
