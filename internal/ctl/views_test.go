package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/burn"
	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/fleet"
	"merlintiller/internal/transport/operatorapi"
)

// serveJSON serves each value as JSON under its path.
func serveJSON(t *testing.T, answers map[string]any) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := answers[r.URL.Path]
		if !ok {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// An instance is unreachable, one has an old version and one can't read the log. A script
// that monitors the fleet by the exit code has to notice each of them.
func TestStatusExits1WhenSomethingNeedsAnOperator(t *testing.T) {
	status := fleetstatus.Status{CollectedBy: "a", Instances: []fleetstatus.Instance{
		{Instance: "a", Version: 9, LogUp: true, MayHold: true},
		{Instance: "b", Version: 8, LogUp: true},
		{Instance: "c", Version: 9},
		{Instance: "e", Version: 9, LogUp: true, Trouble: "the log is gone"},
	}, Unreached: []fleetstatus.Unreached{{Instance: "d"}}, Late: []fleetstatus.LateJob{{Job: "j", Deadline: time.Unix(0, 0)}}}
	got := run("status", "--instance", serveJSON(t, map[string]any{operatorapi.PathStatus: status}))
	require.Equal(t, ExitFailed, got.code)
	for _, want := range []string{"b has version 8, not 9", "c can't read the log", "d can't be reached from a", "e: the log is gone", "1 jobs are late"} {
		require.Contains(t, got.stderr, want)
	}
	require.Contains(t, got.stdout, "8 (old)")
	well := fleetstatus.Status{Instances: status.Instances[:1]}
	require.Equal(t, ExitOK, run("status", "--instance", serveJSON(t, map[string]any{operatorapi.PathStatus: well})).code)
}

func TestListsPrintEveryOutputFormat(t *testing.T) {
	address := serveJSON(t, map[string]any{
		operatorapi.PathTargets:   operatorapi.TargetsAnswer{Instance: "a", Targets: []routing.Status{{Target: "t1", Service: "lm"}, {Target: "t2", Service: "other", Leaving: true}}},
		operatorapi.PathInstances: operatorapi.InstancesAnswer{Instance: "a", Instances: []operatorapi.InstanceEntry{{Instance: "b", SinceHeartbeatMS: 1500}}},
		operatorapi.PathHistory:   operatorapi.HistoryAnswer{Instance: "a", Changes: []fleet.Change{{ChangeID: "chg-1", Objects: []string{"key k1"}}, {ChangeID: "chg-0"}}},
	})
	cases := []struct {
		args []string
		want string
		not  string
	}{
		{[]string{"targets", "--service", "lm"}, "t1", "t2"},
		{[]string{"targets", "-o", "json"}, `"target": "t2"`, "TARGET"},
		{[]string{"instances"}, "no, silent for 1.5s", "heard"},
		{[]string{"instances", "-o", "yaml"}, "silent_ms: 1500", "SESSION"},
		{[]string{"config", "history", "--last", "1"}, "key k1", "chg-0"},
	}
	for _, c := range cases {
		got := run(append(c.args, "--instance", address)...)
		require.Equal(t, ExitOK, got.code, got.stderr)
		require.Contains(t, got.stdout, c.want, c.args)
		require.NotContains(t, got.stdout, c.not, c.args)
	}
}

func TestBurnNamesMissingInstancesAndWritesAPage(t *testing.T) {
	window := burn.WindowLine{Window: "5m", Good: 1, Bad: 1, Burn: 20}
	report := burn.Report{Unreached: []protocol.InstanceID{"z-9"}, Lines: []burn.Line{{
		Series: burn.Series{Organisation: "ana", Service: "lm"}, Signal: "availability", Objective: 0.95,
		Windows: []burn.WindowLine{window, window, window, window}, Alarm: burn.AlarmFast}}}
	to := filepath.Join(t.TempDir(), "burn.html")
	got := run("burn", "--html", to, "--instance", serveJSON(t, map[string]any{operatorapi.PathBurn: report}))
	require.Equal(t, ExitOK, got.code, got.stderr)
	require.Contains(t, got.stderr, "not reached, so not counted: [z-9]")
	require.Contains(t, got.stderr, "next: act now on ana")
	data, err := os.ReadFile(to)
	require.NoError(t, err)
	require.Contains(t, string(data), "<svg")
}

func TestOrganisationsShowTheirKeys(t *testing.T) {
	server, address := newFleetServer(t)
	server.fleet.Organisations["ana"] = protocol.Organisation{ID: "ana", Rate: 5, Burst: 9, Objectives: protocol.Objectives{FirstToken: 2 * time.Second, Target: 0.95}}
	server.fleet.Keys["k1"] = protocol.Key{ID: "k1", Organisation: "ana"}
	server.fleet.Keys["k2"] = protocol.Key{ID: "k2", Organisation: "ana", Withdrawn: true}
	require.Contains(t, run("org", "list", "--instance", address).stdout, "2000 ms")
	shown := run("org", "show", "ana", "-o", "json", "--instance", address)
	require.Contains(t, shown.stdout, `"keys_in_use": 1`)
	require.Contains(t, shown.stdout, `"keys_withdrawn": 1`)
	require.Equal(t, ExitBadInput, run("org", "show", "bob", "--instance", address).code)
}

func TestDrainNeedsConfirmationAndOneInstance(t *testing.T) {
	address := serveJSON(t, map[string]any{operatorapi.PathDrain: operatorapi.DrainAnswer{Message: "a is leaving", Next: "wait"}})
	dry := run("drain", "--instance", address)
	require.Contains(t, dry.stderr, "nothing was done")
	require.Contains(t, run("drain", "--yes", "--instance", address).stderr, "a is leaving")
	require.Equal(t, ExitBadInput, run("drain", "--yes", "--instance", address, "--instance", address).code)
}

func TestSettingsCheckReportsFileAndLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.yaml")
	require.NoError(t, os.WriteFile(path, []byte("instanse: a\n"), 0o600))
	got := run("settings", "check", path)
	require.Equal(t, ExitBadInput, got.code)
	require.Contains(t, got.stderr, "s.yaml:1: instanse: unknown field; did you mean instance?")
}

