package proctest

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/sharedstore"
	"merlintiller/internal/wait"
)

var (
	crowdInstances = flag.Int("crowd-instances", 9, "instances in the test of a crowded instance")
	crowdRate      = flag.Float64("crowd-rate", 400, "requests a second in the test of a crowded instance")
	crowdEvents    = flag.Int("crowd-events", 12, "events of each stream in the test of a crowded instance")
	crowdTime      = flag.Duration("crowd-time", 3*time.Second, "time of each part of the test of a crowded instance")
)

const (
	routedHost = "calls.example"
	routedKey  = "secret"
	// maxAttempts is the number of targets that may run one request of a caller, and the number of failed runs
	// of an item.
	maxAttempts = 2
	// crowdShare is the part of the new connections that one instance gets.
	crowdShare = 0.95
	// servedShare is the part of what was served before, at the first try, of the requests that an
	// instance has read that has to be served while one instance is crowded.
	servedShare = 0.75
)

// routedFleet is a fleet of tillerd --routed processes, with the store and the targets in this
// process.
type routedFleet struct {
	t         *testing.T
	ctx       context.Context
	store     *sharedstore.Store
	instances []*routedInstance
	// maxAttempts is what the routes allow, see the constant of this name.
	maxAttempts int
	// limited starts instances on small machines: with little memory, few descriptors, and a listener for metrics.
	limited bool
	// supervised are the targets that are processes of their own.
	supervised []*supervisedTarget
	// listedAt is when the entry of each target process was last renewed.
	listedMu sync.Mutex
	listedAt map[string]time.Time
}

type routedInstance struct {
	callers, readiness, peers, metrics string
	process                            *harness.Process
	// pid is the id of the process that was started last.
	pid atomic.Int64
	// start starts another process with the same settings.
	start func()
	// lost is locked while a test has killed or paused the process.
	lost sync.Mutex
}

// listen serves HTTP at a free address of loopback until the test ends.
func listen(t *testing.T, handler http.Handler) string {
	address, err := harness.FreeAddress()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: testTimeout}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return address
}

// startRouted starts instances in three failure domains with as many targets, each instance on one
// processor core.
func startRouted(t *testing.T, count int) *routedFleet {
	return startRoutedWith(t, t.TempDir(), count, func(f *routedFleet) {
		for n := range count {
			f.addTarget(n)
		}
	})
}

// startRoutedLimited is startRouted on small machines.
func startRoutedLimited(t *testing.T, count int) *routedFleet {
	return startRoutedWith(t, t.TempDir(), count, func(f *routedFleet) {
		f.limited = true
		for n := range count {
			f.addTarget(n)
		}
	})
}

// startRoutedWith is startRouted with other targets, and with the logs of all processes in a folder.
func startRoutedWith(t *testing.T, dir string, count int, addTargets func(f *routedFleet)) *routedFleet {
	return startRoutedAllowing(t, dir, count, maxAttempts, addTargets)
}

// startRoutedAllowing is startRoutedWith with another number of attempts that the routes allow.
func startRoutedAllowing(t *testing.T, dir string, count, attempts int, addTargets func(f *routedFleet)) *routedFleet {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	f := &routedFleet{t: t, ctx: ctx, store: sharedstore.New(12), listedAt: map[string]time.Time{}, maxAttempts: attempts}
	f.configure()
	// A process that is being started holds all open listeners of this one for a moment, so that a port which was just
	// found free can't be bound. The store's port is bound before targets are started.
	storeAddress := listen(t, f.store.NewEndpoint())
	addTargets(f)
	var seeds []string
	for n := range count {
		f.startInstance(dir, n, storeAddress, &seeds)
	}
	for _, i := range f.instances {
		f.awaitReady(i)
	}
	wait.For(ctx, 2*time.Second)
	return f
}

func (f *routedFleet) configure() {
	config := map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r", "host": routedHost, "path_prefix": "/r/", "kind": "streaming", "timeout_ms": 5000, "resumable": true,
			"target_latency_ms": 300, "gap_target_ms": 600, "priority": 0, "service": "svc", "max_attempts": f.maxAttempts,
		}, map[string]any{
			"name": "jobs", "host": routedHost, "path_prefix": "/jobs/", "kind": "batch", "service": "svc",
			"target_latency_ms": 500, "result_due_ms": 18000, "retention_s": 60, "max_attempts": f.maxAttempts, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "svc", "health_path": "/health", "max_conns": 1000, "engine": map[string]any{"slots": 64}}},
		"tenants":  []any{map[string]any{"name": "o", "api_keys": []string{routedKey}, "rate_per_s": 0, "burst": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "idle_timeout_ms": 15000},
	}
	data, err := json.Marshal(config)
	require.NoError(f.t, err)
	f.store.Put("keyed.op", "config", data)
}

// addTarget starts a target and keeps its entry in the list alive.
func (f *routedFleet) addTarget(n int) {
	id := fmt.Sprint("t-", n)
	address := listen(f.t, engine.New(engine.Options{ID: id, Slots: 64, QueueSize: 200, EventInterval: 20 * time.Millisecond}))
	register := func() {
		data, _ := json.Marshal(map[string]any{
			"service": "svc", "address": address, "zone": string(domains[n%len(domains)]), "version": "v1", "slots": 64,
			"state": "ready", "born": 1, "seq": time.Now().UnixMilli(),
		})
		f.store.Put("keyed.servers", id, data)
	}
	go func() { _ = wait.AtOnceAndEvery(f.ctx, time.Second, register) }()
}

