package routed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/settings"
	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/memnet"
	"merlintiller/internal/standin/sharedstore"
)

const (
	storeIP = "10.9.0.1"
	// callerIP is where all callers come from.
	callerIP = "10.8.0.1"
	host     = "calls.example"
	// The keys of two organisations.
	keyOne = "secret-of-one"
	keyTwo = "secret-of-two"
	// coldPerSecond is how many requests a second targets bear while they warm up.
	coldPerSecond = 6.5
)

// world is a fleet of real instances on a network in memory, with stand-ins for
// the store and the targets. It lives in a bubble of synctest.
type world struct {
	t     *testing.T
	net   *memnet.Network
	store *sharedstore.Store

	nodes   []*node
	targets []*target
	ended   sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context
	version int
}

// node is one instance.
type node struct {
	world    *world
	name     string
	ip       string
	domain   string
	door     *sharedstore.Door
	settings settings.Routed
	daemon   *Daemon
	term     context.CancelFunc
	done     chan struct{}
	logs     *safeBuffer
}

// target is one engine with its place.
type target struct {
	*engine.Engine
	world   *world
	id, ip  string
	domain  string
	state   string
	started int64
	quiet   bool
	server  *http.Server
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// size says how large a world is, in each of its failure domains.
type size struct {
	domains, nodes, targets int
	// target shapes the engines; its ID is given by the world.
	target engine.Options
}

// newWorld starts a fleet and waits until it serves.
func newWorld(t *testing.T, s size) *world {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	w := &world{
		t: t, net: memnet.New(200 * time.Microsecond), store: sharedstore.New(12), ctx: ctx, stop: stop,
	}
	t.Cleanup(w.close)
	w.configure(nil)
	for d := range s.domains {
		for i := range s.targets {
			w.addTarget(fmt.Sprintf("t-%d-%d", d, i), fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.2.%d", d, i+1), s.target)
		}
	}
	for d := range s.domains {
		for i := range s.nodes {
			w.addNode(fmt.Sprintf("n-%d-%d", d, i), fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.1.%d", d, i+1))
		}
	}
	w.awaitReady()
	return w
}

// close stops everything at once.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	w.stop()
	for _, target := range w.targets {
		_ = target.server.Close()
	}
	w.ended.Wait()
}

// configure publishes the usual configuration as changed by edit.
func (w *world) configure(edit func(config map[string]any)) {
	w.version += 3
	streamRoute := func(name, prefix string, resumable bool, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 5000,
			"target_latency_ms": 300, "gap_target_ms": 600, "priority": 0, "service": "svc", "max_attempts": attempts,
			"resumable": resumable, "sticky_sessions": true,
		}
	}
	config := map[string]any{
		"version": w.version,
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
	require.NoError(w.t, err)
	w.store.Put("keyed.op", "config", data)
}

func (w *world) addTarget(id, domain, ip string, opts engine.Options) *target {
	opts.ID = id
	if opts.Slots == 0 {
		opts.Slots, opts.Queue, opts.Step = 8, 24, 20*time.Millisecond
	}
	target := &target{
		Engine: engine.New(opts), world: w, id: id, ip: ip, domain: domain, state: "ready", started: time.Now().UnixMilli(),
	}
	w.targets = append(w.targets, target)
	target.listen()
	target.enter()
	w.ended.Go(target.beat)
	return target
}

func (t *target) listen() {
	listener, err := t.world.net.Host(t.ip).Listen(t.ip + ":8000")
	require.NoError(t.world.t, err)
	t.server = &http.Server{Handler: t.Engine}
	t.world.ended.Go(func() { _ = t.server.Serve(listener) })
}

// enter writes the target's entry into the list.
func (t *target) enter() {
	data, err := json.Marshal(map[string]any{
		"service": "svc", "address": t.ip + ":8000", "zone": t.domain, "version": "v1", "slots": 8,
		"state": t.state, "cold_left_ms": max(0, time.Until(t.WarmAt()).Milliseconds()), "born": t.started, "seq": time.Now().UnixMilli(),
	})
	require.NoError(t.world.t, err)
	t.world.store.Put("keyed.servers", t.id, data)
}

// beat writes it again and again.
func (t *target) beat() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !t.quiet {
				t.enter()
			}
		case <-t.world.ctx.Done():
			return
		}
	}
}

