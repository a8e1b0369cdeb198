package broker

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/wait"
)

const (
	// askTimeout bounds an ask beside the time that it waits. A broker answers
	// within a millisecond or two; one that does not is gone around, and the
	// request must still be on time.
	askTimeout = 60 * time.Millisecond
	// badFor is how long a broker is left alone that did not answer.
	badFor = time.Second
	// waitChunk is how long a request waits at one broker until it asks the
	// others once more.
	waitChunk = 100 * time.Millisecond
	// itemWait is the same for a batch item.
	itemWait = 200 * time.Millisecond
	// freeFresh is how long it is believed that a domain has no free slot.
	freeFresh = 50 * time.Millisecond
	// tellEvery is how often a broker is told all that is held.
	tellEvery = 400 * time.Millisecond
)

var (
	asks       = metrics.NewCounter(`broker_asks_total{outcome="answered"}`)
	unanswered = metrics.NewCounter(`broker_asks_total{outcome="failed"}`)
	// loadReports counts what brokers were told of targets that had more to do
	// than they knew.
	loadReports = metrics.NewCounter(`broker_load_reports_total`)
	unbrokered  = metrics.NewCounter(`broker_choices_without_total`)
)

// Peers are the other instances.
type Peers interface {
	// Up gives the instances of a failure domain that are heard and do not leave.
	Up(domain string) []mesh.Instance
	// CountNotDown counts the instances of a failure domain whose processes are not known to be
	// gone.
	CountNotDown(domain string) int
}

// ClientOptions make a Client.
type ClientOptions struct {
	Self   mesh.Instance
	Peers  Peers
	Caller protocol.Caller
	// Broker is this instance's own, for the times when it is the first.
	Broker *Broker
	// Local decides where no broker answers, and knows which targets this
	// instance does not trust.
	Local *placement.Placer
	// Connected says that an idle connection to an address is kept.
	Connected func(address string) bool
	Logger    log.Logger
}

// Client asks brokers for slots. It is a duty and safe for concurrent use.
type Client struct {
	opts ClientOptions

	mu      sync.Mutex
	number  uint64
	held    map[uint64]Hold
	targets map[string]roster.Target
	domains map[string]*domain
	outbox  map[string]*outbox
	bad     map[string]time.Time
	told    map[string]time.Time
	ranked  map[string]*ranking
	// failedAt is when the failure of a target was reported last.
	failedAt map[string]time.Time
}

// domain is what is known of the targets of one failure domain.
type domain struct {
	// free are the slots that its broker said are left, at a time.
	free int
	at   time.Time
}

// NewClient returns a client that holds nothing.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts: opts, held: map[uint64]Hold{}, targets: map[string]roster.Target{}, domains: map[string]*domain{},
		outbox: map[string]*outbox{}, bad: map[string]time.Time{}, told: map[string]time.Time{}, ranked: map[string]*ranking{},
		failedAt: map[string]time.Time{},
	}
}

// SetTargets takes over the targets that may be used.
func (c *Client) SetTargets(list []roster.Target) {
	c.opts.Local.SetTargets(list)
	c.opts.Broker.SetTargets(list)
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.targets)
	for _, t := range list {
		c.targets[t.ID] = t
		if c.domains[t.Domain] == nil {
			c.domains[t.Domain] = &domain{}
		}
	}
}

// Place chooses a target for an online request and counts it there until Done.
// While all are full it waits; it fails if none is known, or if the patience or
// ctx ends.
func (c *Client) Place(ctx context.Context, want placement.Want, patience placement.Patience) (placement.Choice, bool) {
	began := time.Now()
	waitAt := ""
	for {
		choice, answered := c.tryAll(ctx, want, patience, began, waitAt != "")
		if choice.ID != "" {
			return choice, true
		}
		if answered == "" {
			unbrokered.Inc()
			return c.opts.Local.Place(ctx, want, patience)
		}
		waitAt = answered
		left := time.Until(patience.Until)
		if left <= 0 || ctx.Err() != nil {
			return placement.Choice{}, false
		}
		choice, _ = c.ask(ctx, waitAt, want, patience, began, min(left, waitChunk))
		if choice.ID != "" {
			return choice, true
		}
	}
}

