package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots     = 8
	heartbeat = 1200 * time.Millisecond
)

// received is one request that a runner ran.
type received struct {
	runner, id, method, uri, tenant string
	bodyBytes                       int
}

// runner is a stand-in for a runner, as PROTOCOL.md describes one.
type runner struct {
	lab               *lab
	id, address, zone string
	server            *http.Server
	born              int64
	stopBeats         chan struct{}
	// events and gap are those of a stream; text returns the data of an event.
	events int
	gap    time.Duration
	text   func(id string, n int) []byte
	// breaksOn is a part of prompts under which an answer is broken off after its first event.
	breaksOn string

	mu      sync.Mutex
	running map[string]int
	seq     int
	ran     []received
	// lastEnd is when the last run ended.
	lastEnd time.Time
}

// startRunner starts a runner and registers it in the store.
func (l *lab) startRunner(zone string, change func(*runner)) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		lab: l, id: fmt.Sprintf("i-%08x", 0x51ca0000+len(l.runners)), address: listener.Addr().String(), zone: zone,
		born: time.Now().UnixMilli(), stopBeats: make(chan struct{}), events: 20, gap: 20 * time.Millisecond, running: map[string]int{},
		text: func(id string, n int) []byte { return []byte(fmt.Sprintf("%s-%d", id, n)) },
	}
	if change != nil {
		change(r)
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	l.runners = append(l.runners, r)
	r.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				r.beat()
			case <-r.stopBeats:
				return
			}
		}
	}()
	return r, nil
}

func (r *runner) close() {
	close(r.stopBeats)
	_ = r.server.Close()
}

// beat writes the runner's entry.
func (r *runner) beat() {
	r.mu.Lock()
	r.seq++
	seq := r.seq
	r.mu.Unlock()
	value, _ := json.Marshal(map[string]any{
		"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0,
		"stage": "dual", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": seq, "born": r.born,
	})
	r.lab.store.Put("keyed.servers", r.id, value)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/report":
		r.report(w)
	case request.URL.Path == "/health":
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
	case request.URL.Path == "/kv-events":
		w.WriteHeader(http.StatusTooManyRequests)
	case request.URL.Path == "/kv-move":
		w.WriteHeader(http.StatusNotFound)
	default:
		r.run(w, request)
	}
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	rows := [][]any{}
	for id, events := range r.running {
		rows = append(rows, []any{id, 100 + events, events, 0})
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "dual", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0,
		"waiting": 0, "running": len(rows), "kv_used": 1000 * len(rows), "kv_total": 134354, "handles": 0, "state": "ready", "runs": rows, "born": r.born,
	})
}

func (r *runner) run(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := request.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	full := len(r.running) >= slots
	if !full {
		r.running[id] = 0
		r.ran = append(r.ran, received{r.id, id, request.Method, request.RequestURI, request.Header.Get("Tenant"), len(body)})
	}
	load := fmt.Sprintf("%d,0,%d", len(r.running), slots)
	r.mu.Unlock()
	w.Header().Set("Server-Load", load)
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.running, id)
		r.lastEnd = time.Now()
	}()
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Weight-Versions", "1")
	if !hasPrefix(request.RequestURI, jobPrefix) {
		_, _ = w.Write([]byte("ran " + id))
		return
	}
	r.stream(w, request, id)
}

func hasPrefix(s, prefix string) bool { return len(s) >= len(prefix) && s[:len(prefix)] == prefix }

// stream sends the events of a run, from Last-Event-Id on.
func (r *runner) stream(w http.ResponseWriter, request *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	out := bufio.NewWriter(w)
	for n := from; n < r.events; n++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(r.gap):
		}
		fmt.Fprintf(out, "id: %d\ndata: ", n)
		_, _ = out.Write(r.text(id, n))
		_, _ = out.WriteString("\n\n")
		if out.Flush() != nil {
			return
		}
		w.(http.Flusher).Flush()
		if r.breaksOn != "" && strings.Contains(request.Header.Get("Prompt-Prefix"), r.breaksOn) {
			panic(http.ErrAbortHandler)
		}
		r.mu.Lock()
		r.running[id] = n + 1
		r.mu.Unlock()
	}
}

// ranAll returns all requests that runners ran.
func (l *lab) ranAll() (out []received) {
	for _, r := range l.runners {
		r.mu.Lock()
		out = append(out, r.ran...)
		r.mu.Unlock()
	}
	return out
}

// runnersIdleFor returns for how long no runner has run anything.
func (l *lab) runnersIdleFor() time.Duration {
	idle := time.Since(l.started)
	for _, r := range l.runners {
		r.mu.Lock()
		if len(r.running) > 0 {
			idle = 0
		}
		idle = min(idle, time.Since(r.lastEnd))
		r.mu.Unlock()
	}
	return idle
}
