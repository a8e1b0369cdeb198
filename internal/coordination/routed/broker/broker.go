package broker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/wait"
)

var (
	onlineGrants  = metrics.NewCounter(`broker_grants_total{kind="online"}`)
	batchGrants   = metrics.NewCounter(`broker_grants_total{kind="batch"}`)
	yieldRequests = metrics.NewCounter(`broker_yields_total`)
)

const (
	// expireInterval is how often the holds of silent instances are checked for expiry.
	expireInterval = 500 * time.Millisecond
	// retryInterval is how often slots are allocated to waiters while no other event
	// triggers it: the pause after a yield may have ended.
	retryInterval = 20 * time.Millisecond
)

// Broker divides the slots of the targets of its own failure domain for as long as other
// instances use it as their broker. It is a background service.
type Broker struct {
	domain string
	// yield asks an instance to give back the slot of a batch item. It returns false if the
	// instance was not reached.
	yield func(instance string, number uint64) bool

	// listAge returns the age of the list of targets. It must not be called with mu held: the
	// list is set while its own lock is held.
	listAge func() time.Duration

	mu        sync.Mutex
	allocator *SlotAllocator
	// listMark is the mark of the list of targets.
	listMark int64
	// decisions holds a channel for the decision on each waiter. A channel gets at most one.
	decisions map[*Waiter]chan decision
	// queueReport is set if fair queueing is used.
	queueReport *queueReport
	// retryScheduled is set while a timer for the next allocation is running.
	retryScheduled bool
	sweep          *sweepSchedule
	// sweepStarted is signalled when a sweep starts.
	sweepStarted chan struct{}
	checks       *checkSchedule
	// checkAdded is signalled when a target needs a health check.
	checkAdded chan struct{}
	// itemStarts counts the items that started by a forecast.
	itemStarts forecastDecisions
	// isSoleBroker reports whether no other broker of the domain grants slots. soleBroker is
	// its result as of soleBrokerAt.
	isSoleBroker func() bool
	soleBroker   bool
	soleBrokerAt time.Time
}

// decision is a granted slot, or a rejection.
type decision struct {
	grant   Grant
	granted bool
}

// soleBrokerMaxAge is how long a result of isSoleBroker is used.
const soleBrokerMaxAge = 50 * time.Millisecond

// New returns a broker of a failure domain.
func New(domain string, seed uint64, yield func(instance string, number uint64) bool) *Broker {
	b := &Broker{
		domain: domain, yield: yield, decisions: map[*Waiter]chan decision{},
		sweep: newSweepSchedule(time.Now()), sweepStarted: make(chan struct{}, 1),
		checks: newCheckSchedule(), checkAdded: make(chan struct{}, 1),
	}
	b.allocator = NewSlotAllocator(placement.New(placement.Options{
		Domain: domain, Random: rand.New(rand.NewPCG(seed, seed)), AllowWarmingUp: b.checkSoleBroker,
	}))
	return b
}

// SetIsSoleBroker sets the function that reports whether this is the only broker of its
// domain. It must be called before the first request.
func (b *Broker) SetIsSoleBroker(isSoleBroker func() bool) { b.isSoleBroker = isSoleBroker }

// checkSoleBroker reports whether no other broker of the domain grants slots. The caller must
// hold b.mu.
//
// Without this check, each side of a network partition has its own broker, and each broker
// starts as many requests at a warming target as the target can handle from all of them.
func (b *Broker) checkSoleBroker() bool {
	if b.isSoleBroker == nil {
		return false
	}
	if now := time.Now(); now.Sub(b.soleBrokerAt) >= soleBrokerMaxAge {
		b.soleBroker, b.soleBrokerAt = b.isSoleBroker(), now
	}
	return b.soleBroker
}

// String returns the name of the background service.
func (b *Broker) String() string { return "broker" }

// Serve expires the holds of silent instances until ctx ends.
func (b *Broker) Serve(ctx context.Context) error {
	return wait.Every(ctx, expireInterval, func() {
		b.update(func(now time.Time) {
			b.allocator.Expire(now)
			b.logForecasts(now)
		})
		b.reportQueue()
	})
}

// scheduleRetry allocates slots again after retryInterval if any waiters are left. The caller
// must hold b.mu.
func (b *Broker) scheduleRetry() {
	if b.retryScheduled || b.allocator.Waiting() == 0 {
		return
	}
	b.retryScheduled = true
	time.AfterFunc(retryInterval, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.retryScheduled = false
		b.allocate(time.Now())
	})
}

// SetListAge sets the function that returns the age of the list of targets. It must be called
// before the first request.
func (b *Broker) SetListAge(listAge func() time.Duration) { b.listAge = listAge }

