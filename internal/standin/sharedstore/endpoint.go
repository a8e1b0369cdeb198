package sharedstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault describes the faults injected at an Endpoint.
type Fault struct {
	// Status is the HTTP status that answers every call. 0 means no fault.
	Status int
	// RejectedCalls are the kinds of calls, such as "log-read", that are answered with
	// status 503.
	RejectedCalls []string
	// RejectedTopics are the topics whose calls are answered with status 503.
	RejectedTopics []string
	// Silent leaves every call unanswered until the fault is replaced or the
	// caller gives up. Reset closes the connection of every call.
	Silent, Reset bool
	// Delay is added to each call before it is processed.
	Delay time.Duration
	// LoseAppendReplies is the number of further appends that take effect
	// but get no reply. AppendDelay is the time until such an append takes
	// effect.
	LoseAppendReplies int
	AppendDelay       time.Duration
	// NoReadWakeup makes a waiting read return only when its wait time is
	// over, also if records are appended earlier.
	NoReadWakeup bool
}

// Endpoint is one caller's access to a Store, as an http.Handler.
type Endpoint struct {
	store *Store

	mu    sync.Mutex
	fault Fault
	// changed is closed when the fault is replaced, which ends silent calls.
	changed chan struct{}
	reads   map[ReadSource]ReadCount
}

// NewEndpoint returns a new Endpoint of the store, without faults.
func (s *Store) NewEndpoint() *Endpoint {
	return &Endpoint{store: s, changed: make(chan struct{}), reads: map[ReadSource]ReadCount{}}
}

// Set replaces the injected faults.
func (e *Endpoint) Set(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Endpoint) currentFault() (Fault, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault, e.changed
}

// takeLostReply reports whether the reply to this append is to be lost, counts it
// against LoseAppendReplies, and returns the delay of the append.
func (e *Endpoint) takeLostReply() (lost bool, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.LoseAppendReplies == 0 {
		return false, 0
	}
	e.fault.LoseAppendReplies--
	return true, e.fault.AppendDelay
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault, changed := e.currentFault()
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
	topic, _ := topicAndPartition(r)
	if slices.Contains(fault.RejectedCalls, kind) || slices.Contains(fault.RejectedTopics, topic) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.store.mu.Lock()
	e.store.calls[kind]++
	e.store.mu.Unlock()
	e.serve(w, r, kind, body, fault)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, kind string, body []byte, fault Fault) {
	switch kind {
	case "log-append":
		if lost, delay := e.takeLostReply(); lost {
			time.AfterFunc(delay, func() { e.store.appendCall(r, body) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, reply := e.store.appendCall(r, body)
		writeJSON(w, status, reply)
	case "log-read":
		e.readCall(w, r, fault.NoReadWakeup)
	case "log-newest":
		e.newestCall(w, r)
	case "log-join", "log-leave":
		status, reply := e.store.membershipCall(kind, body)
		writeJSON(w, status, reply)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if reply != nil {
		_ = json.NewEncoder(w).Encode(reply)
	}
}

// topicAndPartition returns the topic and the partition number of a call.
func topicAndPartition(r *http.Request) (topic string, number int) {
	number, _ = strconv.Atoi(r.URL.Query().Get("part"))
	return r.URL.Query().Get("topic"), number
}

func (s *Store) appendCall(r *http.Request, body []byte) (status int, reply any) {
	topic, number := topicAndPartition(r)
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

func (e *Endpoint) readCall(w http.ResponseWriter, r *http.Request, noWakeup bool) {
	s := e.store
	topic, number := topicAndPartition(r)
	source := ReadSource{Kind: "log-read", Topic: topic, Number: number}
	if e.refuseRead(w, source) {
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	maxKB := 1024
	if n, err := strconv.Atoi(r.URL.Query().Get("max_kb")); err == nil {
		maxKB = n
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for timedOut := wait == 0; ; {
		s.mu.Lock()
		p := s.partition(topic, number)
		first, end, changed := p.first, p.end(), p.changed
		var records [][]byte
		if from >= first && from < end {
			records = p.records[from-first:]
		}
		s.mu.Unlock()
		switch {
		case noWakeup && !timedOut:
			changed = nil
		case from < first:
			writeJSON(w, http.StatusGone, map[string]int64{"first": first})
			return
		case len(records) > 0 || timedOut:
			e.sendRead(w, r, source, joinRecords(end, first, limitBytes(records, maxKB<<10)))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// limitBytes returns the leading records whose total size is at most size bytes,
// but at least one record.
func limitBytes(records [][]byte, size int) [][]byte {
	for i, record := range records {
		size -= len(record)
		if size < 0 && i > 0 {
			return records[:i]
		}
	}
	return records
}

func (e *Endpoint) newestCall(w http.ResponseWriter, r *http.Request) {
	topic, number := topicAndPartition(r)
	source := ReadSource{Kind: "log-newest", Topic: topic, Number: number}
	if e.refuseRead(w, source) {
		return
	}
	data, err := e.store.newestPage(topic, number, r.URL.Query().Get("after"))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e.sendRead(w, r, source, data)
}

// newestPage returns the encoded page of the newest records after a key.
func (s *Store) newestPage(topic string, number int, after string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, number)
	items, more := p.newestAfter(after)
	if items == nil {
		items = []newest{}
	}
	return json.Marshal(map[string]any{"items": items, "more": more, "end": p.end()})
}

func (s *Store) membershipCall(kind string, body []byte) (status int, reply any) {
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
	generation, owned := s.join(call.Group, call.Member, time.Duration(atLeast(call.TTLMillis, 1000))*time.Millisecond)
	rows := [][]any{}
	for _, number := range owned {
		rows = append(rows, []any{call.Topics[0], number, 0})
	}
	return http.StatusOK, map[string]any{"generation": generation, "ttl_ms": call.TTLMillis, "parts": rows}
}
