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

// published counts answers by code, retries and resumed streams.
var published = expvar.NewMap("online")

// Path serves online calls.
type Path struct {
	opts    Options
	policy  Policy
	allowed []string
	cancels *canceller

	// idPrefix and idCount make call ids that no other call ever had, also
	// not one of a former process or one that names the same request id.
	idPrefix string
	idCount  atomic.Uint64

	budgetMu sync.Mutex
	budgets  map[protocol.ServiceName]*routing.RetryBudget
}

// New returns a path. Its Services must run.
func New(opts Options) *Path {
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	if opts.OnceTarget == nil {
		opts.OnceTarget = opts.Target
	}
	policy := opts.Policy.withDefaults()
	random := make([]byte, 8)
	_, _ = rand.Read(random)
	p := &Path{
		opts:     opts,
		policy:   policy,
		cancels:  newCanceller(opts.Target, policy.CancelTimeout),
		idPrefix: hex.EncodeToString(random) + "-",
		budgets:  map[protocol.ServiceName]*routing.RetryBudget{},
	}
	p.allowed = append(p.allowed, allowedHeaders...)
	for _, name := range policy.AllowHeaders {
		p.allowed = append(p.allowed, http.CanonicalHeaderKey(name))
	}
	return p
}

// Services returns the duties that run beside the calls.
func (p *Path) Services() []suture.Service { return p.cancels.services() }

// Serve takes one call to its end and writes its answer, but for a refusal,
// which the caller of Serve writes.
func (p *Path) Serve(ctx context.Context, req *Request, w Writer) Result {
	start := time.Now()
	result := p.serve(ctx, start, req, w)
	p.observe(start, req, result)
	return result
}

func (p *Path) serve(ctx context.Context, start time.Time, req *Request, w Writer) Result {
	if longest := start.Add(p.policy.Timeout); req.Deadline.IsZero() || req.Deadline.After(longest) {
		req.Deadline = longest
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	service, refusal := p.check(req)
	if refusal != nil {
		return Result{Refusal: refusal}
	}
	if refusal := p.limit(ctx, req); refusal != nil {
		return Result{Refusal: refusal}
	}
	release, refusal := p.enter(ctx, req)
	if refusal != nil {
		return Result{Refusal: refusal}
	}
	defer release()
	c := &call{path: p, req: req, w: w, start: start, header: p.toTarget(req)}
	if p.showsKey(req, c.header) {
		return Result{Refusal: protocol.Refuse(protocol.CodeBadRequest, 0, "the request shows the caller's key outside its Authorization header")}
	}
	if service.Repeatable {
		c.repeatable(ctx)
	} else {
		c.once(ctx)
	}
	return c.result
}

// check refuses what can be told without a target.
func (p *Path) check(req *Request) (protocol.Service, *protocol.Refusal) {
	service, ok := p.opts.Fleet().Services[req.Service]
	if !ok {
		return service, protocol.Refuse(protocol.CodeNotFound, 0, "no service %q", req.Service)
	}
	if !req.Deadline.After(time.Now()) {
		return service, protocol.Refuse(protocol.CodeDeadline, 0, "the deadline has passed")
	}
	return service, nil
}

func (p *Path) limit(ctx context.Context, req *Request) *protocol.Refusal {
	if p.opts.Limits == nil {
		return nil
	}
	return p.opts.Limits.Admit(ctx, req.Caller.Organisation, 1)
}

func (p *Path) enter(ctx context.Context, req *Request) (func(), *protocol.Refusal) {
	if p.opts.Admission == nil {
		return func() {}, nil
	}
	ticket, refusal := p.opts.Admission.Enter(ctx, req.Caller.Organisation, req.Service, req.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	return ticket.Release, nil
}

func (p *Path) observe(start time.Time, req *Request, result Result) {
	code := "ok"
	if result.Refusal != nil {
		code = string(result.Refusal.Code)
	}
	published.Add(code, 1)
	if p.opts.Observe == nil {
		return
	}
	p.opts.Observe(Observation{
		Organisation: req.Caller.Organisation,
		Service:      req.Service,
		Result:       result,
		Took:         time.Since(start),
	})
}

func (p *Path) nextID() protocol.CallID {
	return protocol.CallID(p.idPrefix + strconv.FormatUint(p.idCount.Add(1), 10))
}

func (p *Path) budget(service protocol.ServiceName) *routing.RetryBudget {
	b, ok := p.budgets[service]
	if !ok {
		b = routing.NewRetryBudget(p.policy.RetryRatio, p.policy.RetryPerSecond, p.policy.RetryMost)
		p.budgets[service] = b
	}
	return b
}

func (p *Path) called(service protocol.ServiceName) {
	p.budgetMu.Lock()
	defer p.budgetMu.Unlock()
	p.budget(service).RecordCall()
}

func (p *Path) mayRetry(service protocol.ServiceName) bool {
	p.budgetMu.Lock()
	defer p.budgetMu.Unlock()
	return p.budget(service).TakeRetry(time.Now())
}
