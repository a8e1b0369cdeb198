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

// maxBody is the maximum size of a request body in bytes.
const maxBody = 8 << 20

// Executions counts the calls that took effect, by call id and by BodyKey.
type Executions struct {
	ByCall map[protocol.CallID]int `json:"by_call"`
	ByBody map[string]int          `json:"by_body"`
}

// BodyKey returns the key of a request body in Executions.ByBody.
func BodyKey(body []byte) string {
	return hex.EncodeToString(bigEndianBytes(xxhash.Sum64(body)))
}

func bigEndianBytes(n uint64) []byte {
	out := make([]byte, 8)
	for i := range out {
		out[i] = byte(n >> (56 - 8*i))
	}
	return out
}

// callFunc runs a call. The body has been read and the faults have been chosen.
type callFunc func(w http.ResponseWriter, r *http.Request, body []byte, faults Faults)

// call wraps a callFunc with what all calls share: rejection, faults, cancellation,
// and the call id in the answer.
func (t *Target) call(run callFunc) http.HandlerFunc {
	return t.waitWhileFrozen(func(w http.ResponseWriter, r *http.Request) {
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
	t.recordLoad()
}

func (t *Target) end(id protocol.CallID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
	t.recordLoad()
}

// countExecution counts a call that takes effect.
func (t *Target) countExecution(id string, body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.ByCall[protocol.CallID(id)]++
	t.counts.ByBody[BodyKey(body)]++
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

// ExecutionCounts returns a copy of the execution counts.
func (t *Target) ExecutionCounts() Executions {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Executions{ByCall: map[protocol.CallID]int{}, ByBody: map[string]int{}}
	for id, n := range t.counts.ByCall {
		out.ByCall[id] = n
	}
	for key, n := range t.counts.ByBody {
		out.ByBody[key] = n
	}
	return out
}

func (t *Target) executions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.ExecutionCounts())
}

// abortConnection closes the connection without completing the answer.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// recordedAnswer is a complete answer that can be swapped with that of another call.
type recordedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (c *recordedAnswer) Header() http.Header         { return c.header }
func (c *recordedAnswer) WriteHeader(status int)      { c.status = status }
func (c *recordedAnswer) Write(p []byte) (int, error) { return c.body.Write(p) }
func (c *recordedAnswer) Flush()                      {}

// defaultCrossWait is the default of Faults.CrossWaitMS.
const defaultCrossWait = 50 * time.Millisecond

// cross sends this call the answer of a concurrent call, see Faults.Cross.
func (t *Target) cross(w http.ResponseWriter, r *http.Request, run callFunc, body []byte, faults Faults) {
	own := &recordedAnswer{header: http.Header{}, status: http.StatusOK}
	own.header.Set(HeaderCallID, r.Header.Get(HeaderCallID))
	run(own, r, body, Faults{})
	other := own
	wait := defaultCrossWait
	if faults.CrossWaitMS > 0 {
		wait = time.Duration(faults.CrossWaitMS) * time.Millisecond
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case t.swap <- own:
		other = <-t.swap
	case other = <-t.swap:
		t.swap <- own
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
