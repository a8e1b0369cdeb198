package routed

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/settings"
	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/memnet"
	"merlintiller/internal/standin/sharedstore"
)

const (
	storeIP = "10.9.0.1"
	// callerIP is the address of all callers.
	callerIP = "10.8.0.1"
	host     = "calls.example"
	// keyOne and keyTwo are the API keys of two organisations.
	keyOne = "secret-of-one"
	keyTwo = "secret-of-two"
	// coldPerSecond is the number of requests a second that targets can serve during their
	// warm-up.
	coldPerSecond = 6.5
)

// testFleet is a fleet of real instances on an in-memory network, with stand-ins for the
// store and the targets. It must be created in a synctest bubble.
type testFleet struct {
	t     *testing.T
	net   *memnet.Network
	store *sharedstore.Store

	instances  []*testInstance
	targets    []*target
	background sync.WaitGroup
	stop       context.CancelFunc
	ctx        context.Context
	version    int
	// editSettings, if set, changes the settings of all instances.
	editSettings func(*settings.Routed)
	// networkOf, if set, returns the network of an instance, given its host in the in-memory one.
	networkOf func(host external.Network) external.Network
}

// testInstance is one instance of a testFleet.
type testInstance struct {
	fleet       *testFleet
	name        string
	ip          string
	domain      string
	storeAccess *sharedstore.Endpoint
	settings    settings.Routed
	daemon      *Daemon
	cancel      context.CancelFunc
	done        chan struct{}
	logs        *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *lockedBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *lockedBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// fleetSize gives the number of failure domains, and the number of instances and targets
// in each of them.
type fleetSize struct {
	domains, instances, targets int
	// engine holds the options of all engines. newTestFleet sets the ID.
	engine engine.Options
	// paceOf, if set, returns the function that gives the pace of a target.
	paceOf func(domain, i int) func() int
	// settings, if set, changes the settings of all instances.
	settings func(*settings.Routed)
	// network, if set, returns the network of an instance, given its host in the in-memory one.
	network func(host external.Network) external.Network
}

// newTestFleet starts a fleet and waits until it serves.
func newTestFleet(t *testing.T, size fleetSize) *testFleet {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	fleet := &testFleet{
		t: t, net: memnet.New(200 * time.Microsecond), store: sharedstore.New(12), ctx: ctx, stop: stop,
		editSettings: size.settings, networkOf: size.network,
	}
	t.Cleanup(fleet.close)
	fleet.configure(nil)
	for d := range size.domains {
		for i := range size.targets {
			opts := size.engine
			if size.paceOf != nil {
				opts.Pace = size.paceOf(d, i)
			}
			fleet.addTarget(fmt.Sprintf("t-%d-%d", d, i), fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.2.%d", d, i+1), opts)
		}
	}
	for d := range size.domains {
		for i := range size.instances {
			fleet.addInstance(fmt.Sprintf("n-%d-%d", d, i), fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.1.%d", d, i+1))
		}
	}
	fleet.awaitReady()
	return fleet
}

// close stops all instances and targets without a graceful shutdown.
func (fleet *testFleet) close() {
	for _, inst := range fleet.instances {
		inst.kill()
	}
	fleet.stop()
	for _, target := range fleet.targets {
		_ = target.server.Close()
	}
	fleet.background.Wait()
}

// configure publishes the default configuration of the tests after applying edit to it.
func (fleet *testFleet) configure(edit func(config map[string]any)) {
	fleet.version += 3
	streamRoute := func(name, prefix string, resumable bool, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 5000,
			"target_latency_ms": 300, "gap_target_ms": 600, "priority": 0, "service": "svc", "max_attempts": attempts,
			"resumable": resumable, "sticky_sessions": true,
		}
	}
	config := map[string]any{
		"version": fleet.version,
		"routes": []any{
			streamRoute("once", "/once/", false, 1),
			streamRoute("again", "/again/", true, 2),
			map[string]any{
				"name": "jobs", "host": host, "path_prefix": "/jobs/", "kind": "batch", "service": "svc",
				"target_latency_ms": 500, "result_due_ms": 18000, "retention_s": 60, "max_attempts": 3, "priority": 2,
			},
		},
		"services": []any{map[string]any{"name": "svc", "health_path": "/health", "max_conns": 300, "cold_s": 3, "cold_per_s": coldPerSecond, "engine": map[string]any{"slots": 8}}},
		"tenants": []any{
			map[string]any{"name": "one", "api_keys": []string{keyOne}, "rate_per_s": 0, "burst": 0},
			map[string]any{"name": "two", "api_keys": []string{keyTwo}, "rate_per_s": 10, "burst": 10},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "idle_timeout_ms": 15000},
	}
	if edit != nil {
		edit(config)
	}
	data, err := json.Marshal(config)
	require.NoError(fleet.t, err)
	fleet.store.Put("keyed.op", "config", data)
}

func (fleet *testFleet) addInstance(name, domain, ip string) *testInstance {
	inst := &testInstance{fleet: fleet, name: name, ip: ip, domain: domain, storeAccess: fleet.store.NewEndpoint()}
	fleet.instances = append(fleet.instances, inst)
	// Each instance has its own address for the store, so that a test can make the store
	// unreachable for a single instance.
	address := storeIP + ":" + fmt.Sprint(9000+len(fleet.instances))
	listener, err := fleet.net.Host(storeIP).Listen(address)
	require.NoError(fleet.t, err)
	server := &http.Server{Handler: inst.storeAccess}
	fleet.background.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(fleet.ctx, func() { _ = server.Close() })
	inst.settings = *settings.DefaultRouted()
	inst.settings.Instance, inst.settings.Domain = protocol.InstanceID(name), protocol.Domain(domain)
	inst.settings.Listen = settings.RoutedListen{Callers: ip + ":80", Readiness: ip + ":81", Peers: ip + ":82"}
	inst.settings.Store.Address = address
	inst.settings.Seeds = []string{"10.0.1.1:82"}
	// The scheduling lag is that of the test process, in real time.
	inst.settings.MaxSchedulingLag = 0
	// As in deploy/settings.yaml, so that the tests of faults run with it.
	inst.settings.Adaptive.AnswerBuffersPercent = 25
	if fleet.editSettings != nil {
		fleet.editSettings(&inst.settings)
	}
	inst.start()
	return inst
}

// start starts the instance's process.
func (inst *testInstance) start() {
	inst.logs = &lockedBuffer{}
	logger := log.With(log.NewLogfmtLogger(inst.logs), "at", log.DefaultTimestampUTC)
	s := inst.settings
	var network external.Network = inst.fleet.net.Host(inst.ip)
	if inst.fleet.networkOf != nil {
		network = inst.fleet.networkOf(network)
	}
	d, err := New(&s, network, logger)
	require.NoError(inst.fleet.t, err)
	// The limit that an instance sets would count the memory of all instances and stand-ins of the test, and
	// leave most of the processor to the garbage collector.
	debug.SetMemoryLimit(math.MaxInt64)
	ctx, cancel := context.WithCancel(inst.fleet.ctx)
	inst.daemon, inst.cancel, inst.done = d, cancel, make(chan struct{})
	done := inst.done
	inst.fleet.background.Go(func() {
		defer close(done)
		_ = d.Run(ctx)
	})
}

// kill stops the process without a graceful shutdown.
func (inst *testInstance) kill() {
	inst.fleet.net.Kill(inst.ip)
	inst.daemon.kill()
	<-inst.done
}

// killAll kills all instances. startAll starts them again.
func (fleet *testFleet) killAll() {
	for _, inst := range fleet.instances {
		inst.kill()
	}
}

func (fleet *testFleet) startAll() {
	for _, inst := range fleet.instances {
		inst.start()
	}
}

// terminate starts a graceful shutdown and waits until the process has stopped.
func (inst *testInstance) terminate() {
	inst.cancel()
	<-inst.done
}

// ready reports whether the readiness check of the instance succeeds.
func (inst *testInstance) ready() bool {
	client := inst.fleet.client()
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + inst.ip + ":81/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (fleet *testFleet) awaitReady() {
	fleet.t.Helper()
	for _, inst := range fleet.instances {
		for tries := 0; !inst.ready(); tries++ {
			require.Less(fleet.t, tries, 100, "%s does not become ready:\n%s", inst.name, inst.logs)
			sleep(100 * time.Millisecond)
		}
	}
	// The instances discover each other, and the store assigns the job partitions.
	sleep(1500 * time.Millisecond)
}

// sleep waits for a duration of the synctest bubble's clock.
func sleep(d time.Duration) { <-time.After(d) }

// client returns an HTTP client with its own connections.
func (fleet *testFleet) client() *http.Client {
	caller := fleet.net.Host(callerIP)
	return &http.Client{
		Transport: &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return caller.Dial(ctx, address)
		}},
	}
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	body   string
	header http.Header
	// err is set if the response did not arrive or is incomplete.
	err       error
	firstByte time.Duration
	took      time.Duration
}

