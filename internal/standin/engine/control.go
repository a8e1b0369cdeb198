package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const handlePath = "/kv-handle/"

// serveControl serves the calls that concern the engine itself: report, health and
// moves. It reports whether the request was one of them.
func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		e.report(w)
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		e.health(w)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-move":
		e.moveRun(w, r)
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, handlePath):
		e.releaseHandle(w, strings.TrimPrefix(r.URL.Path, handlePath))
	default:
		return false
	}
	return true
}

// health reports that the engine is up, and the rest of its warm-up.
func (e *Engine) health(w http.ResponseWriter) {
	w.Header().Set("Instance-Id", e.opts.ID)
	if left := time.Until(e.WarmAt()); left > 0 {
		w.Header().Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	w.WriteHeader(http.StatusOK)
}

// Restart begins a new incarnation of the engine that warms up until warmAt.
// Requests that are running are not ended.
func (e *Engine) Restart(warmAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmAt = warmAt
}

// WarmAt returns when the warm-up ends.
func (e *Engine) WarmAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.warmAt
}

// report lists the running requests.
func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	runs := [][]any{}
	for _, run := range e.history {
		if run.EndedAt.IsZero() {
			runs = append(runs, []any{run.ID, 100, run.events, 5})
		}
	}
	out := map[string]any{"running": e.running, "waiting": e.waiting, "runs": runs}
	e.mu.Unlock()
	if e.opts.Born != 0 {
		out["born"] = e.opts.Born
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// moveRun ends a run and keeps its memory until the handle is released.
func (e *Engine) moveRun(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID, Target string
		Last       bool
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || !call.Last || call.Target == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	var ended *Run
	for _, run := range e.history {
		if run.ID == call.ID && run.EndedAt.IsZero() {
			ended = run
		}
	}
	handle := fmt.Sprint("h-", len(e.handles))
	if ended != nil {
		ended.MovedTo = call.Target
		e.handles[handle] = true
	}
	e.mu.Unlock()
	if ended == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	ended.end()
	_, _ = fmt.Fprintf(w, `{"handle":%q,"created":1}`, handle)
}

func (e *Engine) releaseHandle(w http.ResponseWriter, handle string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.handles[handle] {
		w.WriteHeader(http.StatusNotFound)
	}
	e.handles[handle] = false
}

// UnreleasedHandles returns the number of moved runs whose memory is still held.
func (e *Engine) UnreleasedHandles() (count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, held := range e.handles {
		if held {
			count++
		}
	}
	return count
}
