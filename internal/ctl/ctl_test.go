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

// fleetServer is a fake listener for operators that applies changes to its fleet.
type fleetServer struct {
	mu      sync.Mutex
	fleet   protocol.Fleet
	changes int
	// loseAnswers is how many of the next changes take effect without an answer.
	loseAnswers int
	// dropChanges is how many of the next changes get no effect and no answer.
	dropChanges int
	// conflicts is how many of the next changes find that another change was
	// published first.
	conflicts int
	// lagging is how many of the next status calls show an instance with an older
	// version.
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
	if s.dropChanges > 0 {
		s.dropChanges--
		panic(http.ErrAbortHandler)
	}
	if s.conflicts > 0 {
		s.conflicts--
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

type runResult struct {
	code           ExitCode
	stdout, stderr string
}

func run(args ...string) runResult {
	var stdout, stderr bytes.Buffer
	code := Run(Process{Context: context.Background(), Stdout: &stdout, Stderr: &stderr}, args)
	return runResult{code, stdout.String(), stderr.String()}
}

const exampleFolder = "../../examples/cascadia"

func TestApplyTwiceChangesOnce(t *testing.T) {
	server, address := newFleetServer(t)
	first := run("config", "apply", exampleFolder, "--instance", address)
	require.Equal(t, ExitOK, first.code, first.stderr)
	second := run("config", "apply", exampleFolder, "--instance", address)
	require.Equal(t, ExitOK, second.code)
	require.Contains(t, second.stderr, "nothing to do")
	require.Equal(t, 1, server.changes)
	show := run("config", "show", "--output", "yaml", "--instance", address)
	require.Contains(t, show.stdout, "first_token: 2s")
}

func TestShowAsFileCanBeApplied(t *testing.T) {
	server, address := newFleetServer(t)
	require.Equal(t, ExitOK, run("config", "apply", exampleFolder, "--instance", address).code)
	require.Equal(t, ExitOK, run("key", "create", "puget-risers", "--instance", address).code)
	file := run("config", "show", "--as-file", "--instance", address)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "10-all.yaml"), []byte(file.stdout), 0o600))
	changes := server.changes
	again := run("config", "apply", dir, "--instance", address)
	require.Contains(t, again.stderr, "nothing to do", file.stdout)
	require.Equal(t, changes, server.changes)
}

// One instance still has the old version when the change is accepted. An operator who
// continues at once could reach that instance; with --wait the command returns only
// when the change is in force at all instances.
func TestApplyWaitsUntilInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := emptyFleetServer()
		server.lagging = 2
		var stdout, stderr bytes.Buffer
		client := &Client{BaseURLs: []string{"http://a"}, HTTP: &http.Client{Transport: handlerTransport{server}}}
		env := &Env{Context: t.Context(), Stdout: &stdout, Stderr: &stderr, Output: OutputTable, Operator: client,
			Now: time.Now, After: time.After, Random: rand.Reader}
		require.NoError(t, (&configApply{Folder: exampleFolder, Wait: true}).Run(env))
		require.Contains(t, stderr.String(), "version 0 is in force at all 2 instances that can be reached, confirmed after 500ms; 1 were not reached")
		require.Zero(t, server.lagging)
	})
}

// The instance publishes a change and its answer is lost. An operator who reads
// "failed" would publish the change again or undo it by hand. The command therefore
// queries the fleet and reports which version is in force.
func TestApplyChecksFleetAfterLostAnswer(t *testing.T) {
	server, address := newFleetServer(t)
	server.loseAnswers = 1
	got := run("config", "apply", exampleFolder, "--instance", address)
	require.Equal(t, ExitOK, got.code, got.stderr)
	require.Contains(t, got.stderr, "the answer was lost, but the folder is in force")
}

// The connection breaks and the fleet does not have the change. The command can't know
// whether the change still takes effect: it reports this by exit code 4, and running
// the same command again publishes the change exactly once.
func TestUncertainApplyExits4AndCanBeRunAgain(t *testing.T) {
	server, address := newFleetServer(t)
	server.dropChanges = 1
	got := run("config", "apply", exampleFolder, "--instance", address)
	require.Equal(t, ExitMayHaveTakenEffect, got.code)
	require.Contains(t, got.stderr, "may have taken effect")
	require.Contains(t, got.stderr, "next: run the same command again")
	require.Equal(t, ExitOK, run("config", "apply", exampleFolder, "--instance", address).code)
	require.Equal(t, 1, server.changes)
}

func TestConflictingApplyExits3(t *testing.T) {
	server, address := newFleetServer(t)
	server.conflicts = 1
	got := run("config", "apply", exampleFolder, "--instance", address)
	require.Equal(t, ExitConflict, got.code)
	require.Contains(t, got.stderr, "next: look at config diff")
	require.Zero(t, server.changes)
}

func TestUnreachableInstancesExit5AndTheNextIsTried(t *testing.T) {
	_, address := newFleetServer(t)
	dead := httptest.NewServer(http.NotFoundHandler())
	unreachable := strings.TrimPrefix(dead.URL, "http://")
	dead.Close()
	require.Equal(t, ExitUnavailable, run("config", "show", "--instance", unreachable).code)
	require.Equal(t, ExitOK, run("config", "show", "--instance", unreachable, "--instance", address).code)
}

func TestCreateKeyRetriesConflictsAndShowsSecretOnce(t *testing.T) {
	server, address := newFleetServer(t)
	server.fleet.Organisations["ana"] = protocol.Organisation{ID: "ana", Rate: 1, Burst: 1}
	server.conflicts, server.loseAnswers = 2, 1
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

func TestSecretGivenAsIDIsNotSent(t *testing.T) {
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

// laggingInstance is an instance that has not read the latest changes. It passes changes on.
type laggingInstance struct{ *fleetServer }

func (l laggingInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == operatorapi.PathFleet {
		_ = json.NewEncoder(w).Encode(operatorapi.FleetAnswer{Instance: "lagging", LogUp: true, Fleet: &emptyFleetServer().fleet})
		return
	}
	l.fleetServer.ServeHTTP(w, r)
}

// Guards against an organisation that counts as bad input right after it was published, because the
// instance that answers first has not read the change yet.
func TestOrganisationIsFoundAtInstanceThatIsUpToDate(t *testing.T) {
	server, current := newFleetServer(t)
	behind := httptest.NewServer(laggingInstance{server})
	t.Cleanup(behind.Close)
	lagging := strings.TrimPrefix(behind.URL, "http://")
	require.Equal(t, ExitOK, run("config", "apply", exampleFolder, "--instance", current).code)
	created := run("key", "create", "puget-risers", "--instance", lagging, "--instance", current)
	require.Equal(t, ExitOK, created.code, created.stderr)
	require.Len(t, server.fleet.Keys, 1)
	require.Equal(t, ExitOK, run("org", "show", "puget-risers", "--instance", lagging, "--instance", current).code)

	unknown := run("key", "create", "nobody", "--instance", lagging, "--instance", current)
	require.Equal(t, ExitBadInput, unknown.code)
	require.Contains(t, unknown.stderr, `organisation "nobody" is not in the configuration in force, version 1 at a`)
	require.Equal(t, ExitBadInput, run("key", "create", "puget-risers", "--instance", lagging).code)
}
