package target

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// maxBody bounds a request body.
const maxBody = 8 << 20

// Executions counts the calls that took effect.
type Executions struct {
	ByCall map[protocol.CallID]int `json:"by_call"`
	ByBody map[string]int          `json:"by_body"`
}

// BodyKey is the key of a body in Executions.ByBody.
func BodyKey(body []byte) string {
	return hex.EncodeToString(binaryHash(xxhash.Sum64(body)))
}

func binaryHash(n uint64) []byte {
	out := make([]byte, 8)
	for i := range out {
		out[i] = byte(n >> (56 - 8*i))
	}
	return out
}

// work runs a call whose body was read and whose faults are known.
type work func(w http.ResponseWriter, r *http.Request, body []byte, faults Faults)

// call wraps the work of a call: leaving state, faults, cancel and the echo of
// the call id.
func (t *Target) call(run work) http.HandlerFunc {
	return t.frozen(func(w http.ResponseWriter, r *http.Request) {
		id := protocol.CallID(r.Header.Get(HeaderCallID))
		w.Header().Set(HeaderCallID, string(id))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		faults := t.takeFaults()
		if t.refuse(w, faults) {
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		t.begin(id, cancel)
		defer t.end(id)
		r = r.WithContext(ctx)
		if !pause(r, time.Duration(faults.DelayMS)*time.Millisecond) {
			return
		}
		if faults.Cross {
			t.cross(w, r, run, body, faults)
			return
		}
		run(w, r, body, faults)
	})
}

func (t *Target) refuse(w http.ResponseWriter, faults Faults) bool {
	t.mu.Lock()
	leaving := t.leaving
	t.mu.Unlock()
	switch {
	case leaving:
		w.Header().Set(HeaderNotRun, "true")
		w.Header().Set(HeaderLeaving, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case faults.Refuse:
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case faults.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

func (t *Target) begin(id protocol.CallID, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[id] = cancel
	t.sample()
}

func (t *Target) end(id protocol.CallID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
	t.sample()
}

// effect counts an execution.
func (t *Target) effect(id string, body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs.ByCall[protocol.CallID(id)]++
	t.runs.ByBody[BodyKey(body)]++
}

func (t *Target) cancel(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	cancel, ok := t.running[protocol.CallID(r.PathValue("id"))]
	t.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

// ExecutionCounts copies the execution counts.
func (t *Target) ExecutionCounts() Executions {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Executions{ByCall: map[protocol.CallID]int{}, ByBody: map[string]int{}}
	for id, n := range t.runs.ByCall {
		out.ByCall[id] = n
	}
	for key, n := range t.runs.ByBody {
		out.ByBody[key] = n
	}
	return out
}

func (t *Target) executions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.ExecutionCounts())
}

// hangUp closes the connection without an answer.
func hangUp() {
	panic(http.ErrAbortHandler)
}

// crossed is an answer that waits to be swapped with another.
type crossed struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (c *crossed) Header() http.Header         { return c.header }
func (c *crossed) WriteHeader(status int)      { c.status = status }
func (c *crossed) Write(p []byte) (int, error) { return c.body.Write(p) }
func (c *crossed) Flush()                      {}

// crossWait is the default of Faults.CrossWaitMS.
const crossWait = 50 * time.Millisecond

// cross gives this call the answer of another one that runs now.
func (t *Target) cross(w http.ResponseWriter, r *http.Request, run work, body []byte, faults Faults) {
	own := &crossed{header: http.Header{}, status: http.StatusOK}
	own.header.Set(HeaderCallID, r.Header.Get(HeaderCallID))
	run(own, r, body, Faults{})
	other := own
	wait := crossWait
	if faults.CrossWaitMS > 0 {
		wait = time.Duration(faults.CrossWaitMS) * time.Millisecond
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case t.crossing <- own:
		other = <-t.crossing
	case other = <-t.crossing:
		t.crossing <- own
	case <-timer.C:
		own.header.Set(HeaderCallID, "late-answer-of-another-call")
	}
	for name, values := range other.header {
		w.Header()[name] = values
	}
	w.WriteHeader(other.status)
	_, _ = w.Write(other.body.Bytes())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
