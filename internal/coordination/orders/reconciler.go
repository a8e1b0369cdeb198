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

// published counts orders given, refused as stale and failed.
var published = expvar.NewMap("orders")

// Options set up a Reconciler.
type Options struct {
	Instance protocol.InstanceID
	Domain   protocol.Domain
	Journal  coordination.Journal
	// Peers ranks the candidates for a duty. May be nil.
	Peers  coordination.Peers
	Orders external.Orders
	Logger log.Logger
	// Tick is the time between two steps. Default 1 s.
	Tick   time.Duration
	Policy Policy
}

// Reconciler runs the duties of one instance.
type Reconciler struct {
	opts    Options
	tasks   *ring.Ring[task]
	results *ring.Ring[result]

	mu sync.Mutex
	// leaving stops all duties for good.
	leaving bool
	listing external.Listing
	duties  map[protocol.ServiceName]*Duty
}

// task is an action on its way to a worker.
type task struct {
	service protocol.ServiceName
	action  Action
	fence   protocol.Offset
}

// result is what became of a task.
type result struct {
	task
	state external.OrderState
	err   error
}

const (
	// taskDepth bounds the exchanges that wait for a worker.
	taskDepth = 1024
	// workers carry out exchanges, so that one frozen target holds up few.
	workers = 4
)

// New returns a reconciler that knows no target.
func New(opts Options) *Reconciler {
	defaults.SetPositive(&opts.Tick, time.Second)
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	return &Reconciler{
		opts:    opts,
		tasks:   ring.New[task]("orders", taskDepth),
		results: ring.New[result]("orders_results", taskDepth),
		duties:  map[protocol.ServiceName]*Duty{},
	}
}

// Services returns the duties: the one that decides and those that send.
func (r *Reconciler) Services() []suture.Service {
	out := []suture.Service{r}
	for i := range workers {
		out = append(out, &worker{Reconciler: r, name: "order sender " + strconv.Itoa(i)})
	}
	return out
}

// SetListing takes in the platform's list.
func (r *Reconciler) SetListing(listing external.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listing = listing
}

// Targets lists the targets that this instance has the duty to order.
func (r *Reconciler) Targets() []TargetState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []TargetState
	for _, duty := range r.duties {
		out = append(out, duty.Targets()...)
	}
	slices.SortFunc(out, func(a, b TargetState) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// String names the duty.
func (r *Reconciler) String() string { return "orders" }

// Serve implements suture.Service.
func (r *Reconciler) Serve(ctx context.Context) error {
	return wait.AtOnceAndEvery(ctx, r.opts.Tick, func() {
		r.settle(time.Now())
		r.step(time.Now())
	})
}

// settle tells the duties what became of their actions.
func (r *Reconciler) settle(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		done, ok := r.results.TryTake()
		if !ok {
			return
		}
		duty, ok := r.duties[done.service]
		if !ok {
			continue
		}
		switch {
		case done.action.Claim != nil:
			duty.Claimed()
		case done.action.Look:
			duty.Looked(now, done.action.Target.ID, done.fence, done.state, done.err)
		default:
			duty.Given(now, done.action.Target.ID, done.fence, errors.Is(done.err, external.ErrStaleFence), done.err)
		}
	}
}

// step asks each duty for its actions and hands them to the workers.
func (r *Reconciler) step(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return
	}
	fleet := r.opts.Journal.Fleet()
	for name, service := range fleet.Services {
		wanted, ok := Wanted(fleet, name)
		if service.Kind != protocol.KindModel || !ok {
			continue
		}
		duty := r.duty(name)
		view := r.view(service, wanted)
		for _, action := range duty.Step(now, view) {
			r.hand(now, duty, task{service: name, action: action, fence: duty.fence})
		}
	}
}

// hand gives a task to the workers. One that finds no room counts as failed, so
// that its duty tries again.
func (r *Reconciler) hand(now time.Time, duty *Duty, t task) {
	if r.tasks.Offer(t) {
		return
	}
	switch {
	case t.action.Claim != nil:
		duty.Claimed()
	case t.action.Look:
		duty.Looked(now, t.action.Target.ID, t.fence, external.OrderState{}, errNoRoom)
	default:
		duty.Given(now, t.action.Target.ID, t.fence, false, errNoRoom)
	}
}

var errNoRoom = errors.New("too many exchanges wait")