func (w *world) addNode(name, domain, ip string) *node {
	n := &node{world: w, name: name, ip: ip, domain: domain, door: w.store.Door()}
	w.nodes = append(w.nodes, n)
	// Each instance reaches the store under an address of its own, so that the
	// store can be away for it alone.
	address := storeIP + ":" + fmt.Sprint(9000+len(w.nodes))
	listener, err := w.net.Host(storeIP).Listen(address)
	require.NoError(w.t, err)
	server := &http.Server{Handler: n.door}
	w.ended.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	n.settings = *settings.DefaultRouted()
	n.settings.Instance, n.settings.Domain = protocol.InstanceID(name), protocol.Domain(domain)
	n.settings.Listen = settings.RoutedListen{Callers: ip + ":80", Readiness: ip + ":81", Peers: ip + ":82"}
	n.settings.Store.Address = address
	n.settings.Seeds = []string{"10.0.1.1:82"}
	n.start()
	return n
}

// start starts the instance's process.
func (n *node) start() {
	n.logs = &safeBuffer{}
	logger := log.With(log.NewLogfmtLogger(n.logs), "at", log.DefaultTimestampUTC)
	s := n.settings
	d, err := New(&s, n.world.net.Host(n.ip), logger)
	require.NoError(n.world.t, err)
	ctx, term := context.WithCancel(n.world.ctx)
	n.daemon, n.term, n.done = d, term, make(chan struct{})
	done := n.done
	n.world.ended.Go(func() {
		defer close(done)
		_ = d.Run(ctx)
	})
}

// kill ends the process without a word.
func (n *node) kill() {
	n.world.net.Kill(n.ip)
	n.daemon.kill()
	<-n.done
}

// killAll kills all instances at once, and startAll starts them again.
func (w *world) killAll() {
	for _, n := range w.nodes {
		n.kill()
	}
}

func (w *world) startAll() {
	for _, n := range w.nodes {
		n.start()
	}
}

// terminate asks the process to stop and waits until it has.
func (n *node) terminate() {
	n.term()
	<-n.done
}

// ready is what the balancer is told.
func (n *node) ready() bool {
	client := n.world.client()
	defer client.CloseIdleConnections()
	answer, err := client.Get("http://" + n.ip + ":81/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (w *world) awaitReady() {
	w.t.Helper()
	for _, n := range w.nodes {
		for tries := 0; !n.ready(); tries++ {
			require.Less(w.t, tries, 100, "%s does not get ready:\n%s", n.name, n.logs)
			pass(100 * time.Millisecond)
		}
	}
	// The instances find each other, and their jobs are dealt.
	pass(1500 * time.Millisecond)
}

// pass lets time go by.
func pass(d time.Duration) { <-time.After(d) }

// client returns a caller with connections of its own.
func (w *world) client() *http.Client {
	caller := w.net.Host(callerIP)
	return &http.Client{
		Transport: &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return caller.Dial(ctx, address)
		}},
	}
}

// reply is what a caller got.
type reply struct {
	status int
	body   string
	header http.Header
	// err is set if the answer did not come or is not whole.
	err       error
	firstByte time.Duration
	took      time.Duration
}

// ask is one request of a caller.
type ask struct {
	id, method, path, key string
	body                  string
	header                map[string]string
}

// send makes a request on a connection of its own.
func (n *node) send(a ask) reply {
	client := n.world.client()
	defer client.CloseIdleConnections()
	return n.sendBy(client, a)
}

