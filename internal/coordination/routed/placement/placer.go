package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

// pollInterval is how often a waiting request checks for a free slot while no broker
// answers. Other instances report the slots that they free several times a second.
const pollInterval = 20 * time.Millisecond

// Placer is a Core that is safe for concurrent use.
type Placer struct {
	mu   sync.Mutex
	core *Core
}

// NewPlacer returns a placer without targets.
func NewPlacer(domain string, connected func(address string) bool, seed uint64) *Placer {
	p := &Placer{core: New(Options{
		Domain: domain, Connected: connected,
		Random: rand.New(rand.NewPCG(seed, seed)),
	})}
	metrics.GetOrCreateGauge(`slots_used{kind="online"}`, func() float64 {
		online, _ := p.totalInFlight()
		return float64(online)
	})
	metrics.GetOrCreateGauge(`slots_used{kind="batch"}`, func() float64 {
		_, batch := p.totalInFlight()
		return float64(batch)
	})
	metrics.GetOrCreateGauge("targets_replaced", func() float64 { return float64(len(p.Replaced(""))) })
	metrics.GetOrCreateGauge("targets_with_pace", func() float64 { return float64(p.targetsWithPace()) })
	return p
}

// totalInFlight returns the requests of this instance in flight at all targets.
func (p *Placer) totalInFlight() (online, batch int) {
	for _, n := range p.InFlight() {
		online += n.Online
		batch += n.Batch
	}
	return online, batch
}

// SetTargets replaces the list of usable targets.
func (p *Placer) SetTargets(list []roster.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetTargets(list)
}

// SetPeer replaces the counts of another instance.
func (p *Placer) SetPeer(name string, counts []InFlight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetPeer(name, counts)
}

// InFlight returns the requests of this instance in flight at each target.
func (p *Placer) InFlight() []InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.InFlight()
}

// WaitLimits bound how long a request may wait for a slot.
type WaitLimits struct {
	// SendBy is when the request must be sent for its answer to be on time.
	SendBy time.Time
	// Deadline is when the request stops waiting.
	Deadline time.Time
	// RejectBy is until when the request may be rejected if no broker expects a slot for it.
	// Zero: it must not be rejected before Deadline.
	RejectBy time.Time
	// Organisation and Weight decide on its share while slots are scarce.
	Organisation string
	Weight       float64
}

// Place chooses a target for an online request and counts it there until Done. It waits
// while all targets are full. It fails if no target is known, at the deadline, or when ctx
// ends. It is used only while no broker answers.
func (p *Placer) Place(ctx context.Context, req Requirements, limits WaitLimits) (Choice, bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if choice, ok := p.Pick(req); ok {
			return choice, true
		}
		if !p.HasTargets(req) || !time.Now().Before(limits.Deadline) {
			return Choice{}, false
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Choice{}, false
		}
	}
}

// SetDomainSilent records whether all instances of a failure domain are silent.
func (p *Placer) SetDomainSilent(domain string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetDomainSilent(time.Now(), domain, silent)
}

// Pick chooses a target and counts the request there until Done. It fails if no target is
// known or all are full.
func (p *Placer) Pick(req Requirements) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Pick(time.Now(), req)
}

// Done ends the exchange of a choice.
func (p *Placer) Done(choice Choice, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Done(time.Now(), choice, result)
}

// ApplyLoad applies a load report of a target. load may be nil.
func (p *Placer) ApplyLoad(id string, load *exchange.Load) {
	if load == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.ApplyLoad(time.Now(), id, *load)
}

// KnowsReplaced reports whether a target is already known to be replaced.
func (p *Placer) KnowsReplaced(entry roster.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.KnowsReplaced(entry)
}

// Replaced returns the entries of a failure domain's targets whose addresses other targets use.
func (p *Placer) Replaced(domain string) []roster.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Replaced(domain)
}

// ReportsPace reports whether targets of a service report how long work takes at them.
func (p *Placer) ReportsPace(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.ReportsPace(service)
}

// Acquire counts a request at a target that a broker chose.
func (p *Placer) Acquire(target roster.Target, batch bool) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, ok := p.core.Acquire(time.Now(), target.ID, batch)
	if !ok {
		// This instance has already removed the target from its list or not yet added it.
		return Choice{Target: target, batch: batch}
	}
	return choice
}

// Untrusted returns the targets to which a request should not be sent. It returns none if
// there is no other target: then each may be tried.
func (p *Placer) Untrusted(req Requirements) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Untrusted(time.Now(), req)
}

// HasTargets reports whether the list contains a target that may be chosen, regardless of its
// load and health.
func (p *Placer) HasTargets(req Requirements) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.HasTargets(req)
}

// MarkStalled records that an exchange is waiting longer than it should. The returned
// function removes the record; further calls have no effect. It is nil if the target is only
// busy.
func (p *Placer) MarkStalled(choice Choice) (unmark func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.core.MarkStalled(time.Now(), choice) {
		return nil
	}
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.core.ClearStalled(choice)
	})
}

// DataReceived records that data arrived from a target.
func (p *Placer) DataReceived(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.DataReceived(time.Now(), id)
}

// DataAt returns when data last arrived from a target, zero if none has.
func (p *Placer) DataAt(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.DataAt(id)
}
