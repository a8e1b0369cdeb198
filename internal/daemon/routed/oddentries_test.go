package routed

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// oddEntries returns entries of the list of targets that another writer may leave, by what is odd about them.
func oddEntries(address string) map[string]string {
	usual := map[string]any{
		"service": "svc", "address": address, "zone": "d0", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "born": 1, "seq": 1,
	}
	out := map[string]string{
		"nested as a whole": strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"cut off":           `{"service":"svc","address":"10.`,
		"no text":           "\xff\xfe\x00",
		"empty object":      "{}",
		"a number":          "1e400",
		"null":              "null",
	}
	with := func(name, field, value string) {
		fields := maps.Clone(usual)
		delete(fields, field)
		data, _ := json.Marshal(fields)
		out[name] = fmt.Sprintf(`{%q:%s,%s`, field, value, data[1:])
	}
	for _, port := range []string{"-1", "0", "65536", "99999", strings.Repeat("9", 400), "", "x"} {
		with("port "+port[:min(len(port), 6)], "address", `"10.0.2.1:`+port+`"`)
	}
	with("unspecified address", "address", `"0.0.0.0:8000"`)
	with("multicast address", "address", `"224.0.0.1:8000"`)
	with("a name as address", "address", `"target.example:8000"`)
	for _, field := range []string{"slots", "born", "seq", "cold_left_ms"} {
		for _, number := range []string{"1e400", "9223372036854775807", "1e18", "-9223372036854775808", "-1", "99999999999999999999", "1.5", `"8"`, "[8]", "null"} {
			with(field+" "+number, field, number)
		}
	}
	for _, field := range slices.Sorted(maps.Keys(usual)) {
		with("nested in "+field, field, strings.Repeat(`{"a":`, 200_000)+"1"+strings.Repeat("}", 200_000))
		with("long text in "+field, field, `"`+strings.Repeat("x", 100_000)+`"`)
	}
	return out
}

// Guards against an entry of another writer among those of the targets that ends instances, or keeps them from
// following the list or from starting.
func TestOddEntriesAmongTargetsHarmNoInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 2, targets: 2})
		odd := oddEntries("10.0.2.1:8000")
		for n, name := range slices.Sorted(maps.Keys(odd)) {
			fleet.store.Put("keyed.servers", fmt.Sprintf("odd-%d", n), []byte(odd[name]))
		}
		for n, key := range []string{"", " ", "\x00", "\xff\xfe", strings.Repeat("k", 255), "../op/config"} {
			fleet.store.Put("keyed.servers", key, []byte(fmt.Sprintf(`{"service":%d}`, n)))
		}
		sleep(3 * time.Second)
		fleet.requireFollowsList("before a restart")
		fleet.killAll()
		fleet.startAll()
		fleet.awaitReady()
		fleet.requireFollowsList("after a restart")
	})
}

// requireFollowsList requires that all instances serve, use a target that joins, and leave alone one that leaves.
func (fleet *testFleet) requireFollowsList(when string) {
	t := fleet.t
	t.Helper()
	joined := fleet.versionedTarget("joined "+when, "d0", fmt.Sprintf("10.0.3.%d", len(fleet.targets)), "v1", nil)
	// Targets warm up for three seconds.
	sleep(5 * time.Second)
	for n := range 40 {
		for _, inst := range fleet.instances {
			got := inst.send(callerRequest{id: fmt.Sprintf("%s-%s-%d", when, inst.name, n), path: "/once/x/5", key: keyOne})
			require.Equal(t, http.StatusOK, got.status, "%s: %s\n%s", when, inst.name, inst.logs)
		}
	}
	require.NotEmpty(t, joined.Runs(), when)
	joined.leaveNow()
	sleep(2 * time.Second)
	fleet.requireNothingSentBy(t, fleet.instances, joined)
}