// tryAll asks the brokers of all domains, the own one first. It also gives the
// first domain whose broker answered. Domains that had no slot a moment ago are
// left out of a second round.
func (c *Client) tryAll(ctx context.Context, want placement.Want, patience placement.Patience, began time.Time, again bool) (placement.Choice, string) {
	answered := ""
	for _, name := range c.order(want) {
		if again && name != c.opts.Self.Domain && c.knownFull(name) {
			continue
		}
		choice, ok := c.ask(ctx, name, want, patience, began, 0)
		if choice.ID != "" {
			return choice, name
		}
		if ok && answered == "" {
			answered = name
		}
	}
	return placement.Choice{}, answered
}

// ask asks the broker of one domain for one slot. It is not ok if none answers.
func (c *Client) ask(ctx context.Context, name string, want placement.Want, patience placement.Patience, began time.Time, wait time.Duration) (choice placement.Choice, ok bool) {
	now := time.Now()
	ask := &Ask{
		Domain: name, Want: want, Wait: wait,
		OnTimeIn: patience.OnTimeUntil.Sub(now), Age: now.Sub(began),
	}
	return c.send(ctx, ask)
}

// Item is a batch item that wants a slot.
type Item struct {
	Service string
	// Due is when it is due, BeginBy when it must have begun to be done by then.
	Due, BeginBy time.Time
	// Lasts is how long a target is busy with it at most.
	Lasts time.Duration
}

// PlaceItem chooses a target of one failure domain for a batch item, and waits a
// while for a slot. If no broker of the domain answers, it decides by itself among
// the domain's targets.
//
// What goes wrong if it then chose among all: a failure domain is cut off, and each
// item that would have gone there goes to targets of the others past their brokers.
// They get twice what they have slots for, and online requests wait in their queues.
func (c *Client) PlaceItem(ctx context.Context, name string, item Item) (placement.Choice, bool) {
	ask := &Ask{
		Domain: name, Want: placement.Want{Service: item.Service, Batch: true}, Wait: itemWait,
		OnTimeIn: time.Until(item.BeginBy), Due: item.Due.UnixMilli(), Lasts: item.Lasts,
	}
	choice, answered := c.send(ctx, ask)
	if answered {
		return choice, choice.ID != ""
	}
	choice, ok := c.opts.Local.Pick(placement.Want{Service: item.Service, Domain: name, Batch: true})
	if !ok {
		wait.For(ctx, itemWait)
		return choice, false
	}
	unbrokered.Inc()
	return choice, true
}

// Domains gives the failure domains that have targets, the own one first.
func (c *Client) Domains() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	has := map[string]bool{}
	for _, t := range c.targets {
		has[t.Domain] = true
	}
	return ordered(has, c.opts.Self.Domain, func(string) int { return 0 })
}

// order gives the failure domains with targets of a service, the own one first
// and then those that had the most free slots.
func (c *Client) order(want placement.Want) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	has := map[string]bool{}
	for _, t := range c.targets {
		if t.Service == want.Service {
			has[t.Domain] = true
		}
	}
	return ordered(has, c.opts.Self.Domain, func(name string) int { return c.domains[name].free })
}

func (c *Client) knownFull(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.domains[name]
	return d != nil && d.free == 0 && time.Since(d.at) < freeFresh
}

