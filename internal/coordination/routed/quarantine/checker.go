package quarantine

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/wait"
)

const (
	// crashCheckDelay is the time from a lost answer until its target is checked: the process
	// closes its connections and its listener one after the other.
	crashCheckDelay = 10 * time.Millisecond
	// EndKnownAfter is the time after a lost answer by which it is known whether its target ended, if
	// that refuses the connection of the check. Other targets answer it in the same time.
	EndKnownAfter = 5 * crashCheckDelay
	// crashCheckTimeout bounds a check.
	crashCheckTimeout = 250 * time.Millisecond
	// confirmDelay is the time until a target that refused a connection is checked once more. By
	// then a network partition that refuses connections has been noticed: it is longer than the
	// silence timeout of instances in a large fleet.
	confirmDelay = 1500 * time.Millisecond
)

// LostRequest is a request whose target closed the connection before the answer was complete.
type LostRequest struct {
	Request
	// Target is the id of the target, Address where it was, and Started the start of its
	// incarnation in Unix milliseconds.
	Target, Address string
	// Domain is the failure domain of the target.
	Domain  string
	Started int64
	// Events is the number of events that the run had sent, Position that of the last event of all
	// runs.
	Events, Position int
	// Ran is how long targets have worked on the request since its last end, counted from the first
	// event of each run.
	Ran time.Duration
	// Trial reports that the run was the trial of something closed.
	Trial bool
	At    time.Time
}

// suspects returns the parts that may have crashed the target: none if the run had sent an event.
func (l *LostRequest) suspects() []string {
	if l.Events > 0 {
		return nil
	}
	return l.Parts
}

// Lost records that a target closed the connection of a request before its answer was complete.
// Whether the target has crashed is checked in the background: a connection may break without that.
func (g *Guard) Lost(lost LostRequest) {
	if lost.Key == "" && len(lost.suspects()) == 0 {
		return
	}
	lost.Parts = bounded(lost.Parts)
	if !g.lost.Offer(lost) {
		lostDropped.Inc()
	}
}

// Checker finds out whether the targets of lost requests have crashed. It is a background
// service.
type Checker struct{ guard *Guard }

// Checker returns the background service that checks targets.
func (g *Guard) Checker() *Checker { return &Checker{g} }

// String returns the name of the background service.
func (c *Checker) String() string { return "crash-checker" }

// Serve checks targets until ctx ends.
func (c *Checker) Serve(ctx context.Context) error {
	for {
		lost, err := c.guard.lost.Take(ctx)
		if err != nil {
			return err
		}
		wait.For(ctx, crashCheckDelay)
		for _, list := range byTarget(c.withWaiting(lost)) {
			go c.check(ctx, list)
		}
	}
}

// withWaiting returns a lost request with the others that wait for a check.
func (c *Checker) withWaiting(lost LostRequest) []LostRequest {
	batch := []LostRequest{lost}
	for {
		further, ok := c.guard.lost.TryTake()
		if !ok {
			return batch
		}
		batch = append(batch, further)
	}
}

// byTarget groups lost requests by the incarnation of their targets.
func byTarget(batch []LostRequest) (groups [][]LostRequest) {
	for _, lost := range batch {
		at := slices.IndexFunc(groups, func(g []LostRequest) bool { return g[0].Target == lost.Target && g[0].Started == lost.Started })
		if at < 0 {
			groups = append(groups, nil)
			at = len(groups) - 1
		}
		groups[at] = append(groups[at], lost)
	}
	return groups
}

// check checks the target of lost requests and records its crash. The requests are suspected after
// the first check, since their callers repeat them before the second one.
func (c *Checker) check(ctx context.Context, lost []LostRequest) {
	found := findings{leaving: c.guard.leaving(&lost[0])}
	if !found.leaving {
		found.first = c.probe(ctx, &lost[0])
	}
	crashed := false
	if !found.first.refused {
		c.guard.answersLost(lost)
	} else {
		c.guard.targetEnded(lost, EndSuspected)
		crashed = c.confirm(ctx, &lost[0], &found)
		state := EndDismissed
		if crashed {
			state = EndConfirmed
		}
		c.guard.targetEnded(lost, state)
	}
	parts := partsOf(lost)
	fields := []any{"event", "target_crash_checked", "target", lost[0].Target, "started", lost[0].Started, "crashed", crashed,
		"parts", strings.Join(parts, ","), "requests", len(lost), "lost_ms", time.Since(lost[0].At).Milliseconds()}
	_ = level.Info(c.guard.opts.Logger).Log(append(fields, found.logFields()...)...)
	if !crashed {
		return
	}
	crashesSeen.Inc()
	if len(parts) > 0 {
		c.guard.crashed(&lost[0], parts)
	}
}