func (f *routedFleet) startInstance(dir string, n int, store string, seeds *[]string) {
	var addresses [4]string
	for i := range addresses {
		address, err := harness.FreeAddress()
		require.NoError(f.t, err)
		addresses[i] = address
	}
	if len(*seeds) < 3 {
		*seeds = append(*seeds, addresses[2])
	}
	name := fmt.Sprintf("entry-%d", n)
	metricsAddress, memory := "", ""
	if f.limited {
		metricsAddress, memory = fmt.Sprintf(", metrics: %q", addresses[3]), fmt.Sprintf("memory_mb: %d\n", lowMemoryMB)
	}
	settings := fmt.Sprintf("instance: %s\ndomain: %s\nlisten: {callers: %q, readiness: %q, peers: %q%s}\nseeds: [%s]\nstore: {address: %q}\nlog: {level: info}\n%s",
		name, domains[n%len(domains)], addresses[0], addresses[1], addresses[2], metricsAddress, quoted(*seeds), store, memory)
	command := []string{"env", "GOMAXPROCS=1", filepath.Join(programs, "tillerd"), "--routed", "--settings"}
	if f.limited {
		command = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, lowDescriptors), "sh"}, command...)
	}
	path := filepath.Join(dir, name+".yaml")
	require.NoError(f.t, os.WriteFile(path, []byte(settings), 0o600))
	command = append(command, path)
	added := &routedInstance{callers: addresses[0], readiness: addresses[1], peers: addresses[2], metrics: addresses[3]}
	added.start = func() {
		process, err := harness.StartProcess(dir, name, command[0], command[1:]...)
		require.NoError(f.t, err)
		f.t.Cleanup(process.Kill)
		added.process = process
		added.pid.Store(int64(process.PID()))
	}
	added.start()
	f.instances = append(f.instances, added)
}

func quoted(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ",")
}

func (f *routedFleet) awaitReady(i *routedInstance) {
	for f.ctx.Err() == nil {
		response, err := http.Get("http://" + i.readiness + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		wait.For(f.ctx, 50*time.Millisecond)
	}
	f.t.Fatalf("an instance does not become ready")
}

// crowdCounts are the results of the requests of one part of the test.
type crowdCounts struct {
	mu sync.Mutex
	// read counts the first tries that an instance has read, served those of them that were
	// answered whole. unread counts those that were refused or closed unread, and lost those of
	// them that no later try of the caller was served for.
	read, served, unread, lost int
}

func (c *crowdCounts) share() float64 { return float64(c.served) / float64(max(1, c.read)) }

// tryResult is the result of one try of a caller.
type tryResult int

const (
	notRead tryResult = iota
	notServed
	served
)

// send sends a request on a new connection.
func (f *routedFleet) send(address, id string) tryResult {
	ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return notRead
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /r/a/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n",
		*crowdEvents, routedHost, id, routedKey)
	if err != nil {
		return notRead
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return notRead
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || strings.Count(string(body), "data:") != *crowdEvents {
		return notServed
	}
	return served
}

// request sends a request, and again to up to two other instances if it was not read.
func (f *routedFleet) request(id string, order []int, counts *crowdCounts) {
	first := f.send(f.instances[order[0]].callers, id+"-0")
	later := first
	for n := 1; n <= 2 && later == notRead; n++ {
		later = f.send(f.instances[order[n]].callers, fmt.Sprint(id, "-", n))
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	if first == notRead {
		counts.unread++
		if later != served {
			counts.lost++
		}
		return
	}
	counts.read++
	if first == served {
		counts.served++
	}
}

// load sends requests for a time. crowded is the part of the connections that the first instance
// gets.
func (f *routedFleet) load(part string, crowded float64) *crowdCounts {
	counts := &crowdCounts{}
	rng := rand.New(rand.NewPCG(1, 51))
	var callers sync.WaitGroup
	start := time.Now()
	for at, n := time.Duration(0), 0; at < *crowdTime; n++ {
		at += time.Duration(rng.ExpFloat64() / *crowdRate * float64(time.Second))
		wait.For(f.ctx, at-time.Since(start))
		order := rng.Perm(len(f.instances))
		if rng.Float64() < crowded {
			first := slices.Index(order, 0)
			order[0], order[first] = order[first], order[0]
		}
		callers.Go(func() { f.request(fmt.Sprint(part, "-", n), order, counts) })
	}
	callers.Wait()
	f.t.Logf("%s: %d of %d read first tries served, %.3f; %d not read, %d of them not served later", part, counts.served, counts.read, counts.share(), counts.unread, counts.lost)
	return counts
}

// Guards against an instance that gets most new connections and reads more requests than it can serve.
func TestCrowdedInstanceServesWhatItReads(t *testing.T) {
	f := startRouted(t, *crowdInstances)
	before := f.load("before", 0)
	during := f.load("during", crowdShare)
	require.GreaterOrEqual(t, during.share(), servedShare*before.share())
	require.LessOrEqual(t, during.lost, during.unread/20)
	log, err := os.ReadFile(f.instances[0].process.LogFile)
	require.NoError(t, err)
	t.Logf("%d lines of overload", strings.Count(string(log), "event=overload_"))
}
