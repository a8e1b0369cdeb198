// Package engine stands in for a target of the users' platform in tests: a model
// runner with slots and a queue that streams numbered events, on the wire form of
// the platform. It keeps a ledger of what it ran, so that a test can check what
// no caller sees.
package engine

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Options make an Engine.
type Options struct {
	ID string
	// Slots run at once, QueueSize wait. Step is the time of one event.
	Slots, QueueSize int
	EventInterval         time.Duration
	// FaultFor, if set, says what is wrong with the answer to a request.
	FaultFor func(id string) Fault
}

// Fault is what is wrong with one answer.
type Fault struct {
	// Status answers with a failure after the run.
	Status int
	// BreakAfter ends the connection after so many events, in the middle of the
	// next one, if it is above 0. LoseAnswer ends it before the answer.
	BreakAfter int
	LoseAnswer bool
	// HangAfter stops sending after so many events, if it is above 0.
	HangAfter int
	// Crossed sends the answer to another request first.
	Crossed bool
	// Unframed sends the answer without a length, up to the connection's end.
	Unframed bool
}

// Run is one entry of the ledger.
type Run struct {
	ID           string
	Organisation string
	// Path is the path with its query, Body what came, KeyShown whether the
	// caller's key came along.
	Path     string
	Body     string
	HasAuthorization bool
	// ResumedAfter is the event after which it was resumed, -1 from the start.
	ResumedAfter int
	StartedAt time.Time
	// EndedAt is zero while it runs. Whole says that all events were sent.
	EndedAt time.Time
	Complete bool
	// MovedTo is the address that took its memory when it was ended, empty if it was
	// not.
	MovedTo string
	end     context.CancelFunc
}

// Engine is an http.Handler.
type Engine struct {
	opts Options

	mu      sync.Mutex
	running int
	waiting int
	free    chan struct{}
	ledger  []*Run
	// kept is memory of runs that were moved away and not freed yet, by handle.
	kept map[string]bool
	// warmAt is when it has warmed up.
	warmAt time.Time
}

// New returns an engine.
func New(opts Options) *Engine {
	e := &Engine{opts: opts, free: make(chan struct{}, opts.Slots), kept: map[string]bool{}}
	for range opts.Slots {
		e.free <- struct{}{}
	}
	return e
}

// Runs gives the ledger.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.ledger))
	for i, r := range e.ledger {
		out[i] = *r
	}
	return out
}

// Load gives how many requests run and wait.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

// EventData gives the data of an event, which follows from the request's id alone.
func EventData(id string, n int) string { return fmt.Sprintf("%s#%d", id, n) }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	if e.inspect(w, r) {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", e.opts.ID)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.opts.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body := make([]byte, 1<<16)
	n := 0
	for {
		read, err := r.Body.Read(body[n:])
		n += read
		if err != nil || n == len(body) {
			break
		}
	}
	if !e.admit(r) {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Server-Load", e.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { e.free <- struct{}{} }()
	e.run(w, r, id, string(body[:n]))
}

// admit waits for a slot, unless the queue is full or the caller leaves.
func (e *Engine) admit(r *http.Request) bool {
	e.mu.Lock()
	if len(e.free) == 0 && e.waiting >= e.opts.QueueSize {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	admitted := false
	select {
	case <-e.free:
		admitted = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	return admitted
}

func (e *Engine) load() string {
	running, waiting := e.Load()
	return fmt.Sprintf("%d,%d,%d", running, waiting, e.opts.Slots)
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request, id, body string) {
	entry := &Run{
		ID: id, Organisation: r.Header.Get("Tenant"), Path: r.RequestURI, Body: body,
		HasAuthorization: r.Header.Get("Authorization") != "", ResumedAfter: -1, StartedAt: time.Now(),
	}
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		entry.ResumedAfter = after
	}
	ctx, end := context.WithCancel(r.Context())
	defer end()
	r, entry.end = r.WithContext(ctx), end
	e.mu.Lock()
	e.running++
	e.ledger = append(e.ledger, entry)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		entry.EndedAt = time.Now()
	}()
	var fault Fault
	if e.opts.FaultFor != nil {
		fault = e.opts.FaultFor(id)
	}
	e.stream(w, r, entry, fault)
}

// stream sends the events. A path that ends in a number asks for so many.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, entry *Run, fault Fault) {
	if !e.step(r) {
		return
	}
	switch {
	case fault.LoseAnswer:
		panic(http.ErrAbortHandler)
	case fault.Status != 0:
		w.Header().Set("Response-Seal", "seal-"+entry.ID)
		w.WriteHeader(fault.Status)
		return
	}
	out := e.begin(w, entry, fault)
	events := EventCount(r.URL.Path)
	for n := entry.ResumedAfter + 1; n < events; n++ {
		sent := n - entry.ResumedAfter - 1
		if fault.BreakAfter > 0 && sent == fault.BreakAfter {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: %s", n, EventData(entry.ID, n)[:3])
			out.flush()
			panic(http.ErrAbortHandler)
		}
		if fault.HangAfter > 0 && sent == fault.HangAfter {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, EventData(entry.ID, n))
		out.flush()
		if n+1 < events && !e.step(r) {
			return
		}
	}
	out.end()
	e.mu.Lock()
	entry.Complete = true
	e.mu.Unlock()
}

// step takes the time of one event, unless the caller leaves.
func (e *Engine) step(r *http.Request) bool {
	timer := time.NewTimer(e.opts.EventInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// EventCount is the number of events that a path asks for: its last segment.
func EventCount(path string) int {
	const usual = 10
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			if n, err := strconv.Atoi(path[i+1:]); err == nil {
				return n
			}
			break
		}
	}
	return usual
}