// send sends an ask to the broker of its domain, and to the next one if that does
// not answer.
func (c *Client) send(ctx context.Context, ask *Ask) (choice placement.Choice, answered bool) {
	ask.Want.Exclude = append(c.opts.Local.Distrusted(ask.Want), ask.Want.Exclude...)
	ask.Want.Connected = c.connected(ask.Domain, ask.Want.Service)
	ask.Number = c.nextNumber()
	for _, address := range c.Brokers(ask.Domain) {
		reply, err := c.sendTo(ctx, address, ask)
		if err != nil {
			c.failed(address, ask.Domain, err)
			continue
		}
		asks.Inc()
		return c.take(address, ask, reply), true
	}
	return placement.Choice{}, false
}

func (c *Client) sendTo(ctx context.Context, address string, ask *Ask) (Reply, error) {
	ask.Told = c.toldOf(address, ask.Domain, false)
	if address == c.opts.Self.Address {
		return c.opts.Broker.Place(ctx, ask), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout+ask.Wait)
	defer cancel()
	var reply Reply
	err := c.opts.Caller.Call(ctx, address, methodPlace, ask, &reply)
	return reply, err
}

// failed leaves a broker alone for a while. A slot that it gave all the same is
// free again once it is told what is held.
func (c *Client) failed(address, name string, err error) {
	unanswered.Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bad[address] = time.Now().Add(badFor)
	_ = level.Info(c.opts.Logger).Log("event", "broker_unanswered", "broker", address, "domain", name, "err", err)
}

// take counts the slot that was given, if one was.
func (c *Client) take(address string, ask *Ask, reply Reply) placement.Choice {
	c.mu.Lock()
	if d := c.domains[ask.Domain]; d != nil {
		d.free, d.at = reply.Free, time.Now()
	}
	if reply.Granted {
		c.held[ask.Number] = Hold{Number: ask.Number, Target: reply.Grant.Target.ID, Batch: ask.Want.Batch, Due: ask.Due, Lasts: ask.Lasts, Run: ask.Want.Run}
	}
	c.mu.Unlock()
	if !reply.Granted {
		return placement.Choice{}
	}
	choice := c.opts.Local.Take(reply.Grant.Target, ask.Want.Batch)
	choice.Busy, choice.Unseen, choice.Slots = reply.Grant.Busy, reply.Grant.Unsure, reply.Grant.Slots
	choice.Number, choice.Broker = ask.Number, address
	return choice
}

func (c *Client) nextNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return c.number
}

// connected gives the targets of a domain to which a connection is kept.
func (c *Client) connected(name, service string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, t := range c.targets {
		if t.Domain == name && t.Service == service && c.opts.Connected(t.Address) {
			out = append(out, id)
		}
	}
	return out
}

// Done ends the exchange of a choice.
func (c *Client) Done(choice placement.Choice, result placement.Result) {
	c.opts.Local.Done(choice, result)
	c.reportFailure(choice, result)
	if choice.Number == 0 {
		return
	}
	c.mu.Lock()
	delete(c.held, choice.Number)
	c.mu.Unlock()
	c.release(choice.Broker, choice.Number)
}

// Runs notes under which id the target of a choice runs a batch item.
func (c *Client) Runs(choice placement.Choice, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.held[choice.Number]; ok {
		h.Run = id
		c.held[choice.Number] = h
	}
}

// Known says whether any target of a service may be used.
func (c *Client) Known(service string) bool { return c.opts.Local.Known(service) }

// TryPlace chooses a target for an online request that has one already. It waits
// for none.
func (c *Client) TryPlace(ctx context.Context, want placement.Want) (placement.Choice, bool) {
	now := time.Now()
	choice, answered := c.tryAll(ctx, want, placement.Patience{OnTimeUntil: now, Until: now}, now, false)
	if choice.ID == "" && answered == "" {
		return c.opts.Local.Pick(want)
	}
	return choice, choice.ID != ""
}

// Heard notes that something came from a target.
func (c *Client) Heard(id string) { c.opts.Local.Heard(id) }

// Waiting notes that an exchange waits longer than it should, see
// placement.Placer.
func (c *Client) Waiting(choice placement.Choice) (goesOn func()) {
	return c.opts.Local.Waiting(choice)
}
