package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"merlintiller/internal/protocol/exchange"
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
	// workDelay is the time until a target that tells its start, but was silent, is checked once more: what it reports
	// of its runs may be some hundred ms old.
	workDelay = 600 * time.Millisecond
	// WorkKnownAfter is the time after a silent target was left by which it has shown that it works, or else its end is
	// suspected.
	WorkKnownAfter = workDelay + 3*EndKnownAfter
	// silentTTL is how long a target that neither answers nor is replaced, or whose work does not go on, is checked.
	// The processes that others supervise are killed within that time.
	silentTTL = time.Minute
	// listedTTL is the time by which the list has the next process of a target, after several heartbeats of it.
	listedTTL = 5 * time.Second
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
	// senderLostDelay is the time from the loss of an instance until the targets of its runs are checked. A partition that
	// cuts off its failure domain silences others there by then, and the targets with them. The next owner of an item waits
	// longer than that before it runs the item.
	senderLostDelay = 300 * time.Millisecond
	// silentTime is the time without data from a target after which it may have stopped while its connections are open.
	silentTime = time.Second
	// leaveNotice is the time for which a target is known to leave before an end of it is a planned one. It serves on
	// for longer than that after it has said so.
	leaveNotice = 500 * time.Millisecond
	// probeTries is the number of times that a check asks a target that accepts connections when it started. One
	// that resets some of its connections runs.
	probeTries = 3
)

// LostRequest is a request whose target closed the connection before the answer was complete, or was silent until this
// instance closed it.
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
	// Left reports that this instance closed the connection since the target was silent. It is set by Guard.Left.
	Left bool
	// Brief reports that the target was silent for no longer than usual when this instance closed the connection for
	// another reason: the caller left, or the item yielded its slot.
	Brief bool
	// SenderLost reports that the instance that sent the run is down or silent, Answered that the run had sent an event
	// then: it is not known how many.
	SenderLost, Answered bool
	// Checked is called once it is known whether the target ended, or that this is not found out. Nil: nobody waits for it.
	Checked func()
	// SentAt is when the run was sent, At when the target closed the connection. Of a run that was left, it is set to
	// DataAt.
	SentAt, At time.Time
	// DataAt is when the run was sent or last brought something, zero if that is not known.
	DataAt time.Time
}

// lived returns the last sign of life that the request had from its target. One that closes the connection after a
// long silence may have stood still until it was killed.
func (l *LostRequest) lived() time.Time {
	if l.DataAt.IsZero() || l.At.Sub(l.DataAt) < silentTime {
		return l.At
	}
	return l.DataAt
}

// suspects returns the parts that may have crashed the target: none if the run had sent an event, or may have.
func (l *LostRequest) suspects() []string {
	if l.Events != 0 {
		return nil
	}
	return l.Parts
}

// Lost records that a target closed the connection of a request before its answer was complete, or was silent.
// Whether the target has ended is checked in the background: a connection may break, and a target be slow, without that.
func (g *Guard) Lost(lost LostRequest) {
	if lost.Key == "" && len(lost.suspects()) == 0 {
		lost.checked()
		return
	}
	lost.Parts = bounded(lost.Parts)
	if !g.lost.Offer(lost) {
		lostDropped.Inc()
		lost.checked()
	}
}

// checked reports that the check of the target is complete.
func (l *LostRequest) checked() {
	if l.Checked != nil {
		l.Checked()
	}
}

// SenderLost records that the instance that sent a run is down or silent. Nobody else knows whether its target ended under
// it, so a repeat that may end a further target waits until that is known.
func (g *Guard) SenderLost(lost LostRequest) {
	lost.SenderLost = true
	if lost.Answered {
		lost.Events = unknownEvents
	}
	time.AfterFunc(senderLostDelay, func() { g.Left(lost) })
}

// Left records that this instance has ended an exchange with a target that was silent. The target may have ended
// without closing the connection, or hang and be killed later.
func (g *Guard) Left(lost LostRequest) {
	lost.Left, lost.At = true, lost.DataAt
	if lost.Trial {
		g.mu.Lock()
		g.openTrials[lost.Key] = time.Now()
		g.mu.Unlock()
	}
	g.Lost(lost)
}

