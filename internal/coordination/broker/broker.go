package broker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/coordination/placement"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

var (
	granted = metrics.NewCounter(`broker_grants_total{kind="online"}`)
	filled  = metrics.NewCounter(`broker_grants_total{kind="batch"}`)
	yielded = metrics.NewCounter(`broker_yields_total`)
)

// calmAfter is how long after an item had to give way no further item gets a slot.
//
// The load it answers: at a peak a slot comes free every few milliseconds and is
// wanted by an online request a few milliseconds later. Given to an item in
// between, it is taken back before the item has read its prompt again, and the
// item needs a new connection each time.
const calmAfter = 80 * time.Millisecond

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

	mu     sync.Mutex
	book   *Book
	lineup lineup
	// yieldedAt is when an item had to give way last.
	yieldedAt time.Time
	// looking says that a look is due.
	looking bool
}

// New returns a broker of a failure domain.
func New(domain string, seed uint64, yield func(instance string, number uint64) bool) *Broker {
	core := placement.New(placement.Options{Domain: domain, Random: rand.New(rand.NewPCG(seed, seed))})
	return &Broker{domain: domain, yield: yield, book: NewBook(core)}
}

// String names the duty.
func (b *Broker) String() string { return "broker" }

// Serve drops the holds of silent instances until ctx ends.
func (b *Broker) Serve(ctx context.Context) error {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		b.change(func(now time.Time) { b.book.Expire(now) })
	}
}

// lookAgain serves once more after a while, as long as anybody waits. It needs the
// lock.
func (b *Broker) lookAgain() {
	if b.looking || b.lineup.len() == 0 {
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
	var own []roster.Target
	for _, t := range list {
		if t.Domain == b.domain {
			own = append(own, t)
		}
	}
	b.change(func(time.Time) { b.book.SetTargets(own) })
}

// Gone drops the holds of an instance whose process is not there.
func (b *Broker) Gone(instance string) {
	b.change(func(time.Time) { b.book.Gone(instance) })
}

// Silent notes that an instance is not heard.
func (b *Broker) Silent(instance string) {
	b.change(func(now time.Time) { b.book.Silent(now, instance) })
}

// Loaded takes in what a target of the domain says of its load.
func (b *Broker) Loaded(id string, load exchange.Load) {
	b.change(func(now time.Time) { b.book.Loaded(now, id, load) })
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
	if b.lineup.len() > 0 {
		calm := now.Sub(b.yieldedAt) >= calmAfter
		b.lineup.place(now, !calm, func(e *entry) (Grant, bool) { return b.give(now, e.instance, e.hold, e.want) })
	}
	b.lookAgain()
}

// give gives one slot. It needs the lock.
func (b *Broker) give(now time.Time, instance string, h Hold, want placement.Want) (Grant, bool) {
	grant, yields, ok := b.book.Place(now, instance, h, want)
	if !ok {
		return Grant{}, false
	}
	if want.Batch {
		filled.Inc()
	} else {
		granted.Inc()
	}
	if yields != nil {
		yielded.Inc()
		b.yieldedAt = now
		go b.askToYield(yields.instance, yields.Number)
	}
	return grant, true
}

func (b *Broker) askToYield(instance string, number uint64) {
	if !b.yield(instance, number) {
		b.change(func(now time.Time) { b.book.NotYielded(now, instance, number) })
	}
}

// Place gives a slot to an instance. If there is none, it is kept waiting for one
// as long as it wants.
func (b *Broker) Place(ctx context.Context, ask *Ask) Reply {
	now := time.Now()
	e := &entry{
		instance: ask.Instance, hold: Hold{Number: ask.Number, Due: ask.Due, Lasts: ask.Lasts}, want: ask.Want,
		onTimeUntil: now.Add(ask.OnTimeIn), arrived: now.Add(-ask.Age), placed: make(chan Grant, 1),
	}
	b.mu.Lock()
	b.book.Tell(now, ask.Told)
	b.lineup.add(e)
	b.serve(now)
	b.mu.Unlock()
	reply := Reply{}
	reply.Grant, reply.Granted = b.await(ctx, e, ask.Wait)
	b.mu.Lock()
	defer b.mu.Unlock()
	reply.Free = b.book.Free(time.Now())
	return reply
}

func (b *Broker) await(ctx context.Context, e *entry, wait time.Duration) (Grant, bool) {
	select {
	case grant := <-e.placed:
		return grant, true
	default:
	}
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case grant := <-e.placed:
			return grant, true
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lineup.remove(e)
	select {
	case grant := <-e.placed:
		// It came at the same moment.
		return grant, true
	default:
		return Grant{}, false
	}
}

// Tell takes over what an instance holds.
func (b *Broker) Tell(told *Told) {
	b.change(func(now time.Time) { b.book.Tell(now, *told) })
}

// Receiver is the net/rpc receiver, registered under ReceiverName.
type Receiver struct{ broker *Broker }

// Receiver returns the net/rpc receiver.
func (b *Broker) Receiver() *Receiver { return &Receiver{broker: b} }

// Place gives slots.
func (r *Receiver) Place(args *Ask, reply *Reply) error {
	*reply = r.broker.Place(context.Background(), args)
	return nil
}

// Tell takes over what the caller holds.
func (r *Receiver) Tell(args *Told, _ *struct{}) error {
	r.broker.Tell(args)
	return nil
}
