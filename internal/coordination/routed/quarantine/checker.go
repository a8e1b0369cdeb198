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
	// EndKnownAfter is the time after a lost answer by which its target has proved that it runs, or else its end is
	// suspected.
	EndKnownAfter = 5 * crashCheckDelay
	// crashCheckTimeout bounds a check.
	crashCheckTimeout = 250 * time.Millisecond
	// confirmDelay is the time until a target that did not prove that it runs is checked once more. By
	// then a network partition that refuses connections has been noticed: it is longer than the
	// silence timeout of instances in a large fleet.
	confirmDelay = 1500 * time.Millisecond
	// maxRecheckDelay bounds the time between two checks of a target whose end could not be confirmed since its
	// failure domain is out of reach. It doubles from confirmDelay.
	maxRecheckDelay = 12 * time.Second
	// tolerableStall is the time for which this process may not run before a check without that its wait is
	// repeated, maxStalledWaits times at most: it is less than the silence timeout of instances.
	tolerableStall  = 300 * time.Millisecond
	maxStalledWaits = 4
	// proofTimeout is the time from the first check by which a target has to prove that it runs, or else the
	// requests count as suspected. Together with crashCheckDelay it is less than EndKnownAfter.
	proofTimeout = 3 * crashCheckDelay
	// leaveNotice is the time for which a target is known to leave before an end of it is a planned one. It serves on
	// for longer than that after it has said so.
	leaveNotice = 500 * time.Millisecond
	// probeTries is the number of times that a check asks a target that accepts connections when it started. One
	// that resets some of its connections runs.
	probeTries = 3
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

// check checks the target of lost requests until it is known whether that has ended.
func (c *Checker) check(ctx context.Context, lost []LostRequest) {
	found, suspected := c.firstCheck(ctx, lost)
	if found.state == EndSuspected {
		suspected = true
		found = c.checkAgain(ctx, &lost[0], confirmDelay)
	}
	c.conclude(lost, &found, suspected)
	unconfirmedSince, delay := time.Now(), confirmDelay
	for found.reason == endUnreachable && time.Since(unconfirmedSince) < crashTTL {
		delay = min(2*delay, maxRecheckDelay)
		if found = c.checkAgain(ctx, &lost[0], delay); found.state == EndConfirmed {
			found.state = EndConfirmedLater
		}
		if found.reason != endUnreachable {
			c.conclude(lost, &found, true)
		}
	}
}

// firstCheck checks a target for the first time. Without a proof that it runs, the requests are suspected: their callers
// repeat them before the second check.
func (c *Checker) firstCheck(ctx context.Context, lost []LostRequest) (found finding, suspected bool) {
	if c.guard.leaving(&lost[0]) {
		return finding{state: EndDismissed, reason: endPlanned}, false
	}
	first, suspected := c.firstProbe(ctx, lost)
	found = first.judgeFirst(lost[0].Started)
	found.probe = first
	if found.state == EndSuspected && !suspected {
		c.guard.targetEnded(lost, EndSuspected)
	}
	return found, suspected
}

// conclude records and logs what checks of a target have found. suspected reports that its end has counted until now,
// or is known as dismissed.
func (c *Checker) conclude(lost []LostRequest, found *finding, suspected bool) {
	if found.reason == endReplaced {
		c.guard.recordSuccessor(incarnation{lost[0].Target, lost[0].Started}, found.probe.started)
	}
	crashed := found.state >= EndConfirmed
	if suspected || crashed {
		c.guard.targetEnded(lost, found.state)
	} else {
		c.guard.answersLost(lost)
	}
	parts := partsOf(lost)
	_ = level.Info(c.guard.opts.Logger).Log("event", "target_crash_checked", "target", lost[0].Target, "started", lost[0].Started, "crashed", crashed,
		"parts", strings.Join(parts, ","), "requests", len(lost), "lost_ms", time.Since(lost[0].At).Milliseconds(),
		"why", found.reason, "found", found.probe.result, "found_started", found.probe.started)
	endChecks[found.reason].Inc()
	if !crashed {
		return
	}
	crashesSeen.Inc()
	if len(parts) > 0 {
		c.guard.crashed(&lost[0], parts)
	}
}

// firstProbe checks a target for the first time. It reports whether the requests are suspected already, because the
// target has not answered by the time at which a repeat has to know.
func (c *Checker) firstProbe(ctx context.Context, lost []LostRequest) (first probe, suspected bool) {
	done := make(chan probe, 1)
	go func() { done <- c.probe(ctx, &lost[0]) }()
	overdue := time.NewTimer(proofTimeout)
	defer overdue.Stop()
	select {
	case first = <-done:
		return first, false
	case <-overdue.C:
		c.guard.targetEnded(lost, EndSuspected)
		return <-done, true
	}
}

// checkAgain checks once more, after a delay, a target that gave no proof that it runs.
func (c *Checker) checkAgain(ctx context.Context, lost *LostRequest, delay time.Duration) finding {
	if !c.waitRunning(ctx, delay) {
		return finding{state: EndSuspected, reason: endUnknown}
	}
	again := c.probe(ctx, lost)
	found := again.judgeSecond(lost.Started, c.guard.reaches(lost.Domain), c.guard.replaced(lost))
	found.probe = again
	return found
}

// waitRunning waits until this process has run for some time without a longer stall. When a paused process goes on, all
// instances seem out of reach until their next heartbeats. It returns false if ctx is done first.
func (c *Checker) waitRunning(ctx context.Context, d time.Duration) bool {
	for range maxStalledWaits {
		running, limit := wait.WithRunTimeLimit(ctx, d)
		<-running.Done()
		_, stalled := limit.Stop()
		if ctx.Err() != nil {
			return false
		}
		if stalled < tolerableStall {
			break
		}
	}
	return true
}

// probe finds out whether a process listens at the address of a lost request's target, and which.
func (c *Checker) probe(ctx context.Context, lost *LostRequest) probe {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	targetProbes.Inc()
	opts := &c.guard.opts
	if opts.Targets.Refuses(ctx, lost.Address) {
		return probe{result: probeRefused}
	}
	if opts.StartOf == nil {
		return probe{result: probeAccepted}
	}
	for range probeTries {
		started, err := opts.StartOf(ctx, lost.Address)
		if err == nil && started != 0 {
			return probe{probeTold, started}
		}
		if err == nil {
			return probe{result: probeAccepted}
		}
		if !wait.For(ctx, crashCheckDelay) {
			break
		}
	}
	return probe{result: probeSilent}
}

// reaches reports whether this instance reaches others of a failure domain. If it does not, the
// targets there may refuse it because of a network partition.
func (g *Guard) reaches(domain string) bool {
	return g.opts.ReachesDomain == nil || g.opts.ReachesDomain(domain)
}

// leaving reports whether the end of a lost request's target is planned. The entry of a target that has crashed
// leaves the list too, and an instance that was paused learns of both at once.
func (g *Guard) leaving(lost *LostRequest) bool {
	if g.opts.LeavingSince != nil && lost.Started != 0 {
		since, ok := g.opts.LeavingSince(lost.Target, lost.Started)
		return ok && lost.At.Sub(since) >= leaveNotice
	}
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