// Checker finds out whether the targets of lost requests have ended. It is a background service.
type Checker struct {
	guard *Guard

	mu sync.Mutex
	// watches are the processes that are checked.
	watches map[incarnation]*watch
}

// Checker returns the background service that checks targets.
func (g *Guard) Checker() *Checker { return &Checker{guard: g, watches: map[incarnation]*watch{}} }

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
			c.watch(ctx, list)
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

// waitRunning waits until this process has run for some time without a longer stall. When a paused process goes on, all
// instances seem out of reach until their next heartbeats. It ends early when wake is signalled, and returns false if
// ctx is done first.
func (c *Checker) waitRunning(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	for range maxStalledWaits {
		running, limit := wait.WithRunTimeLimit(ctx, d)
		woken := false
		select {
		case <-running.Done():
		case <-wake:
			woken = true
		}
		_, stalled := limit.Stop()
		if ctx.Err() != nil {
			return false
		}
		if woken || stalled < tolerableStall {
			break
		}
	}
	return true
}

// probe finds out whether a process listens at the address of a lost request's target, and which. It returns the
// report of that process if it was asked for.
func (c *Checker) probe(ctx context.Context, lost *LostRequest, withReport bool) (found probe, report *exchange.Report) {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	targetProbes.Inc()
	opts := &c.guard.opts
	if opts.Targets.Refuses(ctx, lost.Address) {
		return probe{result: probeRefused}, nil
	}
	if opts.StartOf == nil {
		return probe{result: probeAccepted}, nil
	}
	startOf := opts.StartOf
	if withReport && opts.ReportOf != nil {
		startOf = func(ctx context.Context, address string) (int64, error) {
			got, err := opts.ReportOf(ctx, address)
			if err == nil {
				report = &got
			}
			return got.Started, err
		}
	}
	for range probeTries {
		started, err := startOf(ctx, lost.Address)
		if err == nil && started != 0 {
			return probe{probeTold, started}, report
		}
		if err == nil || trace.IsBadParameter(err) {
			// An answer that can't be read is that of a process as well.
			return probe{result: probeAccepted}, report
		}
		if !wait.For(ctx, crashCheckDelay) {
			break
		}
	}
	return probe{result: probeSilent}, nil
}

// reaches reports whether this instance reaches others of a failure domain. If it does not, the
// targets there may refuse it because of a network partition.
func (g *Guard) reaches(domain string) bool {
	return g.opts.ReachesDomain == nil || g.opts.ReachesDomain(domain)
}

// leaving reports whether the end of a lost request's target is planned: the target ran on after it was known to
// leave. The entry of a target that has crashed or is silent leaves the list too, and an instance that was paused
// learns of both at once.
func (g *Guard) leaving(lost *LostRequest) bool {
	if g.opts.LeavingSince != nil && lost.Started != 0 {
		since, ok := g.opts.LeavingSince(lost.Target, lost.Started)
		return ok && lost.lived().Sub(since) >= leaveNotice
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
			g.mu.Lock()
			delete(g.openTrials, list[i].Key)
			g.mu.Unlock()
			g.TrialEnded(list[i].Request, list[i].Ran)
		}
	}
}

// setStuck records whether the runs of a process go on.
func (g *Guard) setStuck(id incarnation, stuck bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if stuck {
		g.stuck[id] = true
	} else {
		delete(g.stuck, id)
	}
}

// targetEnded records that the target of lost requests ended, or that it did not, and logs it for each
// of them.
func (g *Guard) targetEnded(list []LostRequest, state EndState, why endReason) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range list {
		lost := &list[i]
		if lost.Key == "" {
			continue
		}
		delete(g.openTrials, lost.Key)
		known, changed := g.evidence.TargetEnded(now, lost, state)
		_ = level.Info(g.opts.Logger).Log("event", "request_target_ended", "request", lost.ID, "key", lost.Key, "target", lost.Target,
			"started", lost.Started, "state", state, "why", why, "left", lost.Left, "events", lost.Events, "position", lost.Position,
			"sent_ms", now.Sub(lost.SentAt).Milliseconds(), "lost_ms", now.Sub(lost.At).Milliseconds(),
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
