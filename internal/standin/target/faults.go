package target

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the injected faults, set by POST /faults. The zero value injects none.
type Faults struct {
	// Refuse rejects calls with 503 and the header HeaderNotRun.
	Refuse bool `json:"refuse,omitempty"`
	// Fail answers 500 without running the call.
	Fail bool `json:"fail,omitempty"`
	// DelayMS is the delay of each call before it runs, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseAnswer runs the call and closes the connection without an answer.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// CutAfter closes the connection of a stream before the token with this
	// index. Any value above 0 cuts an answer that is not streamed short of
	// its Content-Length.
	CutAfter int `json:"cut_after,omitempty"`
	// EndAfter ends the token events of a stream after this number of tokens.
	// The HTTP response ends normally, but without the end marker.
	EndAfter int `json:"end_after,omitempty"`
	// HoldAfter stalls a stream after this number of tokens until the faults
	// are replaced.
	HoldAfter int `json:"hold_after,omitempty"`
	// IgnoreResume starts every stream at its first token, despite HeaderResumeAt.
	IgnoreResume bool `json:"ignore_resume,omitempty"`
	// Cross swaps the answers of two concurrent calls.
	Cross bool `json:"cross,omitempty"`
	// CrossWaitMS is how long a call waits for a second one to swap answers
	// with, in milliseconds. After that, its own answer is sent with a call id
	// that no caller used. Default 50.
	CrossWaitMS int `json:"cross_wait_ms,omitempty"`
	// Freeze accepts connections and answers nothing until the faults are
	// replaced, like a process that is paused.
	Freeze bool `json:"freeze,omitempty"`
	// Times is the number of calls that the faults apply to. 0 means no limit.
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

// SetFaults replaces the injected faults and releases the calls that they stall.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
	t.faults = faults
}

// takeFaults returns the faults for one call and counts the call against Times.
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

// waitWhileFrozen delays each request for as long as Faults.Freeze is set.
func (t *Target) waitWhileFrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for {
			t.mu.Lock()
			frozen, changed := t.faults.Freeze, t.changed
			t.mu.Unlock()
			if !frozen {
				next(w, r)
				return
			}
			if !waitForClose(r, changed) {
				return
			}
		}
	}
}

// waitForFaults blocks until the faults are replaced. It returns false if the
// request is cancelled first.
func (t *Target) waitForFaults(r *http.Request) bool {
	t.mu.Lock()
	changed := t.changed
	t.mu.Unlock()
	return waitForClose(r, changed)
}

// waitForClose blocks until the channel is closed. It returns false if the request
// is cancelled first.
func waitForClose(r *http.Request, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-r.Context().Done():
		return false
	}
}

// pause waits for d. It returns false if the request is cancelled first.
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
