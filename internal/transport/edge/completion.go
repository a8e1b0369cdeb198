package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination/online"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/graceful"
)

// envelope holds the fields of a completion request that the edge reads. The body
// is forwarded to the target unchanged.
type envelope struct {
	Model    *string         `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

var errNoModel = errors.New(`"model" is missing`)

func decodeEnvelope(body []byte) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil {
		return envelope{}, fmt.Errorf("request body is not a JSON object: %w", err)
	}
	if e.Model == nil || *e.Model == "" {
		return envelope{}, errNoModel
	}
	return e, nil
}

// prefixBytes is the length of the prompt prefix that is hashed to find targets
// that may have the prompt cached. System prompts are longer than 256 bytes, and
// the parts that differ between requests follow them.
const prefixBytes = 256

// prefixHash returns the hash of the first prefixBytes of the prompt, or 0 if the
// prompt is shorter.
func (e *envelope) prefixHash() uint64 {
	prompt := e.Messages
	if len(prompt) == 0 {
		prompt = e.Prompt
	}
	if len(prompt) < prefixBytes {
		return 0
	}
	return xxhash.Sum64(prompt[:prefixBytes])
}

// completion serves /v1/chat/completions and /v1/completions.
func (e *Edge) completion(x *exchange) {
	body, ok := e.readBody(x)
	if !ok {
		return
	}
	envelope, err := decodeEnvelope(body)
	if err != nil {
		refusal := protocol.Refuse(protocol.CodeBadRequest, 0, "%s", err)
		if errors.Is(err, errNoModel) {
			refusal.Param = "model"
		}
		x.reject(refusal)
		return
	}
	model, ok := e.opts.Fleet().Models[protocol.ModelName(*envelope.Model)]
	if !ok {
		refusal := protocol.Refuse(protocol.CodeUnknownModel, 0, "model %q does not exist", *envelope.Model)
		refusal.Param = "model"
		x.reject(refusal)
		return
	}
	req := e.newRequest(x, model.Service, x.r.URL.Path, body)
	req.Stream = envelope.Stream
	req.Prefix = envelope.prefixHash()
	e.serve(x, req)
}

func (e *Edge) newRequest(x *exchange, service protocol.ServiceName, path string, body []byte) *online.Request {
	return &online.Request{
		ID:             x.id,
		Caller:         x.caller,
		Secret:         x.secret,
		Service:        service,
		Method:         x.r.Method,
		Path:           path,
		Header:         x.r.Header,
		Body:           body,
		IdempotencyKey: x.r.Header.Get("Idempotency-Key"),
	}
}

// maxIdempotencyKey is the maximum length of an idempotency key in bytes. The
// keys are stored in the log.
const maxIdempotencyKey = 256

// serve runs an online call and reports a refusal to the caller.
func (e *Edge) serve(x *exchange, req *online.Request) {
	deadline, err := parseDeadline(x.r.Header, time.Now())
	if err != nil {
		x.reject(protocol.Refuse(protocol.CodeBadRequest, 0, "%s", err))
		return
	}
	if len(req.IdempotencyKey) > maxIdempotencyKey {
		x.reject(protocol.Refuse(protocol.CodeBadRequest, 0, "Idempotency-Key exceeds %d bytes", maxIdempotencyKey))
		return
	}
	if !utf8.ValidString(req.IdempotencyKey) {
		x.reject(protocol.Refuse(protocol.CodeBadRequest, 0, "Idempotency-Key is not valid UTF-8"))
		return
	}
	req.Deadline = deadline
	if e.phase.Load() == phaseRejecting {
		// Its body came slowly. The drain waits long enough for calls that began before only.
		x.w.Header().Set("Connection", "close")
		x.reject(drainingRefusal())
		return
	}
	w := newTimedWriter(x.w, e.limits.WriteTimeout)
	result := e.opts.Online.Serve(x.r.Context(), req, w)
	if result.Refusal != nil {
		e.reportFailure(x, req, w, result)
	}
	w.clearDeadline()
}

// reportFailure writes the error response of a failed call. Refusals of calls that
// did not run are counted but not logged: under overload, logging them would cost
// more than refusing the calls.
func (e *Edge) reportFailure(x *exchange, req *online.Request, w *timedWriter, result online.Result) {
	if result.Refusal.Run != protocol.NotRun {
		_ = e.opts.Logger.Log("event", "call_given_up", "request", req.ID, "organisation", req.Caller.Organisation,
			"service", req.Service, "code", result.Refusal.Code, "run_state", result.Refusal.Run,
			"target", result.Target, "attempts", result.Attempts, "begun", result.Started)
	}
	if !result.Started {
		w.extendDeadline()
		x.reject(result.Refusal)
		return
	}
	counters.Add(string(result.Refusal.Code), 1)
	if _, err := w.Write(errorEvent(result.Refusal)); err == nil {
		_ = w.Flush()
	}
	// A client that ignores error events also detects the incomplete response.
	graceful.AbortResponse(x.r)
}

// Request headers that set the deadline of a call.
const (
	headerDeadline   = "X-Deadline"
	headerDeadlineMS = "X-Deadline-Ms"
)

// parseDeadline reads X-Deadline-Ms, in milliseconds from now, or X-Deadline, an
// RFC 3339 time. It returns the zero time if neither header is set.
func parseDeadline(header http.Header, now time.Time) (time.Time, error) {
	if text := header.Get(headerDeadlineMS); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
			return time.Time{}, fmt.Errorf("%s must be an integer number of milliseconds from 1 to one day", headerDeadlineMS)
		}
		return now.Add(time.Duration(ms) * time.Millisecond), nil
	}
	if text := header.Get(headerDeadline); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return time.Time{}, fmt.Errorf("%s must be an RFC 3339 time", headerDeadline)
		}
		return at, nil
	}
	return time.Time{}, nil
}
