package orders

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination"
	"merlintiller/internal/defaults"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/ring"
	"merlintiller/internal/state/lease"
	"merlintiller/internal/state/replica"
	"merlintiller/internal/wait"
)

// counters counts the orders that were accepted, rejected as stale and failed.
var counters = expvar.NewMap("orders")

// Options configures a Reconciler.
type Options struct {
	Instance protocol.InstanceID
	Domain   protocol.Domain
	Journal  coordination.Journal
	// Peers lists the candidates for a lease. It may be nil.
	Peers  coordination.Peers
	Orders external.OrderClient
	Logger log.Logger
	// Tick is the time between two calls of each Controller's Step. Default 1 s.
	Tick   time.Duration
	Policy Policy
}

// Reconciler runs the Controllers of one instance, one for each service.
type Reconciler struct {
	opts    Options
	tasks   *ring.Ring[task]
	results *ring.Ring[result]

	mu sync.Mutex
	// released reports whether Release was called; no further actions are then
	// taken.
	released    bool
	listing     external.Listing
	controllers map[protocol.ServiceName]*Controller
}

// task is an action that is queued for a worker.
type task struct {
	service protocol.ServiceName
	action  Action
	fence   protocol.Offset
}

// result is the result of a task.
type result struct {
	task
	state external.OrderState
	err   error
}

const (
	// queueSize bounds the tasks that wait for a worker, and the results that
	// wait for the Reconciler.
	queueSize = 1024
	// workers is the number of goroutines that perform tasks. With several, one
	// target that does not answer delays only some of the others.
	workers = 4
)

// New returns a Reconciler without targets.
func New(opts Options) *Reconciler {
	defaults.SetPositive(&opts.Tick, time.Second)
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	return &Reconciler{
		opts:        opts,
		tasks:       ring.New[task]("orders", queueSize),
		results:     ring.New[result]("orders_results", queueSize),
		controllers: map[protocol.ServiceName]*Controller{},
	}
}

// Services returns the background services: the Reconciler and the workers that
// perform its tasks.
func (r *Reconciler) Services() []suture.Service {
	out := []suture.Service{r}
	for i := range workers {
		out = append(out, &worker{Reconciler: r, name: "order sender " + strconv.Itoa(i)})
	}
	return out
}

// SetListing sets the platform's list of targets.
func (r *Reconciler) SetListing(listing external.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listing = listing
}

// Targets lists the targets to which this instance sends orders.
func (r *Reconciler) Targets() []TargetState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []TargetState
	for _, controller := range r.controllers {
		out = append(out, controller.Targets()...)
	}
	slices.SortFunc(out, func(a, b TargetState) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// String returns the name of the background service.
func (r *Reconciler) String() string { return "orders" }

// Serve implements suture.Service.
func (r *Reconciler) Serve(ctx context.Context) error {
	return wait.AtOnceAndEvery(ctx, r.opts.Tick, func() {
		r.applyResults(time.Now())
		r.step(time.Now())
	})
}

// applyResults passes the results of tasks to the Controllers.
func (r *Reconciler) applyResults(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		res, ok := r.results.TryTake()
		if !ok {
			return
		}
		controller, ok := r.controllers[res.service]
		if !ok {
			continue
		}
		switch {
		case res.action.Claim != nil:
			controller.ClaimFinished()
		case res.action.ReadState:
			controller.HandleState(now, res.action.Target.ID, res.fence, res.state, res.err)
		default:
			controller.HandleOrderResult(now, res.action.Target.ID, res.fence, errors.Is(res.err, external.ErrStaleFence), res.err)
		}
	}
}

// step queues the actions of each Controller for the workers.
func (r *Reconciler) step(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return
	}
	fleet := r.opts.Journal.Fleet()
	for name, service := range fleet.Services {
		desired, ok := DesiredOrder(fleet, name)
		if service.Kind != protocol.KindModel || !ok {
			continue
		}
		controller := r.controller(name)
		in := r.inputs(service, desired)
		for _, action := range controller.Step(now, in) {
			r.enqueue(now, controller, task{service: name, action: action, fence: controller.fence})
		}
	}
}

// enqueue queues a task for the workers. If the queue is full, the task counts as
// failed, so that its Controller retries it.
func (r *Reconciler) enqueue(now time.Time, controller *Controller, t task) {
	if r.tasks.Offer(t) {
		return
	}
	switch {
	case t.action.Claim != nil:
		controller.ClaimFinished()
	case t.action.ReadState:
		controller.HandleState(now, t.action.Target.ID, t.fence, external.OrderState{}, errQueueFull)
	default:
		controller.HandleOrderResult(now, t.action.Target.ID, t.fence, false, errQueueFull)
	}
}

var errQueueFull = errors.New("task queue is full")

