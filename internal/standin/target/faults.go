package target

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the switches that POST /faults sets. The zero value is none.
type Faults struct {
	// Refuse answers 503 and says that the call did not begin.
	Refuse bool `json:"refuse,omitempty"`
	// Fail answers 500 without running the call.
	Fail bool `json:"fail,omitempty"`
	// DelayMS waits before each call.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseAnswer runs the call and closes the connection without an answer.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// CutAfter closes the connection of a stream that comes to this token.
	CutAfter int `json:"cut_after,omitempty"`
	// EndAfter ends a stream after so many tokens, tidily but without its end
	// mark.
	EndAfter int `json:"end_after,omitempty"`
	// HoldAfter stops a stream after so many tokens until the switches are
	// set again.
	HoldAfter int `json:"hold_after,omitempty"`
	// IgnoreResume starts every stream at its beginning.
	IgnoreResume bool `json:"ignore_resume,omitempty"`
	// Cross swaps the answers of two calls that run at the same time.
	Cross bool `json:"cross,omitempty"`
	// CrossWaitMS is how long a call waits for another to swap answers with;
	// after it the answer echoes an id that nobody asked for. Default 50.
	CrossWaitMS int `json:"cross_wait_ms,omitempty"`
	// Freeze accepts connections and answers nothing until it is switched
	// off, as a paused process does.
	Freeze bool `json:"freeze,omitempty"`
	// Times limits the faults to so many calls; 0 means no limit.
	Times int `json:"times,omitempty"`
}

func (t *Target) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces the switches.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
	t.faults = faults
}

// takeFaults gives the faults of one call and counts it against Times.
func (t *Target) takeFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	faults := t.faults
	if t.faults.Times > 0 {
		t.faults.Times--
		if t.faults.Times == 0 {
			t.faults = Faults{}
		}
	}
	return faults
}

// frozen holds a request back while the target is frozen.
func (t *Target) frozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for {
			t.mu.Lock()
			frozen, changed := t.faults.Freeze, t.changed
			t.mu.Unlock()
			if !frozen {
				next(w, r)
				return
			}
			if !waitFor(r, changed) {
				return
			}
		}
	}
}

// hold stops a stream until the switches are set again.
func (t *Target) hold(r *http.Request) bool {
	t.mu.Lock()
	changed := t.changed
	t.mu.Unlock()
	return waitFor(r, changed)
}

func waitFor(r *http.Request, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-r.Context().Done():
		return false
	}
}

// pause waits on the request's own time.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
