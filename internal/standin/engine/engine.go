// Package engine is a fake, for tests, of a target on the users' platform: a
// model server with slots and a queue that streams numbered events, over the wire
// format of the platform. It records the requests that it ran, so that a test can
// check what the callers cannot observe.
package engine

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Options are the settings of an Engine.
type Options struct {
	ID string
	// Version, if set, is the version of the engine's software. Each event names it.
	Version string
	// Born, if set, is when the engine's process started, in Unix milliseconds. Its report tells it.
	Born int64
	// Slots is the number of requests that run concurrently, QueueSize the
	// number of requests that may wait. EventInterval is the time before
	// each event.
	Slots, QueueSize int
	EventInterval    time.Duration
	// Pace, if set, returns how long work takes now, in percent of the usual time. It is the
	// fourth figure of the load report, and stretches EventInterval.
	Pace func() int
	// FaultFor, if set, returns the fault for the response to a request.
	FaultFor func(id string) Fault
	// Crashes, if set, reports whether the engine crashes when it begins to write the answer to
	// a request with such a prompt. OnCrash then ends the engine's process.
	Crashes func(prompt string) bool
	// CrashesAt, if set, reports whether the engine crashes instead of writing event n of a run.
	CrashesAt func(run *Run, n int) bool
	OnCrash   func()
}

// Fault describes the faults injected into one response.
type Fault struct {
	// Status is the HTTP status that is sent after the first event interval,
	// in place of the events. 0 means no fault.
	Status int
	// BreakAfter, if above 0, closes the connection after this number of
	// events, in the middle of the next one. LoseAnswer closes the connection
	// before the response.
	BreakAfter int
	LoseAnswer bool
	// NoEvent closes the connection after the head.
	NoEvent bool
	// HangAfter, if above 0, sends nothing more after this number of events.
	HangAfter int
	// InvalidUTF8At, if above 0, is the number of an event whose data is not valid UTF-8.
	InvalidUTF8At int
	// Crossed sends the response to another request first.
	Crossed bool
	// EndlessHead sends header lines, EndlessEvent lines of one event, and EndlessEvents numbered
	// events, until the connection is closed.
	EndlessHead, EndlessEvent, EndlessEvents bool
	// EndlessError sends an error with a body that goes on until the connection is closed.
	EndlessError bool
	// Unframed sends a body without a length, which ends when the connection closes.
	Unframed bool
}

// Run records one request that the engine ran.
type Run struct {
	ID           string
	Organisation string
	// Path is the path with the query string. Body is the request body, up to
	// 64 KiB. HasAuthorization reports whether the request had an
	// Authorization header.
	Path             string
	Body             string
	HasAuthorization bool
	// ResumedAfter is the number of the event that the request was resumed
	// after. It is -1 for a request that began with the first event.
	ResumedAfter int
	// Resumes is the id of the request that began the stream, if the request names it.
	Resumes   string
	StartedAt time.Time
	// Prompt lists the parts of the prompt as the request names them.
	Prompt string
	// EndedAt is zero while the request runs. Complete reports that all events
	// were sent.
	EndedAt  time.Time
	Complete bool
	// MovedTo is the address of the target that the cached state was moved to
	// when the run was ended by a move. Otherwise it is empty.
	MovedTo string
	// events is the number of events made.
	events int
	end    context.CancelFunc
}

// Engine simulates one model server. It is an http.Handler.
type Engine struct {
	opts Options

	mu      sync.Mutex
	running int
	waiting int
	free    chan struct{}
	history []*Run
	// handles maps the handle of each moved run to whether its memory is still
	// held.
	handles map[string]bool
	// warmAt is when the warm-up ends.
	warmAt time.Time
}

// New returns an engine that is idle.
func New(opts Options) *Engine {
	e := &Engine{opts: opts, free: make(chan struct{}, opts.Slots), handles: map[string]bool{}}
	for range opts.Slots {
		e.free <- struct{}{}
	}
	return e
}

// Runs returns the requests that the engine ran or is running, oldest first.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.history))
	for i, r := range e.history {
		out[i] = *r
	}
	return out
}

// Load returns the numbers of running and of waiting requests.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

