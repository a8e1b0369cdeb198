//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"merlintiller/internal/standin/sharedstore"
)

const (
	program  = "target/tillerd"
	template = "deploy/settings.yaml"
	host     = "nony24.example"
	key      = "i9n73hh2b9wu3fexd9dn"
	tenant   = "kaje80"
	service  = "tiller-reports"
	// Bounds of the sheet of cfa-inspect.
	stable      = 3 * time.Second
	configApply = 2 * time.Second
	settle      = time.Second
)

// world is a small deployment on loopback: a store, runners and entry instances.
type world struct {
	began  time.Time
	ctx    context.Context
	dir    string
	record *os.File

	mu     sync.Mutex
	last   map[string]string
	stops  []func()
	broken []string
	// taken are the addresses that were given out.
	taken map[string]bool

	store     *sharedstore.Store
	storeAddr string
	version   int
	instances []*instance
}

type instance struct {
	name, zone, front, ready, peers string
	command                         *exec.Cmd
}

// failure ends a case that could not run.
type failure struct{ error }

func (w *world) must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	w.note("BROKEN: "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *world) onEnd(stop func()) { w.stops = append(w.stops, stop) }

func (w *world) end() {
	for i := len(w.stops) - 1; i >= 0; i-- {
		w.stops[i]()
	}
}

func sleep(d time.Duration) { <-time.After(d) }

// listen opens a listener at a free port of loopback.
func (w *world) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	w.onEnd(func() { _ = l.Close() })
	return l
}

// freeAddress returns an address whose port was free a moment ago. The ports are below those that the kernel
// uses for outgoing connections, and each play has some of its own.
func (w *world) freeAddress() string {
	const first, plays, each = 12000, 400, 50
	for n := 0; ; n++ {
		address := fmt.Sprintf("127.0.0.1:%d", first+os.Getpid()%plays*each+n%each)
		if w.taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		w.taken[address] = true
		return address
	}
}

// startStore starts the stand-in for the platform's store.
func (w *world) startStore() {
	w.store = sharedstore.New(12)
	l := w.listen()
	w.storeAddr = l.Addr().String()
	server := &http.Server{Handler: w.store.NewEndpoint()}
	go func() { _ = server.Serve(l) }()
	w.onEnd(func() { _ = server.Close() })
}

// operatorRoute is a route as the operator writes it.
type operatorRoute map[string]any

func batchRoute(attempts int) operatorRoute {
	return operatorRoute{
		"name": "annual-report", "host": host, "path_prefix": "/pule252/", "kind": "batch", "timeout_ms": 15000,
		"target_latency_ms": 500, "gap_target_ms": 600, "priority": 2, "service": service, "max_attempts": attempts,
		"sticky_sessions": true, "result_due_ms": 18000, "retention_s": 60,
	}
}

func streamRoute(name, prefix string, resumable bool, attempts int) operatorRoute {
	return operatorRoute{
		"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 5000,
		"target_latency_ms": 300, "gap_target_ms": 600, "priority": 0, "service": service, "max_attempts": attempts,
		"sticky_sessions": true, "resumable": resumable,
	}
}

// configure writes the next version of the configuration, with these routes and keys of the tenant.
func (w *world) configure(keys []string, routes ...operatorRoute) {
	w.version += 3
	services, listed := []any{}, map[any]bool{}
	for _, r := range routes {
		if !listed[r["service"]] {
			listed[r["service"]] = true
			services = append(services, map[string]any{
				"name": r["service"], "health_path": "/health", "max_conns": 360, "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 134354},
			})
		}
	}
	config := map[string]any{
		"version":  w.version,
		"routes":   routes,
		"services": services,
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": keys, "rate_per_s": 0, "burst": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	}
	data, err := json.Marshal(config)
	w.must(err)
	w.store.Put("keyed.op", "config", data)
	names := []string{}
	for _, r := range routes {
		names = append(names, fmt.Sprint(r["name"]))
	}
	w.note("the operator writes configuration %d: routes %s, keys %s; the store has acknowledged it", w.version, strings.Join(names, ", "), strings.Join(keys, ", "))
}

// register keeps the entry of a runner in the store alive.
func (w *world) register(id, address, zone, service string, slots int) {
	born := time.Now().UnixMilli()
	seq := 0
	write := func() {
		seq++
		w.writeEntry(id, address, zone, service, slots, born, seq)
	}
	write()
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				write()
			case <-w.ctx.Done():
				return
			}
		}
	}()
}

// writeEntry writes the entry of a runner.
func (w *world) writeEntry(id, address, zone, service string, slots int, born int64, seq int) {
	data, _ := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": zone, "version": "1.4", "slots": slots, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": born,
	})
	w.store.Put("keyed.servers", id, data)
}

