package online

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/protocol"
)

// counters counts responses by code, retries, resumed streams, failed cancel
// requests, responses that belong to another call and callers that stopped
// reading.
var counters = expvar.NewMap("online")

// Handler serves online calls.
type Handler struct {
	opts   Options
	policy Policy

	// headersToForward are the names of the request headers that are passed to
	// targets.
	headersToForward []string
	canceller        *canceller

	// idPrefix and idCounter make call IDs that are unique across calls,
	// also across restarts of the process and across calls with the same
	// request ID.
	idPrefix  string
	idCounter atomic.Uint64

	budgetMu sync.Mutex
	budgets  map[protocol.ServiceName]*routing.RetryBudget
}

// New returns a Handler. Its Services must be run by a supervisor.
func New(opts Options) *Handler {
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	if opts.AtMostOnceTarget == nil {
		opts.AtMostOnceTarget = opts.Target
	}
	policy := opts.Policy.withDefaults()
	random := make([]byte, 8)
	_, _ = rand.Read(random)
	h := &Handler{
		opts:      opts,
		policy:    policy,
		canceller: newCanceller(opts.Target, policy.CancelTimeout),
		idPrefix:  hex.EncodeToString(random) + "-",
		budgets:   map[protocol.ServiceName]*routing.RetryBudget{},
	}
	h.headersToForward = append(h.headersToForward, forwardedHeaders...)
	for _, name := range policy.AllowHeaders {
		h.headersToForward = append(h.headersToForward, http.CanonicalHeaderKey(name))
	}
	return h
}

// Services returns the background services that send cancel requests.
func (h *Handler) Services() []suture.Service { return h.canceller.services() }

// Serve runs one call to its end and writes the response to w. It does not write
// a refusal; it returns the refusal in Result, and the caller of Serve writes
// it.
func (h *Handler) Serve(ctx context.Context, req *Request, w Writer) Result {
	start := time.Now()
	result := h.serve(ctx, start, req, w)
	h.observe(start, req, result)
	return result
}

func (h *Handler) serve(ctx context.Context, start time.Time, req *Request, w Writer) Result {
	if latest := start.Add(h.policy.Timeout); req.Deadline.IsZero() || req.Deadline.After(latest) {
		req.Deadline = latest
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	service, refusal := h.validate(req)
	if refusal != nil {
		return Result{Refusal: refusal}
	}
	if refusal := h.applyRateLimit(ctx, req); refusal != nil {
		return Result{Refusal: refusal}
	}
	release, refusal := h.admit(ctx, req)
	if refusal != nil {
		return Result{Refusal: refusal}
	}
	defer release()
	c := &call{handler: h, req: req, w: w, start: start, header: h.targetHeader(req)}
	if h.leaksKey(req, c.header) {
		return Result{Refusal: protocol.Refuse(protocol.CodeBadRequest, 0, "the request contains the caller's key outside the Authorization header")}
	}
	if service.Repeatable {
		c.serveIdempotent(ctx)
	} else {
		c.serveAtMostOnce(ctx)
	}
	return c.result
}

// validate refuses calls that can be refused without calling a target: to an
// unknown service or with a deadline that has passed.
func (h *Handler) validate(req *Request) (protocol.Service, *protocol.Refusal) {
	service, ok := h.opts.Fleet().Services[req.Service]
	if !ok {
		return service, protocol.Refuse(protocol.CodeNotFound, 0, "no service %q", req.Service)
	}
	if !req.Deadline.After(time.Now()) {
		return service, protocol.Refuse(protocol.CodeDeadline, 0, "the deadline has passed")
	}
	return service, nil
}

func (h *Handler) applyRateLimit(ctx context.Context, req *Request) *protocol.Refusal {
	if h.opts.Limits == nil {
		return nil
	}
	return h.opts.Limits.Admit(ctx, req.Caller.Organisation, 1)
}

func (h *Handler) admit(ctx context.Context, req *Request) (func(), *protocol.Refusal) {
	if h.opts.Admission == nil {
		return func() {}, nil
	}
	ticket, refusal := h.opts.Admission.Enter(ctx, req.Caller.Organisation, req.Service, req.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	return ticket.Release, nil
}

func (h *Handler) observe(start time.Time, req *Request, result Result) {
	code := "ok"
	if result.Refusal != nil {
		code = string(result.Refusal.Code)
	}
	counters.Add(code, 1)
	if h.opts.Observe == nil {
		return
	}
	h.opts.Observe(Observation{
		Organisation: req.Caller.Organisation,
		Service:      req.Service,
		Result:       result,
		Duration:     time.Since(start),
	})
}

func (h *Handler) nextID() protocol.CallID {
	return protocol.CallID(h.idPrefix + strconv.FormatUint(h.idCounter.Add(1), 10))
}

// budgetLocked returns the retry budget of a service. The caller holds budgetMu.
func (h *Handler) budgetLocked(service protocol.ServiceName) *routing.RetryBudget {
	budget, ok := h.budgets[service]
	if !ok {
		budget = routing.NewRetryBudget(h.policy.RetryRatio, h.policy.RetryPerSecond, h.policy.RetryBurst)
		h.budgets[service] = budget
	}
	return budget
}

func (h *Handler) recordCall(service protocol.ServiceName) {
	h.budgetMu.Lock()
	defer h.budgetMu.Unlock()
	h.budgetLocked(service).RecordCall()
}

func (h *Handler) mayRetry(service protocol.ServiceName) bool {
	h.budgetMu.Lock()
	defer h.budgetMu.Unlock()
	return h.budgetLocked(service).TakeRetry(time.Now())
}
