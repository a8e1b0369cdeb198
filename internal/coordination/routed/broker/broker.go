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
	granted = metrics.NewCounter(`broker_grants_total{kind="online"}`)
	filled  = metrics.NewCounter(`broker_grants_total{kind="batch"}`)
	yielded = metrics.NewCounter(`broker_yields_total`)
)

const (
	// expireEvery is how often the holds of silent instances are looked for.
	expireEvery = 500 * time.Millisecond
	// lookEvery is how often those who wait are looked after when nothing else
	// happens: the pause after a yield may have ended.
	lookEvery = 20 * time.Millisecond
)

// Broker divides the slots of the targets of its own failure domain, for as long
// as others ask it to. It is a duty.
type Broker struct {
	domain string
	// yield asks an instance to give the slot of a batch item back. It says whether
	// the instance was reached.
	yield func(instance string, number uint64) bool

	mu       sync.Mutex
	allotter *SlotAllocator
	// placed takes the grant of each who waits, once.
	placed map[*Waiter]chan Grant
	// looking says that a look is due.
	looking bool
	sweep   *sweep
	// sweepBegins has something in it once a sweep begins.
	sweepBegins chan struct{}
	checkup     *checkup
	// checkBegins has something in it once a target is to be asked how it is.
	checkBegins chan struct{}
	// leads says that no other broker of the domain gives slots, as of leadsAt.
	leads   func() bool
	led     bool
	leadsAt time.Time
}

// leadsFresh is how long it counts that this is the only broker.
const leadsFresh = 50 * time.Millisecond

// New returns a broker of a failure domain.
func New(domain string, seed uint64, yield func(instance string, number uint64) bool) *Broker {
	b := &Broker{
		domain: domain, yield: yield, placed: map[*Waiter]chan Grant{},
		sweep: newSweep(time.Now()), sweepBegins: make(chan struct{}, 1),
		checkup: newCheckup(), checkBegins: make(chan struct{}, 1),
	}
	b.allotter = NewSlotAllocator(placement.New(placement.Options{
		Domain: domain, Random: rand.New(rand.NewPCG(seed, seed)), AllowWarmingUp: b.alone,
	}))
	return b
}

// SetIsSoleBroker gives what says whether this is the only broker of its domain. It must come
// before anything is asked.
func (b *Broker) SetIsSoleBroker(leads func() bool) { b.leads = leads }

// alone says that no other broker of the domain gives slots. It needs the lock.
//
// What goes wrong without it: instances are cut off from each other, and each side has a
// broker of its own. Each lets as many requests begin at a target that warms up as it
// bears from all of them.
func (b *Broker) alone() bool {
	if b.leads == nil {
		return false
	}
	if now := time.Now(); now.Sub(b.leadsAt) >= leadsFresh {
		b.led, b.leadsAt = b.leads(), now
	}
	return b.led
}

// String names the duty.
func (b *Broker) String() string { return "broker" }

// Serve drops the holds of silent instances until ctx ends.
func (b *Broker) Serve(ctx context.Context) error {
	return wait.Every(ctx, expireEvery, func() {
		b.change(func(now time.Time) { b.allotter.Expire(now) })
	})
}

// lookAgain serves once more after a while, as long as anybody waits. It needs the
// lock.
func (b *Broker) lookAgain() {
	if b.looking || b.allotter.Waiting() == 0 {
		return
	}
	b.looking = true
	time.AfterFunc(lookEvery, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.looking = false
		b.serve(time.Now())
	})
}

// SetTargets takes over the targets that may be used.
func (b *Broker) SetTargets(list []roster.Target) {
	b.change(func(now time.Time) {
		b.allotter.SetDomainTargets(b.domain, list)
		if b.checkup.listed(now, b.allotter.targets) {
			b.wakeChecker()
		}
	})
}

// InstanceDown drops the holds of an instance whose process is not there.
func (b *Broker) InstanceDown(instance string) {
	b.change(func(now time.Time) {
		b.allotter.Gone(instance)
		b.beginSweep(now)
	})
}

// InstanceSilent notes that an instance is not heard.
func (b *Broker) InstanceSilent(instance string) {
	b.change(func(now time.Time) {
		b.allotter.Silent(now, instance)
		b.beginSweep(now)
	})
}

// Loaded takes in what a target of the domain says of its load.
func (b *Broker) Loaded(id string, load exchange.Load) {
	b.change(func(now time.Time) { b.allotter.Loaded(now, id, load) })
}

// change changes the book and serves those who wait.
func (b *Broker) change(do func(now time.Time)) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	do(now)
	b.serve(now)
}

// serve gives slots to those who wait. It needs the lock.
func (b *Broker) serve(now time.Time) {
	for _, a := range b.allotter.Allocate(now) {
		b.placed[a.Waiter] <- a.Grant
		if a.Waiter.want.Batch {
			filled.Inc()
		} else {
			granted.Inc()
		}
		if a.MustYield {
			yielded.Inc()
			go b.askToYield(a.Yield)
		}
	}
	b.lookAgain()
}

func (b *Broker) askToYield(y Yield) {
	if !b.yield(y.Instance, y.Number) {
		b.change(func(now time.Time) { b.allotter.NotYielded(now, y.Instance, y.Number) })
	}
}

// Place gives a slot to an instance. If there is none, it is kept waiting for one
// as long as it wants.
func (b *Broker) Place(ctx context.Context, ask *PlaceRequest) Reply {
	now := time.Now()
	placed := make(chan Grant, 1)
	b.mu.Lock()
	w := b.allotter.Enqueue(now, ask)
	b.placed[w] = placed
	b.serve(now)
	b.mu.Unlock()
	reply := Reply{}
	reply.Grant, reply.Granted = b.await(ctx, w, placed, ask.Wait)
	b.mu.Lock()
	defer b.mu.Unlock()
	reply.Free = b.allotter.Free(time.Now())
	return reply
}

// await waits for a grant, for a while at most.
func (b *Broker) await(ctx context.Context, w *Waiter, placed <-chan Grant, wait time.Duration) (Grant, bool) {
	grant, granted := receive(ctx, placed, wait)
	b.forget(w)
	if granted {
		return grant, true
	}
	// It may have come at the moment at which the wait ended.
	return receive(ctx, placed, 0)
}

func receive(ctx context.Context, placed <-chan Grant, wait time.Duration) (Grant, bool) {
	select {
	case grant := <-placed:
		return grant, true
	default:
	}
	if wait <= 0 {
		return Grant{}, false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case grant := <-placed:
		return grant, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return Grant{}, false
}

// forget takes one out of the line who got a slot or waits no more.
func (b *Broker) forget(w *Waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allotter.Dequeue(w)
	delete(b.placed, w)
}

// Tell takes over what an instance holds.
func (b *Broker) Tell(told *HoldReport) {
	b.change(func(now time.Time) { b.allotter.ApplyReport(now, *told) })
}

// Receiver is the net/rpc receiver, registered under ReceiverName.
type Receiver struct{ broker *Broker }

// Receiver returns the net/rpc receiver.
func (b *Broker) Receiver() *Receiver { return &Receiver{broker: b} }

// Place gives slots.
func (r *Receiver) Place(args *PlaceRequest, reply *Reply) error {
	*reply = r.broker.Place(context.Background(), args)
	return nil
}

// Tell takes over what the caller holds.
func (r *Receiver) Tell(args *HoldReport, _ *struct{}) error {
	r.broker.Tell(args)
	return nil
}
