package quarantine

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/ring"
	"merlintiller/internal/wait"
)

const (
	// maxParts bounds the parts of a prompt that are considered, maxPartLength the length of
	// their ids in bytes. Longer ids are cut.
	maxParts      = 12
	maxPartLength = 64
	// lostQueueSize is the number of lost requests that wait for the check of their targets.
	lostQueueSize = 256
	// idleInterval is how often expired evidence is removed. While something is closed, the guard wakes each
	// watchInterval, to notice that the process did not run.
	idleInterval  = 30 * time.Second
	watchInterval = time.Second
	// catchUpTime is the time after a pause of this process by which it has read what others sent meanwhile.
	catchUpTime = 100 * time.Millisecond
)

var (
	crashesSeen  = metrics.NewCounter(`target_crashes_seen_total`)
	targetProbes = metrics.NewCounter(`target_crash_checks_total`)
	lostDropped  = metrics.NewCounter(`target_crash_checks_dropped_total`)
)

// Listener checks whether a process listens at a target's address.
type Listener interface {
	// Refuses reports whether the address refuses connections.
	Refuses(ctx context.Context, address string) bool
}

// Options configure a Guard.
type Options struct {
	// Self is the name of this instance.
	Self    string
	Targets Listener
	// ReachesDomain reports whether this instance reaches others of a failure domain, or none is
	// known there. Nil: it always does.
	ReachesDomain func(domain string) bool
	// Leaving reports whether a target is leaving or has left, so that its end is planned. Replaced
	// reports whether a later incarnation than the given one is listed at an address. Nil: none.
	Leaving  func(target string) bool
	Replaced func(address string, started int64) bool
	// LeavingSince returns since when an incarnation of a target is known to leave, false if it is not. Leaving, which
	// doesn't tell whether the target left before it ended, is for targets whose start is not known. Nil: no start is.
	LeavingSince func(target string, started int64) (time.Time, bool)
	// StartOf asks the process at an address when it started, in Unix milliseconds. 0: it does not tell. Nil: no
	// process does.
	StartOf func(ctx context.Context, address string) (int64, error)
	// ReportOf asks the process at an address for its report. Nil: its work is not known. DataAt returns when this
	// instance last received data from a target, zero if it has not. Nil: that is not known.
	ReportOf func(ctx context.Context, address string) (exchange.Report, error)
	DataAt   func(target string) time.Time
	// Listed returns the number of listed targets. Nil: it is not known.
	Listed func() int
	// ResumedAt returns when this process last went on after it had not run for a time, zero if it always ran. Nil: it
	// always runs.
	ResumedAt func() time.Time
	// Store keeps what is closed, in Partition. Seed seeds the jitter of its reads.
	Store     Store
	Partition external.Partition
	Seed      uint64
	Logger    log.Logger
}

// Guard decides which requests may go to targets, and collects the evidence for it. It is a
// background service and safe for concurrent use.
type Guard struct {
	opts Options
	// anyClosed is set while a part may be closed, so that most requests need no lock for Check.
	anyClosed atomic.Bool
	// anyEnds is set while targets may have ended under requests, so that most completed requests
	// need no lock.
	anyEnds atomic.Bool
	// anyEnded is set while a target has ended lately, or was replaced under its id, so that most requests
	// need no lock for Running.
	anyEnded atomic.Bool
	lost     *ring.Ring[LostRequest]
	// changed wakes Serve.
	changed chan struct{}
	// urgent is signalled when other instances have to learn of ended targets at once.
	urgent chan struct{}
	keeper *Keeper

	mu       sync.Mutex
	evidence *Evidence
	// openTrials are the requests whose trial was left in silence, and since when.
	openTrials map[string]time.Time
	// stuck are the processes of targets whose runs do not go on, as this instance has found.
	stuck map[incarnation]bool
	// clock tells for how long this process did not run, stalled is what it told last.
	clock   wait.RunClock
	stalled time.Duration
}

// New returns a guard without evidence.
func New(opts Options) *Guard {
	g := &Guard{
		opts: opts, lost: ring.New[LostRequest]("crash_checks", lostQueueSize), changed: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		evidence: NewEvidence(opts.Self), openTrials: map[string]time.Time{}, stuck: map[incarnation]bool{},
	}
	g.evidence.watchedSince = time.Now()
	g.keeper = newKeeper(g)
	metrics.GetOrCreateGauge(`parts_closed`, func() float64 { return float64(g.countClosed(false)) })
	metrics.GetOrCreateGauge(`requests_closed`, func() float64 { return float64(g.countClosed(true)) })
	return g
}

// bounded returns the ids of parts within the bounds on their number and length.
func bounded(parts []string) []string {
	out := make([]string, 0, min(len(parts), maxParts))
	for _, part := range parts[:min(len(parts), maxParts)] {
		out = append(out, part[:min(len(part), maxPartLength)])
	}
	return out
}

