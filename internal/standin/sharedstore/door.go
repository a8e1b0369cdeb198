package sharedstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what is wrong at a door.
type Fault struct {
	// Status answers every call with this status, if it is not 0.
	Status int
	// Silent answers no call, Reset closes its connection.
	Silent, Reset bool
	// Delay is the time that each answer takes.
	Delay time.Duration
	// LoseAppendReplies does what is asked and does not answer, for the next so many
	// writes. LateBy does it so much later.
	LoseAppendReplies int
	AppendDelay     time.Duration
	// NoReadWakeup lets reads that wait hear nothing.
	NoReadWakeup bool
}

// Endpoint is one caller's way to the store. It is an http.Handler.
type Endpoint struct {
	store *Store

	mu    sync.Mutex
	fault Fault
	// changed is closed when the fault changes, so that calls that hang can end.
	changed chan struct{}
}

// NewEndpoint returns a new way to the store.
func (s *Store) NewEndpoint() *Endpoint { return &Endpoint{store: s, changed: make(chan struct{})} }

// Set replaces what is wrong.
func (d *Endpoint) Set(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Endpoint) state() (Fault, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault, d.changed
}

// loses says whether the answer to this write is lost.
func (d *Endpoint) loses() (lost bool, by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault.LoseAppendReplies == 0 {
		return false, 0
	}
	d.fault.LoseAppendReplies--
	return true, d.fault.AppendDelay
}

// ServeHTTP implements http.Handler.
func (d *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault, changed := d.state()
	if fault.Delay > 0 {
		pause(r.Context(), fault.Delay)
	}
	switch {
	case fault.Status != 0:
		w.WriteHeader(fault.Status)
		return
	case fault.Reset:
		panic(http.ErrAbortHandler)
	case fault.Silent:
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	kind := strings.TrimPrefix(r.URL.Path, "/")
	d.store.mu.Lock()
	d.store.calls[kind]++
	d.store.mu.Unlock()
	d.serve(w, r, kind, body, fault)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (d *Endpoint) serve(w http.ResponseWriter, r *http.Request, kind string, body []byte, fault Fault) {
	switch kind {
	case "log-append":
		if lost, by := d.loses(); lost {
			time.AfterFunc(by, func() { d.store.appendCall(r, body) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, reply := d.store.appendCall(r, body)
		answer(w, status, reply)
	case "log-read":
		d.store.readCall(w, r, fault.NoReadWakeup)
	case "log-newest":
		status, reply := d.store.newestCall(r)
		answer(w, status, reply)
	case "log-join", "log-leave":
		status, reply := d.store.memberCall(kind, body)
		answer(w, status, reply)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if reply != nil {
		_ = json.NewEncoder(w).Encode(reply)
	}
}

// named gives the topic and partition of a call.
func named(r *http.Request) (topic string, number int) {
	number, _ = strconv.Atoi(r.URL.Query().Get("part"))
	return r.URL.Query().Get("topic"), number
}

func (s *Store) appendCall(r *http.Request, body []byte) (status int, reply any) {
	topic, number := named(r)
	if topic == "keyed.op" || topic == "keyed.servers" {
		return http.StatusForbidden, nil
	}
	records, ok := splitRecords(body)
	if !ok {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, number)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end": p.end()}
	}
	offset := p.end()
	p.append(records)
	return http.StatusOK, map[string]int64{"offset": offset, "end": p.end()}
}

func (s *Store) readCall(w http.ResponseWriter, r *http.Request, deaf bool) {
	topic, number := named(r)
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	most := 1024
	if n, err := strconv.Atoi(r.URL.Query().Get("max_kb")); err == nil {
		most = n
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		p := s.partition(topic, number)
		first, end, changed := p.first, p.end(), p.changed
		var records [][]byte
		if from >= first && from < end {
			records = p.records[from-first:]
		}
		s.mu.Unlock()
		switch {
		case deaf && !over:
			changed = nil
		case from < first:
			answer(w, http.StatusGone, map[string]int64{"first": first})
			return
		case len(records) > 0 || over:
			_, _ = w.Write(joinRecords(end, first, atMost(records, most<<10)))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// atMost gives the first records up to a size, one at least.
func atMost(records [][]byte, size int) [][]byte {
	for i, record := range records {
		size -= len(record)
		if size < 0 && i > 0 {
			return records[:i]
		}
	}
	return records
}

func (s *Store) newestCall(r *http.Request) (status int, reply any) {
	topic, number := named(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, number)
	items, more := p.sorted(r.URL.Query().Get("after"))
	if items == nil {
		items = []newest{}
	}
	return http.StatusOK, map[string]any{"items": items, "more": more, "end": p.end()}
}

func (s *Store) memberCall(kind string, body []byte) (status int, reply any) {
	var call struct {
		Group, Member string
		Topics        []string
		TTLMillis     int64 `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &call) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == "log-leave" {
		if g := s.groups[call.Group]; g != nil {
			g.remove(call.Member)
		}
		return http.StatusOK, map[string]any{}
	}
	generation, held := s.join(call.Group, call.Member, time.Duration(atLeast(call.TTLMillis, 1000))*time.Millisecond)
	rows := [][]any{}
	for _, number := range held {
		rows = append(rows, []any{call.Topics[0], number, 0})
	}
	return http.StatusOK, map[string]any{"generation": generation, "ttl_ms": call.TTLMillis, "parts": rows}
}
