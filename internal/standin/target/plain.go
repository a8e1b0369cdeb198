package target

import (
	"net/http"

	"merlintiller/internal/protocol"
)

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	Target protocol.TargetID `json:"target"`
	Method string            `json:"method"`
	Path   string            `json:"path"`
	// Body is the BodyKey of the request body.
	Body string `json:"body"`
}

// plain runs a call to a plain service, which is not idempotent.
func (t *Target) plain(w http.ResponseWriter, r *http.Request, body []byte, faults Faults) {
	t.countExecution(r.Header.Get(HeaderCallID), body)
	if !pause(r, t.cfg.CallTime) {
		return
	}
	if faults.LoseAnswer {
		abortConnection()
	}
	answer := PlainAnswer{Target: t.cfg.ID, Method: r.Method, Path: r.URL.Path, Body: BodyKey(body)}
	if faults.CutAfter > 0 {
		w.Header().Set("Content-Length", "1000000")
		writeJSON(w, answer)
		abortConnection()
	}
	writeJSON(w, answer)
}