// EventData returns the data of event n of an engine without a version. It depends only on
// the id of the request that began the stream and n.
func EventData(id string, n int) string { return fmt.Sprintf("%s#%d", id, n) }

// VersionedEventData returns the data of event n of an engine with a version.
func VersionedEventData(id string, n int, version string) string {
	return EventData(id, n) + "@" + version
}

// eventData returns the data of event n of a run.
func (e *Engine) eventData(run *Run, n int) string {
	id := run.ID
	if run.Resumes != "" {
		id = run.Resumes
	}
	if e.opts.Version == "" {
		return EventData(id, n)
	}
	return VersionedEventData(id, n, e.opts.Version)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	if e.serveControl(w, r) {
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

// admit waits for a slot. It returns false if the queue is full or the request is
// cancelled.
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
	report := fmt.Sprintf("%d,%d,%d", running, waiting, e.opts.Slots)
	if e.opts.Pace != nil {
		report += fmt.Sprintf(",%d", e.opts.Pace())
	}
	return report
}

// eventInterval returns the time before the next event.
func (e *Engine) eventInterval() time.Duration {
	if e.opts.Pace == nil {
		return e.opts.EventInterval
	}
	return e.opts.EventInterval * time.Duration(e.opts.Pace()) / 100
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request, id, body string) {
	entry := &Run{
		ID: id, Organisation: r.Header.Get("Tenant"), Path: r.RequestURI, Body: body,
		HasAuthorization: r.Header.Get("Authorization") != "", ResumedAfter: -1, Resumes: r.Header.Get("Resumes"), StartedAt: time.Now(),
		Prompt: r.Header.Get("Prompt-Prefix"),
	}
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		entry.ResumedAfter = after
	}
	ctx, end := context.WithCancel(r.Context())
	defer end()
	r, entry.end = r.WithContext(ctx), end
	e.mu.Lock()
	e.running++
	e.history = append(e.history, entry)
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

// stream sends the events. EventCount gives their number.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, entry *Run, fault Fault) {
	if !e.waitInterval(r) {
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
	if fault.EndlessHead || fault.EndlessEvent || fault.EndlessEvents || fault.EndlessError {
		e.writeEndless(w, entry, fault)
		return
	}
	out := e.writeHead(w, entry, fault)
	if e.opts.Crashes != nil && e.opts.Crashes(entry.Prompt) {
		out.flush()
		e.opts.OnCrash()
		panic(http.ErrAbortHandler)
	}
	if fault.NoEvent {
		out.flush()
		out.cut()
		panic(http.ErrAbortHandler)
	}
	events := EventCount(r.URL.Path)
	for n := entry.ResumedAfter + 1; n < events; n++ {
		if e.opts.CrashesAt != nil && e.opts.CrashesAt(entry, n) {
			out.flush()
			e.opts.OnCrash()
			panic(http.ErrAbortHandler)
		}
		sent := n - entry.ResumedAfter - 1
		if fault.BreakAfter > 0 && sent == fault.BreakAfter {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: %s", n, e.eventData(entry, n)[:3])
			out.flush()
			out.cut()
			panic(http.ErrAbortHandler)
		}
		if fault.HangAfter > 0 && sent == fault.HangAfter {
			<-r.Context().Done()
			return
		}
		data := e.eventData(entry, n)
		if fault.InvalidUTF8At > 0 && n == fault.InvalidUTF8At {
			data = "wr\xffng"
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, data)
		out.flush()
		e.mu.Lock()
		entry.events++
		e.mu.Unlock()
		if n+1 < events && !e.waitInterval(r) {
			return
		}
	}
	out.end()
	e.mu.Lock()
	entry.Complete = true
	e.mu.Unlock()
}

// waitInterval waits for EventInterval. It returns false if the request is
// cancelled first.
func (e *Engine) waitInterval(r *http.Request) bool {
	timer := time.NewTimer(e.eventInterval())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// EventCount returns the number of events that a path asks for: its last segment,
// or 10 if that is not a number.
func EventCount(path string) int {
	const defaultEvents = 10
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			if n, err := strconv.Atoi(path[i+1:]); err == nil {
				return n
			}
			break
		}
	}
	return defaultEvents
}