// fill fills in the template of the settings for an instance.
func (w *world) fill(i *instance, seeds []string, storeAddr string) string {
	data, err := os.ReadFile(template)
	w.must(err)
	text := string(data)
	section := regexp.MustCompile(`\{\{#seeds\}\}(.*?)\{\{/seeds\}\}`)
	quoted := make([]string, len(seeds))
	for n, s := range seeds {
		quoted[n] = fmt.Sprintf("%q", s)
	}
	text = section.ReplaceAllString(text, strings.Join(quoted, ","))
	text = regexp.MustCompile(`\{\{#bounds\.status_s\}\}(.*?)\{\{\.\}\}(.*?)\{\{/bounds\.status_s\}\}`).ReplaceAllString(text, "${1}120${2}")
	// The port of the metrics is free only once on a machine.
	text = strings.ReplaceAll(text, "{{ip}}:9464", w.freeAddress())
	for name, value := range map[string]string{
		"node_name": i.name, "zone": i.zone, "listen.front": i.front, "listen.ready": i.ready, "listen.control": i.peers,
		"platform.address": storeAddr, "platform.parts": "12", "platform.record_bytes": "262144", "platform.call_bytes": "2097152",
		"limits.memory_mb": "294", "limits.cpu_share": "0.8", "bounds.grace_s": "8",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		w.must(fmt.Errorf("the template has placeholders that are not known here:\n%s", text))
	}
	return text
}

// newInstances chooses names and addresses, one instance in each zone in turn.
func (w *world) newInstances(zones ...string) {
	for n, zone := range zones {
		w.instances = append(w.instances, &instance{
			name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone,
			front: w.freeAddress(), ready: w.freeAddress(), peers: w.freeAddress(),
		})
	}
}

// start starts the process of an instance with the command of the deploy file.
func (w *world) start(i *instance, storeAddr string) {
	seeds := []string{}
	for n := 0; n < len(w.instances) && n < 3; n++ {
		seeds = append(seeds, w.instances[n].peers)
	}
	path := filepath.Join(w.dir, i.name+".yaml")
	w.must(os.WriteFile(path, []byte(w.fill(i, seeds, storeAddr)), 0o600))
	log, err := os.OpenFile(filepath.Join(w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	w.must(err)
	defer func() { _ = log.Close() }()
	i.command = exec.Command(program, "--routed", "--settings", path)
	i.command.Env = []string{"PATH=" + os.Getenv("PATH")}
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.must(i.command.Start())
	w.note("%s starts (%s --routed --settings FILE), callers at %s", i.name, program, i.front)
	command := i.command
	w.onEnd(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}

// awaitReady waits until all instances answer 200 at /ready.
func (w *world) awaitReady() {
	limit := time.Now().Add(15 * time.Second)
	for _, i := range w.instances {
		for {
			reply, err := http.Get("http://" + i.ready + "/ready")
			if err == nil {
				_ = reply.Body.Close()
				if reply.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) {
				w.must(fmt.Errorf("%s is not ready", i.name))
			}
			sleep(50 * time.Millisecond)
		}
	}
	w.note("all instances are ready")
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%d (%v)", a.status, a.err)
	}
	return fmt.Sprint(a.status)
}

// call makes one request of a client on a new connection.
func (w *world) call(i *instance, method, path, secret string, header map[string]string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(w.ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+path, bytes.NewReader(body))
	w.must(err)
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+secret)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	reply, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	return answer{status: reply.StatusCode, header: reply.Header, body: data, err: err}
}

// item is one item of a batch job. events is the number of events that it asks for.
type item struct {
	id   string
	path string
}

// submit submits a batch job.
func (w *world) submit(i *instance, prefix, job string, items ...item) answer {
	list := []map[string]any{}
	for _, it := range items {
		list = append(list, map[string]any{
			"id": it.id, "path": it.path, "headers": map[string]string{"Model": "m", "Token-Count": "250,232", "Prompt-Prefix": "9c2e41:100,5d07b8" + it.id[:4] + ":150"},
			"body": []byte("body of " + it.id), "tokens": 482,
		})
	}
	body, err := json.Marshal(map[string]any{"items": list})
	w.must(err)
	a := w.call(i, http.MethodPost, prefix+job[:6], key, map[string]string{"Request-Id": job, "Content-Type": "application/json"}, body, 4*time.Second)
	w.note("client sends batch job %s (%d items) to %s: %s", job, len(items), i.name, a)
	return a
}

// result is one result of a batch job.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// read reads the results of a batch job from a position on.
func (w *world) read(i *instance, job string, after int) (answer, page) {
	a := w.call(i, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", job, after), key, nil, nil, 4*time.Second)
	var p page
	if a.status == http.StatusOK {
		w.must(json.Unmarshal(a.body, &p))
	}
	return a, p
}

// countListed counts the listed items of batch jobs.
func (w *world) countListed(jobs []string) (count int) {
	for n, job := range jobs {
		a, p := w.read(w.instances[n%len(w.instances)], job, 0)
		if a.status != http.StatusOK {
			w.must(fmt.Errorf("batch job %s: %s", job, a))
		}
		count += len(p.Results)
	}
	return count
}

// await reads a batch job until all of its items are listed, or the time is up.
func (w *world) await(i *instance, job string, limit time.Duration) (page, bool) {
	until := time.Now().Add(limit)
	for {
		a, p := w.read(i, job, 0)
		if a.status == http.StatusOK && len(p.Results) == p.Total && p.Total > 0 {
			w.note("client reads batch job %s at %s: %s, all %d results", job, i.name, a, p.Total)
			return p, true
		}
		if time.Now().After(until) {
			w.note("client reads batch job %s at %s: %s, %d of %d results", job, i.name, a, len(p.Results), p.Total)
			return p, false
		}
		sleep(400 * time.Millisecond)
	}
}