// Check decides whether a request may go to a target.
func (g *Guard) Check(r Request) Decision {
	if !g.anyClosed.Load() {
		return Decision{}
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	decision := g.evidence.check(now, r.subjects(), r.Expires)
	if decision.Trial {
		g.logClosure(eventTrial, &decision.Closure)
	}
	return decision
}

// CatchUp returns once this process has run for catchUpTime since its last pause, or ctx is done. A process that goes on
// decides before it has read which requests others have closed meanwhile, and would send them to a further target.
func (g *Guard) CatchUp(ctx context.Context) {
	for g.opts.ResumedAt != nil {
		left := catchUpTime - time.Since(g.opts.ResumedAt())
		if left <= 0 || !wait.For(ctx, left) {
			return
		}
	}
}

// Closed reports whether a request is rejected, without taking a trial.
func (g *Guard) Closed(r Request) bool {
	if !g.anyClosed.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c, from := g.evidence.lastToTry(r.subjects(), r.Expires)
	return c != nil && time.Now().Before(from)
}

// Began records that a request got its first event from a target.
func (g *Guard) Began(r Request) {
	if len(r.Parts) == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, opened := range g.evidence.Began(now, bounded(r.Parts)) {
		g.logClosure(eventOpened, &opened, "from", "own")
		g.keeper.save(opened)
	}
}

// Completed records that a target answered a request to its end.
func (g *Guard) Completed(r Request) {
	if r.Key == "" || !g.anyEnds.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	acquitted, opened := g.evidence.Completed(time.Now(), r.Key)
	if !acquitted {
		return
	}
	_ = level.Info(g.opts.Logger).Log("event", "request_ends_acquitted", "request", r.ID, "key", r.Key)
	if opened != nil {
		g.logClosure(eventOpened, opened, "from", "own")
		g.keeper.save(*opened)
	}
	g.keeper.saveEnds(r.Key)
	// Nothing depends on the others' learning it before the next heartbeat.
	g.evaluateRequests()
}

// TrialEnded records that the run of a trial has ended, or was not begun, without its answer and without the end of its
// target: it yielded its slot, for example. ran is how long targets have worked on the request since its last end.
func (g *Guard) TrialEnded(r Request, ran time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, open := g.openTrials[r.Key]; open && time.Since(at) < claimTTL {
		// Its target was silent, and may have ended.
		return
	}
	delete(g.openTrials, r.Key)
	g.evidence.TrialEnded(&r, ran)
	_ = level.Info(g.opts.Logger).Log("event", "trial_undecided", "request", r.ID, "key", r.Key, "parts", strings.Join(r.Parts, ","),
		"ran_ms", ran.Milliseconds(), "verdict", g.evidence.verdictOn(r.Key))
	g.evaluateRequests()
}

// Ends returns the number of targets that ended under a request, as far as this instance knows, and when
// the last one did.
func (g *Guard) Ends(r Request) (count int, last time.Time) {
	if !g.anyEnds.Load() {
		return 0, time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.EndsUnder(r.Key)
}

// PossibleEnds returns the number of targets that ended under a request, or may turn out to have ended: of one that does
// not tell when it started, that is known only once the list has the next one.
func (g *Guard) PossibleEnds(r Request) int {
	if !g.anyEnds.Load() {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.possibleEnds(r.Key)
}

// Since returns what has changed since a version, nil if nothing has. With ownEnds, it leaves out the ended
// targets that others have told this instance.
func (g *Guard) Since(version uint64, ownEnds bool) *Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.Since(time.Now(), version, ownEnds)
}

// Merge applies a report of another instance.
func (g *Guard) Merge(from string, report *Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	closed, opened, learned := g.evidence.Merge(time.Now(), report)
	for i := range learned {
		g.logLearned(from, &learned[i])
	}
	if len(learned) > 0 {
		g.endsChanged()
	}
	for i := range closed {
		g.anyClosed.Store(true)
		g.wake()
		g.logClosed(from, &closed[i])
	}
	for i := range opened {
		g.logClosure(eventOpened, &opened[i], "from", from)
	}
	if len(report.Crashes) > 0 {
		g.wake()
	}
}

// countClosed returns the number of closed requests, or of closed sets of parts.
func (g *Guard) countClosed(ofRequests bool) (count int) {
	for _, c := range g.Closures() {
		if c.OfRequest() == ofRequests {
			count++
		}
	}
	return count
}

// Closures returns what is closed, parts and requests.
func (g *Guard) Closures() []Closure {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.Closures(time.Now())
}

// Urgent is signalled when other instances have to learn of ended targets at once.
func (g *Guard) Urgent() <-chan struct{} { return g.urgent }

// endsChanged makes other instances learn of a change of the targets that ended under requests. The
// caller holds the lock.
func (g *Guard) endsChanged() {
	g.evaluateRequests()
	g.updateEndFlags()
	signal(g.urgent)
}

// updateEndFlags sets the flags that spare most requests the lock. The caller holds the lock.
func (g *Guard) updateEndFlags() {
	g.anyEnds.Store(len(g.evidence.ends.records) > 0)
	g.anyEnded.Store(len(g.evidence.endTimes.at)+len(g.evidence.successors.of) > 0)
}

func (g *Guard) wake() { signal(g.changed) }

// signal wakes the reader of a channel with a buffer of one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// String returns the name of the background service.
func (g *Guard) String() string { return "quarantine" }

// Serve closes parts when the evidence suffices, until ctx ends.
func (g *Guard) Serve(ctx context.Context) error {
	for {
		timer := time.NewTimer(g.evaluate())
		select {
		case <-timer.C:
		case <-g.changed:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// evaluate closes parts and returns the time until the next evaluation.
func (g *Guard) evaluate() time.Duration {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watch(now)
	g.evaluateRequests()
	for _, closed := range g.evidence.Evaluate(now) {
		g.logClosed("evidence", &closed)
		// All instances come to the same result; those that saw the crashes write it.
		if slices.Contains(closed.SeenBy, g.opts.Self) {
			g.keeper.save(closed)
		}
	}
	for _, suspended := range g.evidence.Suspend(now) {
		g.logClosed("evidence", &suspended)
	}
	g.anyClosed.Store(len(g.evidence.closures.all) > 0)
	g.updateEndFlags()
	next := idleInterval
	if g.anyClosed.Load() {
		next = watchInterval
	}
	if at, waiting := g.evidence.Settled(now); waiting {
		next = min(next, at.Sub(now))
	}
	g.clock.Tick(now, next)
	return next
}

// watch updates what the time of a trial depends on. Ends of targets that came while this process did not run
// are learned only afterwards, so it watches anew from then on. The caller holds the lock.
func (g *Guard) watch(now time.Time) {
	if g.opts.Listed != nil {
		g.evidence.listed = g.opts.Listed()
	}
	if stalled := g.clock.StalledUntil(now); stalled > g.stalled {
		g.stalled, g.evidence.watchedSince = stalled, now
	}
}

// evaluateRequests closes and opens requests. The caller holds the lock.
func (g *Guard) evaluateRequests() {
	closed, opened := g.evidence.closeRequests(time.Now())
	for i := range closed {
		g.anyClosed.Store(true)
		g.wake()
		g.logClosed("evidence", &closed[i])
		if slices.Contains(closed[i].SeenBy, g.opts.Self) {
			g.keeper.save(closed[i])
		}
	}
	for i := range opened {
		g.logClosure(eventOpened, &opened[i], "from", "evidence")
		g.keeper.save(opened[i])
	}
}

// closureEvent begins the log lines of one change of closures, of parts or of a request.
type closureEvent struct{ part, request []any }

var (
	eventClosed    = closureEvent{[]any{"event", "part_closed"}, []any{"event", "request_closed"}}
	eventSuspended = closureEvent{part: []any{"event", "part_suspended"}}
	eventOpened    = closureEvent{[]any{"event", "part_opened"}, []any{"event", "request_opened"}}
	eventTrial     = closureEvent{[]any{"event", "part_trial"}, []any{"event", "request_trial"}}
)

// logClosed logs what was closed or suspended. from is where it is known from.
func (g *Guard) logClosed(from string, c *Closure) {
	event := eventClosed
	if c.Suspended {
		event = eventSuspended
	}
	g.logClosure(event, c, "from", from)
}

func (g *Guard) logClosure(event closureEvent, c *Closure, fields ...any) {
	begin := event.part
	if c.OfRequest() {
		begin = event.request
	}
	_ = level.Warn(g.opts.Logger).Log(slices.Concat(begin, fields, c.LogFields())...)
}

// logLearned logs what this instance learned of the targets that ended under a request.
func (g *Guard) logLearned(from string, learned *RequestEnds) {
	_ = level.Info(g.opts.Logger).Log("event", "request_ends_learned", "from", from, "request", learned.Request, "key", learned.Key,
		"ends", g.evidence.Ends(learned.Key), "completed", learned.Completed, "known", learned.describe())
}

// describe returns the ended targets for a log line: "target/events/state/age_ms/seen_by/simultaneous" each.
func (r *RequestEnds) describe() string {
	var out []string
	for _, end := range r.Ends {
		out = append(out, fmt.Sprintf("%s/%d/%s/%d/%s/%d", end.Target, end.Events, end.State, end.Age.Milliseconds(), end.SeenBy, end.Simultaneous))
	}
	return strings.Join(out, ",")
}

// LogFields returns the fields that log lines have about closed parts.
func (c *Closure) LogFields() []any {
	name := "closed_parts"
	if c.Suspended {
		name = "suspended_parts"
	}
	return []any{
		name, strings.Join(c.Parts, ","), "crashes", c.Crashes, "targets", strings.Join(c.Targets, ","),
		"seen_by", strings.Join(c.SeenBy, ","), "closed_ms", c.ClosedAge.Milliseconds(),
		"last_crash_ms", c.LastCrashAge.Milliseconds(), "trials", c.Trials,
	}
}