func (r *Reconciler) duty(name protocol.ServiceName) *Duty {
	duty, ok := r.duties[name]
	if !ok {
		duty = NewDuty(r.opts.Policy, Resource(name, r.opts.Domain))
		r.duties[name] = duty
	}
	return duty
}

func (r *Reconciler) view(service protocol.Service, wanted external.Order) View {
	view := View{
		Session: r.opts.Journal.Session(),
		MayHold: r.opts.Journal.MayHold(),
		LogUp:   r.opts.Journal.LogUp(),
		Rank:    r.rank(service.Name),
		Service: service,
		Wanted:  wanted,
		Lease:   lease.Lease{Fence: protocol.NoOffset, EndedAt: protocol.NoOffset},
	}
	r.opts.Journal.View(func(s *replica.State) {
		if last, ok := s.Leases.Last(Resource(service.Name, r.opts.Domain)); ok {
			view.Lease = last
		}
	})
	for _, listed := range r.listing.Targets {
		if listed.Service == service.Name && listed.Domain == r.opts.Domain {
			view.Targets = append(view.Targets, listed)
		}
	}
	return view
}

// maxRank bounds the wait of the last candidate.
const maxRank = 8

// rank is the place of this instance among those of its domain, by rendezvous
// hashing, so that the duties of many services spread.
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
	return min(rank, maxRank)
}

func score(instance protocol.InstanceID, service protocol.ServiceName) uint64 {
	return xxhash.Sum64String(string(instance) + "\x00" + string(service))
}

// worker carries out actions.
type worker struct {
	*Reconciler
	name string
}

// String names the duty.
func (w *worker) String() string { return w.name }

// Serve implements suture.Service.
func (w *worker) Serve(ctx context.Context) error {
	for {
		t, err := w.tasks.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		if err := w.results.Put(ctx, w.do(ctx, t)); err != nil {
			return ctx.Err()
		}
	}
}

// claimTimeout bounds the wait for a claim to be read back.
const claimTimeout = 10 * time.Second

func (w *worker) do(ctx context.Context, t task) result {
	done := result{task: t}
	switch {
	case t.action.Claim != nil:
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		outcome := w.opts.Journal.Submit(ctx, protocol.Record{LeaseClaim: t.action.Claim})
		_ = w.opts.Logger.Log("event", "order_duty_claimed", "service", t.service, "verdict", outcome.Verdict, "fence", outcome.Offset)
	case t.action.Look:
		done.state, done.err = w.opts.Orders.Current(ctx, t.action.Target.Address)
	default:
		done.err = w.give(ctx, t)
	}
	return done
}

// give sends an order unless the session lapsed since it was decided. A pause
// between this check and the send remains; the fencing number, or the next
// look of the new holder, covers it.
func (w *worker) give(ctx context.Context, t task) error {
	if !w.opts.Journal.MayHold() {
		return errLapsed
	}
	err := w.opts.Orders.Give(ctx, t.action.Target.Address, *t.action.Give)
	counted := "given"
	if err != nil {
		counted = "failed"
	}
	if errors.Is(err, external.ErrStaleFence) {
		counted = "stale"
	}
	published.Add(counted, 1)
	_ = w.opts.Logger.Log("event", "order", "outcome", counted, "target", t.action.Target.ID, "model", t.action.Give.Model,
		"version", t.action.Give.Version, "fence", t.fence, "err", err)
	return err
}

var errLapsed = errors.New("the session lapsed before the order was sent")

// Release ends all duties of this instance for good. Those without an order on
// its way are given back, so that the next holder need not wait. The others end
// with the session, and their next holder waits for what may still arrive.
func (r *Reconciler) Release(ctx context.Context) {
	for _, resource := range r.leave(time.Now()) {
		outcome := r.opts.Journal.Submit(ctx, protocol.Record{LeaseRelease: &protocol.LeaseRelease{Resource: resource}})
		_ = r.opts.Logger.Log("event", "order_duty_released", "resource", resource, "verdict", outcome.Verdict)
	}
}

func (r *Reconciler) leave(now time.Time) []protocol.Resource {
	r.settle(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	var out []protocol.Resource
	for _, duty := range r.duties {
		if duty.Settled(now) {
			out = append(out, duty.resource)
		}
	}
	slices.Sort(out)
	return out
}
