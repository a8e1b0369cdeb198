package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination/online"
	"merlintiller/internal/protocol"
)

// envelope is what the edge reads of a completion request. The rest passes
// through to the target as it came.
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
		return envelope{}, fmt.Errorf("the body is not a JSON object: %w", err)
	}
	if e.Model == nil || *e.Model == "" {
		return envelope{}, errNoModel
	}
	return e, nil
}

// prefixBytes is how much of a prompt decides which targets may have it
// cached: system prompts are longer, and questions that differ come after.
const prefixBytes = 256

// prefix is the hash of the prompt's beginning, 0 if the prompt is short.
func (e *envelope) prefix() uint64 {
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
	asked, err := decodeEnvelope(body)
	if err != nil {
		refusal := protocol.Refuse(protocol.CodeBadRequest, 0, "%s", err)
		if errors.Is(err, errNoModel) {
			refusal.Param = "model"
		}
		x.refuse(refusal)
		return
	}
	model, ok := e.opts.Fleet().Models[protocol.ModelName(*asked.Model)]
	if !ok {
		refusal := protocol.Refuse(protocol.CodeUnknownModel, 0, "no model %q", *asked.Model)
		refusal.Param = "model"
		x.refuse(refusal)
		return
	}
	req := e.request(x, model.Service, x.r.URL.Path, body)
	req.Stream = asked.Stream
	req.Prefix = asked.prefix()
	e.serve(x, req)
}

func (e *Edge) request(x *exchange, service protocol.ServiceName, path string, body []byte) *online.Request {
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

// maxIdempotencyKey bounds the keys that are kept in the log.
const maxIdempotencyKey = 256

// serve runs an online call and tells the caller of its refusal.
func (e *Edge) serve(x *exchange, req *online.Request) {
	deadline, err := deadlineOf(x.r.Header, time.Now())
	if err != nil {
		x.refuse(protocol.Refuse(protocol.CodeBadRequest, 0, "%s", err))
		return
	}
	if len(req.IdempotencyKey) > maxIdempotencyKey {
		x.refuse(protocol.Refuse(protocol.CodeBadRequest, 0, "the Idempotency-Key has more than %d bytes", maxIdempotencyKey))
		return
	}
	req.Deadline = deadline
	w := newWriter(x.w, e.limits.WriteTimeout)
	result := e.opts.Online.Serve(x.r.Context(), req, w)
	if result.Refusal != nil {
		e.tell(x, req, w, result)
	}
	w.end()
}

// tell writes the final answer of a call that was given up on. Refusals of
// calls that did not run are counted and not logged: in an overload their lines
// would cost more than the refusals.
func (e *Edge) tell(x *exchange, req *online.Request, w *writer, result online.Result) {
	if result.Refusal.Run != protocol.NotRun {
		_ = e.opts.Logger.Log("event", "call_given_up", "request", req.ID, "organisation", req.Caller.Organisation,
			"service", req.Service, "code", result.Refusal.Code, "run_state", result.Refusal.Run,
			"target", result.Target, "attempts", result.Attempts, "begun", result.Started)
	}
	if !result.Started {
		w.limit()
		x.refuse(result.Refusal)
		return
	}
	published.Add(string(result.Refusal.Code), 1)
	if _, err := w.Write(errorEvent(result.Refusal)); err == nil {
		_ = w.Flush()
	}
	// The connection is cut without the end of the body, so that a client
	// that does not read events sees a broken answer, too.
	panic(http.ErrAbortHandler)
}

// Headers that bound the time of a call.
const (
	headerDeadline   = "X-Deadline"
	headerDeadlineMS = "X-Deadline-Ms"
)

// deadlineOf reads X-Deadline-Ms, in milliseconds from now, or X-Deadline, an
// RFC 3339 time. The zero time says that there is none.
func deadlineOf(header http.Header, now time.Time) (time.Time, error) {
	if text := header.Get(headerDeadlineMS); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
			return time.Time{}, fmt.Errorf("%s must be a number of milliseconds from 1 to a day", headerDeadlineMS)
		}
		return now.Add(time.Duration(ms) * time.Millisecond), nil
	}
	if text := header.Get(headerDeadline); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return time.Time{}, fmt.Errorf("%s must be a time in the form of RFC 3339", headerDeadline)
		}
		return at, nil
	}
	return time.Time{}, nil
}