func TestSettingsCheckOfARoutedInstance(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.yaml")
	whole := "instance: a\ndomain: d\nlisten: {callers: '127.0.0.1:1', readiness: '127.0.0.1:2', peers: '127.0.0.1:3'}\nstore: {address: '127.0.0.1:4'}\n"
	require.NoError(t, os.WriteFile(path, []byte(whole), 0o600))
	got := run("settings", "check", "--routed", path)
	require.Equal(t, ExitOK, got.code, got.stderr)
	require.Contains(t, got.stdout, "127.0.0.1:4")
	require.NoError(t, os.WriteFile(path, []byte(whole+"graze: 2s\n"), 0o600))
	got = run("settings", "check", "--routed", path)
	require.Equal(t, ExitBadInput, got.code)
	require.Contains(t, got.stderr, "s.yaml:5: graze: unknown field; did you mean grace?")
}

func TestCompletionOffersCommands(t *testing.T) {
	bash := run("completion", "bash")
	require.Equal(t, ExitOK, bash.code)
	require.Contains(t, bash.stdout, `"config apply")`)
	require.Contains(t, run("completion", "zsh").stdout, "bashcompinit")
}

// The address is that of another server, such as a wrong port, whose answer is not an
// error in the format of tillerd. The command reports this and claims no effect.
func TestReportsAnswerThatIsNotTillerd(t *testing.T) {
	got := run("config", "show", "--instance", serveJSON(t, nil))
	require.Equal(t, ExitFailed, got.code)
	require.Contains(t, got.stderr, "an unknown error body")
}