func (r *Reconciler) controller(name protocol.ServiceName) *Controller {
	controller, ok := r.controllers[name]
	if !ok {
		controller = NewController(r.opts.Policy, LeaseResource(name, r.opts.Domain))
		r.controllers[name] = controller
	}
	return controller
}

func (r *Reconciler) inputs(service protocol.Service, desired external.Order) Inputs {
	in := Inputs{
		Session:    r.opts.Journal.Session(),
		MayHold:    r.opts.Journal.MayHold(),
		LogCurrent: r.opts.Journal.LogUp(),
		Rank:       r.rank(service.Name),
		Service:    service,
		Desired:    desired,
		Lease:      lease.Lease{Fence: protocol.NoOffset, EndedAt: protocol.NoOffset},
	}
	r.opts.Journal.View(func(s *replica.State) {
		if last, ok := s.Leases.Last(LeaseResource(service.Name, r.opts.Domain)); ok {
			in.Lease = last
		}
	})
	for _, listed := range r.listing.Targets {
		if listed.Service == service.Name && listed.Domain == r.opts.Domain {
			in.Targets = append(in.Targets, listed)
		}
	}
	return in
}

// maxClaimRank bounds the delay of the last candidate.
const maxClaimRank = 8

// rank returns the rank of this instance among the instances of its domain, by
// rendezvous hashing, so that the leases of many services are spread over the
// instances.
func (r *Reconciler) rank(service protocol.ServiceName) int {
	if r.opts.Peers == nil {
		return 0
	}
	own := score(r.opts.Instance, service)
	rank := 0
	for _, peer := range r.opts.Peers.List() {
		if peer.Domain == r.opts.Domain && peer.Reachable && score(peer.Instance, service) > own {
			rank++
		}
	}
	return min(rank, maxClaimRank)
}

func score(instance protocol.InstanceID, service protocol.ServiceName) uint64 {
	return xxhash.Sum64String(string(instance) + "\x00" + string(service))
}

// worker performs tasks.
type worker struct {
	*Reconciler
	name string
}

// String returns the name of the background service.
func (w *worker) String() string { return w.name }

// Serve implements suture.Service.
func (w *worker) Serve(ctx context.Context) error {
	for {
		t, err := w.tasks.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		if err := w.results.Put(ctx, w.perform(ctx, t)); err != nil {
			return ctx.Err()
		}
	}
}

// claimTimeout bounds the wait for a claim to be read back.
const claimTimeout = 10 * time.Second

func (w *worker) perform(ctx context.Context, t task) result {
	res := result{task: t}
	switch {
	case t.action.Claim != nil:
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		outcome := w.opts.Journal.Submit(ctx, protocol.Record{LeaseClaim: t.action.Claim})
		_ = w.opts.Logger.Log("event", "order_duty_claimed", "service", t.service, "verdict", outcome.Verdict, "fence", outcome.Offset)
	case t.action.ReadState:
		res.state, res.err = w.opts.Orders.Current(ctx, t.action.Target.Address)
	default:
		res.err = w.sendOrder(ctx, t)
	}
	return res
}

// sendOrder sends an order unless the session has lapsed since the decision. The
// process can still be paused between this check and the send. The target then
// rejects the order by its fencing number, or the new holder corrects it after
// its next read.
func (w *worker) sendOrder(ctx context.Context, t task) error {
	if !w.opts.Journal.MayHold() {
		return errSessionLapsed
	}
	err := w.opts.Orders.Send(ctx, t.action.Target.Address, *t.action.Order)
	outcome := "given"
	if err != nil {
		outcome = "failed"
	}
	if errors.Is(err, external.ErrStaleFence) {
		outcome = "stale"
	}
	counters.Add(outcome, 1)
	_ = w.opts.Logger.Log("event", "order", "outcome", outcome, "target", t.action.Target.ID, "model", t.action.Order.Model,
		"version", t.action.Order.Version, "fence", t.fence, "err", err)
	return err
}

var errSessionLapsed = errors.New("the session lapsed before the order was sent")

// Release stops all Controllers of this instance for good. It releases the leases
// without an order in flight, so that their next holder need not wait. The other
// leases end with the session, and their next holder waits until orders that are
// still in flight must be finished.
func (r *Reconciler) Release(ctx context.Context) {
	for _, resource := range r.stopAll(time.Now()) {
		outcome := r.opts.Journal.Submit(ctx, protocol.Record{LeaseRelease: &protocol.LeaseRelease{Resource: resource}})
		_ = r.opts.Logger.Log("event", "order_duty_released", "resource", resource, "verdict", outcome.Verdict)
	}
}

// stopAll stops all Controllers and returns the leases that can be released.
func (r *Reconciler) stopAll(now time.Time) []protocol.Resource {
	r.applyResults(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	var out []protocol.Resource
	for _, controller := range r.controllers {
		if controller.Idle(now) {
			out = append(out, controller.resource)
		}
	}
	slices.Sort(out)
	return out
}