func (n *node) sendBy(client *http.Client, a ask) reply {
	if a.method == "" {
		a.method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(n.world.ctx, 6*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, a.method, "http://"+n.ip+":80"+a.path, strings.NewReader(a.body))
	require.NoError(n.world.t, err)
	request.Host = host
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", "5000")
	if a.key != "" {
		request.Header.Set("Authorization", "Bearer "+a.key)
	}
	for name, value := range a.header {
		request.Header.Set(name, value)
	}
	began := time.Now()
	answer, err := client.Do(request)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = answer.Body.Close() }()
	out := reply{status: answer.StatusCode, header: answer.Header, firstByte: time.Since(began)}
	data, err := io.ReadAll(answer.Body)
	out.body, out.err, out.took = string(data), err, time.Since(began)
	return out
}

// stream is the whole answer to a request for so many events.
func stream(id string, events int) string {
	var out strings.Builder
	for n := range events {
		fmt.Fprintf(&out, "id: %d\ndata: %s\n\n", n, engine.Event(id, n))
	}
	return out.String()
}

// text is the result of an item of so many events.
func text(id string, events int) string {
	lines := make([]string, events)
	for n := range lines {
		lines[n] = engine.Event(id, n)
	}
	return strings.Join(lines, "\n")
}

// runs gives what ran for an id at all targets.
func (w *world) runs(id string) []engine.Run {
	var out []engine.Run
	for _, target := range w.targets {
		for _, run := range target.Runs() {
			if run.ID == id {
				out = append(out, run)
			}
		}
	}
	return out
}

// jobOf is a job whose items each have so many events.
func jobOf(id string, items, events int) ask {
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
			ID: itemOf(id, n), Path: fmt.Sprintf("/jobs/x/%d", events), Body: []byte("body of " + itemOf(id, n)),
			Headers: map[string]string{"Model": "m", "Token-Count": "100,100"}, Tokens: 200,
		})
	}
	data, _ := json.Marshal(map[string]any{"items": list})
	return ask{id: id, path: "/jobs/submit", key: keyOne, body: string(data)}
}

func itemOf(job string, n int) string { return fmt.Sprintf("%s-item-%d", job, n) }

// listed is a page of results.
type listed struct {
	Total, Next int
	Results     []struct{ ID, State, Text string }
}

// results reads a job's results from a position on.
func (n *node) results(job string, after int) (listed, int) {
	got := n.send(ask{
		method: http.MethodGet, path: fmt.Sprintf("/lots/%s?after=%d", job, after), key: keyOne,
		header: map[string]string{"Wait-Ms": "1000"},
	})
	var page listed
	if got.status == http.StatusOK {
		require.NoError(n.world.t, json.Unmarshal([]byte(got.body), &page), got.body)
	}
	return page, got.status
}

// allResults reads until all results are there, or fails after a while.
func (n *node) allResults(job string, within time.Duration) listed {
	n.world.t.Helper()
	var all listed
	for until := time.Now().Add(within); ; {
		page, status := n.results(job, all.Next)
		if status == http.StatusOK {
			all.Total, all.Next = page.Total, page.Next
			all.Results = append(all.Results, page.Results...)
			if len(all.Results) == all.Total {
				return all
			}
		}
		require.True(n.world.t, time.Now().Before(until), "job %s: %d of %d results at %s, status %d\n%s",
			job, len(all.Results), all.Total, n.name, status, n.logs)
		pass(300 * time.Millisecond)
	}
}

// requireWhole checks the results of a job made by jobOf.
func (w *world) requireWhole(job string, got listed, events int) {
	w.t.Helper()
	seen := map[string]bool{}
	for _, r := range got.Results {
		require.False(w.t, seen[r.ID], "item %s is listed twice", r.ID)
		seen[r.ID] = true
		require.Equal(w.t, "succeeded", r.State, r.ID)
		require.Equal(w.t, text(r.ID, events), r.Text, r.ID)
	}
	require.Len(w.t, seen, got.Total)
}