// SetTargets replaces the list of usable targets by the one that has been applied up to a mark.
func (b *Broker) SetTargets(mark int64, list []roster.Target) {
	b.update(func(now time.Time) {
		b.listMark = mark
		b.allocator.SetDomainTargets(b.domain, list)
		if b.checks.addAssumed(now, b.allocator.targets) {
			b.wakeChecker()
		}
	})
}

// InstanceDown removes the holds of an instance whose process is known not to run.
func (b *Broker) InstanceDown(instance string) {
	b.update(func(now time.Time) {
		b.allocator.InstanceDown(instance)
		b.startSweep(now)
	})
}

// InstanceSilent records that an instance is silent.
func (b *Broker) InstanceSilent(instance string) {
	b.update(func(now time.Time) {
		b.allocator.InstanceSilent(now, instance)
		b.startSweep(now)
	})
}

// ApplyLoad applies a load report of a target of the domain.
func (b *Broker) ApplyLoad(id string, load exchange.Load) {
	b.update(func(now time.Time) { b.allocator.ApplyLoad(now, id, load) })
}

// update changes the hold table and then allocates slots to waiters.
func (b *Broker) update(do func(now time.Time)) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	do(now)
	b.allocate(now)
}

// allocate grants free slots to waiters. The caller must hold b.mu.
func (b *Broker) allocate(now time.Time) {
	for _, a := range b.allocator.Allocate(now) {
		a.Grant.ListMark = b.listMark
		b.decisions[a.Waiter] <- decision{grant: a.Grant, granted: true}
		b.queueReport.granted(now, a.Waiter)
		if a.Waiter.requirements.Batch {
			batchGrants.Inc()
			b.itemStarts.count(a.Waiter.start)
		} else {
			onlineGrants.Inc()
		}
		if a.MustYield {
			yieldRequests.Inc()
			go b.requestYield(a.Yield)
		}
	}
	for _, w := range b.allocator.RejectUnservable(now) {
		b.decisions[w] <- decision{}
		b.queueReport.rejected(now, w)
	}
	b.scheduleRetry()
}

func (b *Broker) requestYield(y Yield) {
	if !b.yield(y.Instance, y.Number) {
		b.update(func(now time.Time) { b.allocator.YieldFailed(now, y.Instance, y.Number) })
	}
}

// Place grants a slot to an instance. If none is free, the request waits for one for up to
// req.Wait.
func (b *Broker) Place(ctx context.Context, req *PlaceRequest) PlaceReply {
	now := time.Now()
	decided := make(chan decision, 1)
	b.mu.Lock()
	w := b.allocator.Enqueue(now, req)
	b.decisions[w] = decided
	b.allocate(now)
	b.mu.Unlock()
	reply := PlaceReply{}
	reply.Grant, reply.Granted = b.awaitGrant(ctx, w, decided, req.Wait)
	if reply.Granted && b.listAge != nil {
		reply.Grant.ListAge = b.listAge()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	reply.Queue = w.state
	reply.Free = b.allocator.Free(time.Now())
	if !reply.Granted {
		if reply.Held = b.allocator.held(time.Now(), w); reply.Held.Period > 0 {
			b.itemStarts.count(startHeld)
		}
	}
	return reply
}

// awaitGrant waits for a grant, for the given time at most. A rejection ends the wait.
func (b *Broker) awaitGrant(ctx context.Context, w *Waiter, decided <-chan decision, wait time.Duration) (Grant, bool) {
	d, ok := receiveDecision(ctx, decided, wait)
	b.dequeue(w)
	if !ok {
		// The grant may have arrived just as the wait ended.
		d, _ = receiveDecision(ctx, decided, 0)
	}
	return d.grant, d.granted
}

func receiveDecision(ctx context.Context, decided <-chan decision, wait time.Duration) (decision, bool) {
	select {
	case d := <-decided:
		return d, true
	default:
	}
	if wait <= 0 {
		return decision{}, false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case d := <-decided:
		return d, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return decision{}, false
}

// dequeue removes a waiter that got a slot or stopped waiting.
func (b *Broker) dequeue(w *Waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allocator.Dequeue(w)
	b.queueReport.ended(time.Now(), w)
	delete(b.decisions, w)
}

// ApplyReport applies an instance's report of its holds.
func (b *Broker) ApplyReport(report *HoldReport) {
	b.update(func(now time.Time) { b.allocator.ApplyReport(now, *report) })
}

// Receiver is the net/rpc receiver, registered under ReceiverName.
type Receiver struct{ broker *Broker }

// Receiver returns the net/rpc receiver.
func (b *Broker) Receiver() *Receiver { return &Receiver{broker: b} }

// Place grants a slot.
func (r *Receiver) Place(args *PlaceRequest, reply *PlaceReply) error {
	*reply = r.broker.Place(context.Background(), args)
	return nil
}

// Tell applies the caller's report of its holds.
func (r *Receiver) Tell(args *HoldReport, _ *struct{}) error {
	r.broker.ApplyReport(args)
	return nil
}
