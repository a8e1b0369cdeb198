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

// inspect answers calls on the engine itself. It says whether this was one.
func (e *Engine) inspect(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		e.report(w)
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		e.health(w)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-move":
		e.move(w, r)
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, handlePath):
		e.drop(w, strings.TrimPrefix(r.URL.Path, handlePath))
	default:
		return false
	}
	return true
}

// health tells how the engine is.
func (e *Engine) health(w http.ResponseWriter) {
	w.Header().Set("Instance-Id", e.opts.ID)
	if left := time.Until(e.WarmAt()); left > 0 {
		w.Header().Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	w.WriteHeader(http.StatusOK)
}

// Restart begins another life that warms up until a time. What ran before is not ended here.
func (e *Engine) Restart(warmAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmAt = warmAt
}

// WarmAt is when the engine has warmed up.
func (e *Engine) WarmAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.warmAt
}

// report tells what runs.
func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	runs := [][]any{}
	for _, run := range e.ledger {
		if run.EndedAt.IsZero() {
			runs = append(runs, []any{run.ID, 100, 1, 5})
		}
	}
	out := map[string]any{"running": e.running, "waiting": e.waiting, "runs": runs}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// move ends a run and keeps its memory until it is dropped.
func (e *Engine) move(w http.ResponseWriter, r *http.Request) {
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
	for _, run := range e.ledger {
		if run.ID == call.ID && run.EndedAt.IsZero() {
			ended = run
		}
	}
	handle := fmt.Sprint("h-", len(e.kept))
	if ended != nil {
		ended.MovedTo = call.Target
		e.kept[handle] = true
	}
	e.mu.Unlock()
	if ended == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	ended.end()
	_, _ = fmt.Fprintf(w, `{"handle":%q,"created":1}`, handle)
}

func (e *Engine) drop(w http.ResponseWriter, handle string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.kept[handle] {
		w.WriteHeader(http.StatusNotFound)
	}
	e.kept[handle] = false
}

// UnreleasedHandles counts the memory of ended runs that nobody freed.
func (e *Engine) UnreleasedHandles() (count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, kept := range e.kept {
		if kept {
			count++
		}
	}
	return count
}
