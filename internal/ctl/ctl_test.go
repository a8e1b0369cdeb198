package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/operatorapi"
)

// fleetServer is an operators' listener whose fleet follows the changes.
type fleetServer struct {
	mu      sync.Mutex
	fleet   protocol.Fleet
	changes int
	// loseAnswers makes that many changes take effect without an answer.
	loseAnswers int
	// ignore makes that many changes vanish without effect or answer.
	ignore int
	// overtake publishes that many other changes ahead of the next ones.
	overtake int
	// lagging is how often status shows an instance that is behind.
	lagging int
}

func newFleetServer(t *testing.T) (*fleetServer, string) {
	s := emptyFleetServer()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

func emptyFleetServer() *fleetServer {
	return &fleetServer{fleet: protocol.Fleet{
		Version:       protocol.NoOffset,
		Organisations: map[protocol.OrganisationID]protocol.Organisation{},
		Keys:          map[protocol.KeyID]protocol.Key{},
		Models:        map[protocol.ModelName]protocol.Model{},
		Services:      map[protocol.ServiceName]protocol.Service{},
		Domains:       map[protocol.Domain]protocol.DomainShare{},
	}}
}

func (s *fleetServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.URL.Path {
	case operatorapi.PathFleet:
		_ = json.NewEncoder(w).Encode(operatorapi.FleetAnswer{Instance: "a", LogUp: true, Fleet: &s.fleet})
	case operatorapi.PathChanges:
		s.change(w, r)
	case operatorapi.PathStatus:
		other := fleetstatus.Instance{Instance: "b", Version: s.fleet.Version}
		if s.lagging > 0 {
			s.lagging--
			other.Version = protocol.NoOffset
		}
		_ = json.NewEncoder(w).Encode(fleetstatus.Status{Unreached: []fleetstatus.Unreached{{Instance: "c"}},
			Instances: []fleetstatus.Instance{{Instance: "a", Version: s.fleet.Version}, other}})
	default:
		http.NotFound(w, r)
	}
}

func (s *fleetServer) change(w http.ResponseWriter, r *http.Request) {
	var request operatorapi.ChangeRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	if s.ignore > 0 {
		s.ignore--
		panic(http.ErrAbortHandler)
	}
	if s.overtake > 0 {
		s.overtake--
		s.fleet.Version++
	}
	if request.BasedOn != s.fleet.Version {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"error":{"code":"conflict","message":"another change came first","run_state":"not_run","next":"look at config diff"}}`)
		return
	}
	s.apply(request)
	if s.loseAnswers > 0 {
		s.loseAnswers--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(operatorapi.ChangeAnswer{Verdict: protocol.Accepted, Version: s.fleet.Version, Message: "in force", Next: "status"})
}

func (s *fleetServer) apply(request operatorapi.ChangeRequest) {
	s.changes++
	s.fleet.Version++
	for _, object := range request.Set {
		switch {
		case object.Organisation != nil:
			s.fleet.Organisations[object.Organisation.ID] = *object.Organisation
		case object.Key != nil:
			s.fleet.Keys[object.Key.ID] = *object.Key
		case object.Model != nil:
			s.fleet.Models[object.Model.Name] = *object.Model
		case object.Service != nil:
			s.fleet.Services[object.Service.Name] = *object.Service
		case object.Domain != nil:
			s.fleet.Domains[object.Domain.Domain] = *object.Domain
		}
	}
}

type ran struct {
	code           ExitCode
	stdout, stderr string
}

func run(args ...string) ran {
	var stdout, stderr bytes.Buffer
	code := Run(Process{Context: context.Background(), Stdout: &stdout, Stderr: &stderr}, args)
	return ran{code, stdout.String(), stderr.String()}
}

const folder = "../../examples/cascadia"

func TestApplyTwiceChangesOnce(t *testing.T) {
	server, address := newFleetServer(t)
	first := run("config", "apply", folder, "--instance", address)
	require.Equal(t, ExitOK, first.code, first.stderr)
	second := run("config", "apply", folder, "--instance", address)
	require.Equal(t, ExitOK, second.code)
	require.Contains(t, second.stderr, "nothing to do")
	require.Equal(t, 1, server.changes)
	show := run("config", "show", "--output", "yaml", "--instance", address)
	require.Contains(t, show.stdout, "first_token: 2s")
}

func TestConfigurationInForceCanBeKeptAsAFile(t *testing.T) {
	server, address := newFleetServer(t)
	require.Equal(t, ExitOK, run("config", "apply", folder, "--instance", address).code)
	require.Equal(t, ExitOK, run("key", "create", "puget-risers", "--instance", address).code)
	file := run("config", "show", "--as-file", "--instance", address)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "10-all.yaml"), []byte(file.stdout), 0o600))
	changes := server.changes
	again := run("config", "apply", dir, "--instance", address)
	require.Contains(t, again.stderr, "nothing to do", file.stdout)
	require.Equal(t, changes, server.changes)
}

// An instance is still at the old version when the change is accepted. An
// operator who goes on would meet it there; with --wait the tool comes back only
// when the change is in force.
func TestApplyWaitsUntilInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := emptyFleetServer()
		server.lagging = 2
		var stdout, stderr bytes.Buffer
		client := &Client{Bases: []string{"http://a"}, HTTP: &http.Client{Transport: handlerTransport{server}}}
		env := &Env{Context: t.Context(), Stdout: &stdout, Stderr: &stderr, Output: OutputTable, Operator: client,
			Now: time.Now, After: time.After, Random: rand.Reader}
		require.NoError(t, (&configApply{Folder: folder, Wait: true}).Run(env))
		require.Contains(t, stderr.String(), "version 0 is in force at all 2 instances that can be reached, seen after 500ms; 1 were not reached")
		require.Zero(t, server.lagging)
	})
}

// The instance publishes a change and its answer is lost on the way back. An
// operator who hears "failed" would publish it again or undo it by hand. The
// tool looks for itself and says what is in force.
func TestLostAnswerOfApplyIsSettledByLooking(t *testing.T) {
	server, address := newFleetServer(t)
	server.loseAnswers = 1
	got := run("config", "apply", folder, "--instance", address)
	require.Equal(t, ExitOK, got.code, got.stderr)
	require.Contains(t, got.stderr, "the answer was lost, but the folder is in force")
}

// The connection breaks before the change is seen anywhere. The tool can't
// know whether it is still on its way: it says so with its own exit code, and
// the same command run again does the rest, once.
func TestUncertainApplyExits4AndCanBeRunAgain(t *testing.T) {
	server, address := newFleetServer(t)
	server.ignore = 1
	got := run("config", "apply", folder, "--instance", address)
	require.Equal(t, ExitMayHaveTakenEffect, got.code)
	require.Contains(t, got.stderr, "may have taken effect")
	require.Contains(t, got.stderr, "next: run the same command again")
	require.Equal(t, ExitOK, run("config", "apply", folder, "--instance", address).code)
	require.Equal(t, 1, server.changes)
}

func TestOvertakenApplyExits3(t *testing.T) {
	server, address := newFleetServer(t)
	server.overtake = 1
	got := run("config", "apply", folder, "--instance", address)
	require.Equal(t, ExitConflict, got.code)
	require.Contains(t, got.stderr, "next: look at config diff")
	require.Zero(t, server.changes)
}

func TestUnreachableInstancesExit5AndTheNextIsTried(t *testing.T) {
	_, address := newFleetServer(t)
	dead := httptest.NewServer(http.NotFoundHandler())
	gone := strings.TrimPrefix(dead.URL, "http://")
	dead.Close()
	require.Equal(t, ExitUnavailable, run("config", "show", "--instance", gone).code)
	require.Equal(t, ExitOK, run("config", "show", "--instance", gone, "--instance", address).code)
}

func TestKeyIsCreatedOverOtherChangesAndShownOnce(t *testing.T) {
	server, address := newFleetServer(t)
	server.fleet.Organisations["ana"] = protocol.Organisation{ID: "ana", Rate: 1, Burst: 1}
	server.overtake, server.loseAnswers = 2, 1
	got := run("key", "create", "ana", "--output", "json", "--instance", address)
	require.Equal(t, ExitOK, got.code, got.stderr)
	var created createdKey
	require.NoError(t, json.Unmarshal([]byte(got.stdout), &created))
	require.Len(t, server.fleet.Keys, 1)
	stored := server.fleet.Keys[created.ID]
	require.NotEmpty(t, stored.SHA256)
	require.NotContains(t, got.stderr, created.Secret)
	list := run("key", "list", "--instance", address)
	require.Contains(t, list.stdout, string(created.ID))
	require.NotContains(t, list.stdout, stored.SHA256)
	require.Equal(t, ExitBadInput, run("key", "create", "nobody", "--instance", address).code)
}

func TestSecretForAnIdIsSentNowhere(t *testing.T) {
	got := run("key", "withdraw", protocol.SecretPrefix+"hunter2", "--instance", "127.0.0.1:1")
	require.Equal(t, ExitBadInput, got.code)
	require.NotContains(t, got.stderr, "hunter2")
}

func TestBadInputExits2(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a.yaml"), []byte("organisations:\n  - {id: ana, rat: 1}\n"), 0o600))
	got := run("config", "check", dir)
	require.Equal(t, ExitBadInput, got.code)
	require.Contains(t, got.stderr, "a.yaml:2: organisations[0].rat: unknown field; did you mean rate?")
	for _, args := range [][]string{{"config", "chekc", dir}, {"config", "show"}, {"config", "show", "--instance", "localhost:1"},
		{"config", "show", "--output", "xml"}, {}} {
		require.Equal(t, ExitBadInput, run(args...).code, args)
	}
}

func TestHelpShowsExamplesAndExitCodes(t *testing.T) {
	require.Contains(t, run("--help").stdout, "Exit codes: 0 done;")
	require.Contains(t, run("config", "apply", "--help").stdout, "Example: tillerctl config apply")
	require.Equal(t, ExitOK, run("--help").code)
}