// confirm checks a target once more that has refused a connection. A target that is back soon accepts
// connections, but is listed as another incarnation.
func (c *Checker) confirm(ctx context.Context, lost *LostRequest, found *findings) bool {
	if !wait.For(ctx, confirmDelay) {
		return false
	}
	if found.unreachable = !c.guard.reaches(lost.Domain); found.unreachable {
		return false
	}
	found.second = c.probe(ctx, lost)
	if found.second.refused {
		return true
	}
	found.replaced = c.guard.replaced(lost)
	return found.replaced
}

// findings are what the checks of a target found.
type findings struct {
	first, second probe
	// leaving reports that the end of the target is planned, unreachable that no instance of its failure domain is
	// reached, replaced that another incarnation is listed at its address.
	leaving, unreachable, replaced bool
}

// logFields returns the fields that the log line of a check has about what it found.
func (f *findings) logFields() []any {
	return []any{
		"first", f.first.String(), "first_started", f.first.started, "second", f.second.String(), "second_started", f.second.started,
		"leaving", f.leaving, "unreachable", f.unreachable, "replaced", f.replaced,
	}
}

// probe is what a connection to a target's address found. It is zero if none was made.
type probe struct {
	accepted, refused bool
	// started is when the process there started, as it tells, 0 if it did not tell.
	started int64
}

// String returns the result of a probe in logs.
func (p probe) String() string {
	switch {
	case p.refused:
		return "refused"
	case p.accepted:
		return "accepted"
	default:
		return "none"
	}
}

// probe finds out whether the address of a lost request's target refuses connections and, if not, when the process
// there started.
func (c *Checker) probe(ctx context.Context, lost *LostRequest) probe {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	targetProbes.Inc()
	opts := &c.guard.opts
	if opts.Targets.Refuses(ctx, lost.Address) {
		return probe{refused: true}
	}
	found := probe{accepted: true}
	if opts.StartOf != nil {
		found.started = opts.StartOf(ctx, lost.Address)
	}
	return found
}

// reaches reports whether this instance reaches others of a failure domain. If it does not, the
// targets there may refuse it because of a network partition.
func (g *Guard) reaches(domain string) bool {
	return g.opts.ReachesDomain == nil || g.opts.ReachesDomain(domain)
}

// leaving reports whether the end of a lost request's target is planned.
func (g *Guard) leaving(lost *LostRequest) bool {
	return g.opts.Leaving != nil && g.opts.Leaving(lost.Target)
}

// replaced reports whether the address of a lost request's target now belongs to another incarnation.
func (g *Guard) replaced(lost *LostRequest) bool {
	return g.opts.Replaced != nil && g.opts.Replaced(lost.Address, lost.Started)
}

// partsOf returns the parts that may have crashed the target of some requests, each once.
func partsOf(list []LostRequest) (parts []string) {
	for _, lost := range list {
		parts = append(parts, lost.suspects()...)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// crashed records that the target of a lost request has crashed.
func (g *Guard) crashed(lost *LostRequest, parts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evidence.Crashed(lost.At, lost.Target, lost.Started, parts)
	g.wake()
}

// saveClosure makes the keeper write the closure of a request again, if it is closed: a start of all
// instances must not forget that a trial has failed. The caller holds the lock.
func (g *Guard) saveClosure(key string) {
	if c := g.evidence.closures.all[key]; c != nil && c.closed() {
		g.keeper.save(c.report(time.Now()))
	}
}

// answersLost records that the answers of requests were lost although their target runs, or its end is planned.
func (g *Guard) answersLost(list []LostRequest) {
	for i := range list {
		if list[i].Trial {
			g.TrialEnded(list[i].Request, list[i].Ran)
		}
	}
}

// targetEnded records that the target of lost requests ended, or that it did not, and logs it for each
// of them.
func (g *Guard) targetEnded(list []LostRequest, state EndState) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range list {
		lost := &list[i]
		if lost.Key == "" {
			continue
		}
		known, changed := g.evidence.TargetEnded(now, lost, state)
		_ = level.Info(g.opts.Logger).Log("event", "request_target_ended", "request", lost.ID, "key", lost.Key, "target", lost.Target,
			"started", lost.Started, "state", state, "events", lost.Events, "position", lost.Position, "lost_ms", now.Sub(lost.At).Milliseconds(),
			"ends", g.evidence.Ends(lost.Key), "ran_ms", lost.Ran.Milliseconds(), "verdict", g.evidence.verdictOn(lost.Key), "known", known.describe())
		if changed {
			g.endsChanged()
			g.saveClosure(lost.Key)
		}
		// Targets that ended together with this one may have become known since the first check.
		if changed || state == EndConfirmed && known.metCommonFailure() {
			g.keeper.saveEnds(lost.Key)
		}
	}
}