// callerRequest is one request of a caller.
type callerRequest struct {
	id, method, path, key string
	// host is the host that is named. "": the usual one.
	host   string
	body   string
	header map[string]string
	// timeout is how long the caller waits for the whole response. 0: 6 s.
	timeout time.Duration
}

// send sends a request on a new connection.
func (inst *testInstance) send(req callerRequest) callerResponse {
	client := inst.fleet.client()
	defer client.CloseIdleConnections()
	return inst.sendOn(client, req)
}

func (inst *testInstance) sendOn(client *http.Client, req callerRequest) callerResponse {
	if req.method == "" {
		req.method = http.MethodPost
	}
	if req.timeout == 0 {
		req.timeout = 6 * time.Second
	}
	ctx, cancel := context.WithTimeout(inst.fleet.ctx, req.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, req.method, "http://"+inst.ip+":80"+req.path, strings.NewReader(req.body))
	require.NoError(inst.fleet.t, err)
	request.Host = cmp.Or(req.host, host)
	request.Header.Set("Request-Id", req.id)
	request.Header.Set("Deadline-Ms", "5000")
	if req.key != "" {
		request.Header.Set("Authorization", "Bearer "+req.key)
	}
	for name, value := range req.header {
		request.Header.Set(name, value)
	}
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return callerResponse{err: err, took: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	out := callerResponse{status: response.StatusCode, header: response.Header, firstByte: time.Since(start)}
	data, err := io.ReadAll(response.Body)
	out.body, out.err, out.took = string(data), err, time.Since(start)
	return out
}

// streamBody returns the complete response body to a request for a number of events.
func streamBody(id string, events int) string {
	var out strings.Builder
	for n := range events {
		fmt.Fprintf(&out, "id: %d\ndata: %s\n\n", n, engine.EventData(id, n))
	}
	return out.String()
}

// resultText returns the expected result of an item with a number of events.
func resultText(id string, events int) string {
	lines := make([]string, events)
	for n := range lines {
		lines[n] = engine.EventData(id, n)
	}
	return strings.Join(lines, "\n")
}

// runsOf returns the runs of a request or item at all targets.
func (fleet *testFleet) runsOf(id string) []engine.Run {
	var out []engine.Run
	for _, target := range fleet.targets {
		for _, run := range target.Runs() {
			if run.ID == id {
				out = append(out, run)
			}
		}
	}
	return out
}

// batchJob returns the request that submits a job whose items each have a number of events.
func batchJob(id string, items, events int) callerRequest {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var list []item
	for n := range items {
		list = append(list, item{
			ID: itemID(id, n), Path: fmt.Sprintf("/jobs/x/%d", events), Body: []byte("body of " + itemID(id, n)),
			Headers: map[string]string{"Model": "m", "Token-Count": "100,100"}, Tokens: 200,
		})
	}
	data, _ := json.Marshal(map[string]any{"items": list})
	return callerRequest{id: id, path: "/jobs/submit", key: keyOne, body: string(data)}
}

func itemID(job string, n int) string { return fmt.Sprintf("%s-item-%d", job, n) }

// resultsPage is a page of a job's results.
type resultsPage struct {
	Total, Next int
	Results     []struct{ ID, State, Text string }
}

// results reads a page of a job's results, beginning after a position.
func (inst *testInstance) results(job string, after int) (resultsPage, int) {
	got := inst.send(callerRequest{
		method: http.MethodGet, path: fmt.Sprintf("/lots/%s?after=%d", job, after), key: keyOne,
		header: map[string]string{"Wait-Ms": "1000"},
	})
	var page resultsPage
	if got.status == http.StatusOK {
		require.NoError(inst.fleet.t, json.Unmarshal([]byte(got.body), &page), got.body)
	}
	return page, got.status
}

// allResults reads results until the job is complete. It fails the test after the given
// time.
func (inst *testInstance) allResults(job string, within time.Duration) resultsPage {
	inst.fleet.t.Helper()
	var all resultsPage
	for until := time.Now().Add(within); ; {
		page, status := inst.results(job, all.Next)
		if status == http.StatusOK {
			all.Total, all.Next = page.Total, page.Next
			all.Results = append(all.Results, page.Results...)
			if len(all.Results) == all.Total {
				return all
			}
		}
		require.True(inst.fleet.t, time.Now().Before(until), "job %s: %d of %d results at %s, status %d\n%s",
			job, len(all.Results), all.Total, inst.name, status, inst.logs)
		sleep(300 * time.Millisecond)
	}
}

// requireComplete checks that the results of a job made by batchJob are complete and
// correct.
func (fleet *testFleet) requireComplete(job string, got resultsPage, events int) {
	fleet.t.Helper()
	seen := map[string]bool{}
	for _, r := range got.Results {
		require.False(fleet.t, seen[r.ID], "item %s is listed twice", r.ID)
		seen[r.ID] = true
		require.Equal(fleet.t, "succeeded", r.State, r.ID)
		require.Equal(fleet.t, resultText(r.ID, events), r.Text, r.ID)
	}
	require.Len(fleet.t, seen, got.Total)
}
