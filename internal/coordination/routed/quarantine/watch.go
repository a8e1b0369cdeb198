package quarantine

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/protocol/exchange"
)

// workChecks is the number of checks after workDelay each of a process that answers, before they become rarer.
const workChecks = 4

// watch checks the process of a target until it is known whether it ended under the requests that were lost there.
type watch struct {
	checker *Checker
	id      incarnation
	// wake is signalled when requests are added.
	wake chan struct{}
	// added are requests that were lost since the last check. The checker's lock guards it.
	added []LostRequest

	// record and requests belong to the goroutine of the watch.
	record   processRecord
	requests []*watchedRequest
	// checks is the number of checks since the last request was added, without the first one.
	checks int
}

// watchedRequest is a lost request with what was found of it.
type watchedRequest struct {
	LostRequest
	// since is when it was checked for the first time.
	since time.Time
	known EndState
	// final reports that it needs no further check.
	final bool
}

// watch checks the process of lost requests, together with those that were lost there before.
func (c *Checker) watch(ctx context.Context, lost []LostRequest) {
	id := incarnation{lost[0].Target, lost[0].Started}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.watches[id]; known != nil {
		known.added = append(known.added, lost...)
		signal(known.wake)
		return
	}
	w := &watch{checker: c, id: id, wake: make(chan struct{}, 1), added: lost}
	w.record.started, w.record.tellsStart = id.started, c.guard.opts.StartOf != nil
	c.watches[id] = w
	go w.run(ctx)
}

// run checks the process again and again, until it is known of each request whether it ended under that.
func (w *watch) run(ctx context.Context) {
	for w.takeAdded() {
		w.dropWorking()
		if left := w.untilBriefDue(); left > 0 {
			if !w.checker.waitRunning(ctx, left, w.wake) {
				return
			}
			continue
		}
		if len(w.requests) > 0 {
			w.check(ctx)
		}
		if len(w.requests) > 0 && !w.checker.waitRunning(ctx, w.delay(), w.wake) {
			return
		}
		w.checks++
	}
}

// delay returns the time until the next check. A process that stopped may be replaced within a second, which proves at
// once that it ended.
func (w *watch) delay() time.Duration {
	switch {
	case !w.record.answers() && w.anyLeft() && time.Since(w.record.unansweredSince) < confirmDelay:
		return workDelay
	case !w.record.answers():
		return backoff(w.checks)
	case w.record.probe.result == probeAccepted:
		// The list may have the next process at any time.
		return confirmDelay
	case w.checks < workChecks:
		// Two reports tell whether a process works only if some run is in both.
		return workDelay
	default:
		return backoff(w.checks - workChecks)
	}
}

// backoff returns the time until a further check after some without a result.
func backoff(checks int) time.Duration {
	return min(confirmDelay<<min(checks, 4), maxRecheckDelay)
}

func (w *watch) anyLeft() bool {
	return slices.ContainsFunc(w.requests, func(r *watchedRequest) bool { return r.Left })
}

// untilBriefDue returns the time until the first check, if all requests were left after a usual silence and no target has
// ended under them before: by then it shows whether the target sends data to others.
func (w *watch) untilBriefDue() time.Duration {
	var oldest time.Duration
	for _, r := range w.requests {
		if !r.Brief || r.known != endOpen || w.checker.guard.PossibleEnds(r.Request) > 0 {
			return 0
		}
		oldest = max(oldest, time.Since(r.since))
	}
	if len(w.requests) == 0 {
		return 0
	}
	return workDelay - oldest
}

// dropWorking ends the check of requests that were left after a usual silence, if data has come from their target since:
// callers leave and items yield all the time, and most targets need no check for that.
func (w *watch) dropWorking() {
	if w.checker.guard.opts.DataAt == nil {
		return
	}
	dataAt := w.checker.guard.opts.DataAt(w.id.target)
	var works []LostRequest
	w.requests = slices.DeleteFunc(w.requests, func(r *watchedRequest) bool {
		drop := r.Brief && r.known == endOpen && dataAt.Sub(r.lived()) >= workDelay
		if drop {
			works = append(works, r.LostRequest)
			r.checked()
		}
		return drop
	})
	w.checker.guard.answersLost(works)
}

// takeAdded takes over the requests that were lost since the last check. It returns false, and ends the watch, if no
// request is left.
func (w *watch) takeAdded() bool {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	now := time.Now()
	for _, lost := range w.added {
		w.requests = append(w.requests, &watchedRequest{LostRequest: lost, since: now, known: endOpen})
		w.checks = 0
	}
	w.added = nil
	if len(w.requests) == 0 {
		delete(w.checker.watches, w.id)
		w.checker.guard.setStuck(w.id, false)
		return false
	}
	return true
}

// check checks the process once and decides on each request.
func (w *watch) check(ctx context.Context) {
	guard := w.checker.guard
	planned, others := w.splitPlanned()
	w.conclude(planned, finding{EndDismissed, endPlanned, true})
	if len(others) == 0 {
		return
	}
	w.announce(others)
	w.probe(ctx, others)
	lost := &others[0].LostRequest
	now := time.Now()
	w.record.reached, w.record.listedAnew = guard.reaches(lost.Domain), guard.replaced(lost)
	if guard.opts.DataAt != nil {
		w.record.dataAt = guard.opts.DataAt(lost.Target)
	}
	guard.setStuck(w.id, w.record.answers() && w.record.stuck(workDelay))
	type change struct {
		before EndState
		found  finding
	}
	changes := map[change][]*watchedRequest{}
	for _, r := range others {
		found := w.record.judge(now, &r.LostRequest, r.known, now.Sub(r.since))
		changes[change{r.known, found}] = append(changes[change{r.known, found}], r)
	}
	for c, list := range changes {
		w.conclude(list, c.found)
	}
}

// announce tells all instances of runs whose senders are lost, if targets have ended under their requests before: a
// repeat elsewhere waits for the result of this check. If the failure domain of the target is out of reach, so may its
// sender be, and nothing speaks for an end.
func (w *watch) announce(list []*watchedRequest) {
	unknown := slices.DeleteFunc(slices.Clone(list), func(r *watchedRequest) bool {
		return !r.SenderLost || r.known != endOpen || w.checker.guard.PossibleEnds(r.Request) == 0 || !w.checker.guard.reaches(r.Domain)
	})
	w.conclude(unknown, finding{EndUndecided, endSenderLost, false})
}

// splitPlanned returns the requests whose target was known to leave, of those that are checked for the first time, and
// the others.
func (w *watch) splitPlanned() (planned, others []*watchedRequest) {
	for _, r := range w.requests {
		if r.known == endOpen && w.checker.guard.leaving(&r.LostRequest) {
			planned = append(planned, r)
		} else {
			others = append(others, r)
		}
	}
	return planned, others
}

// probe checks the process. Requests that were lost lately are suspected if it has not answered by the time at which a
// repeat has to know.
func (w *watch) probe(ctx context.Context, list []*watchedRequest) {
	type result struct {
		found  probe
		report *exchange.Report
	}
	done := make(chan result, 1)
	go func() {
		found, report := w.checker.probe(ctx, &list[0].LostRequest, w.anyLeft())
		done <- result{found, report}
	}()
	overdue := time.NewTimer(proofTimeout)
	defer overdue.Stop()
	var got result
	select {
	case got = <-done:
	case <-overdue.C:
		w.suspect(list)
		got = <-done
	}
	now := time.Now()
	w.record.addProbe(now, got.found)
	if got.report != nil {
		w.record.addReport(now, got.report)
	}
}

// suspect records that requests of which nothing is known yet count as met by the end of their target.
func (w *watch) suspect(list []*watchedRequest) {
	open := slices.DeleteFunc(slices.Clone(list), func(r *watchedRequest) bool {
		return r.known != endOpen || r.SenderLost && !w.checker.guard.reaches(r.Domain)
	})
	w.conclude(open, finding{EndSuspected, endUnknown, false})
}

// conclude records and logs what was found of requests of which the same was known before.
func (w *watch) conclude(list []*watchedRequest, found finding) {
	if len(list) == 0 {
		return
	}
	before, state := list[0].known, found.state
	if state == EndConfirmed && (before == EndDismissed || before == EndConfirmedLater) {
		state = EndConfirmedLater
	}
	lost := make([]LostRequest, 0, len(list))
	for _, r := range list {
		r.known, r.final = state, found.final
		lost = append(lost, r.LostRequest)
		if r.final {
			r.checked()
		}
	}
	w.requests = slices.DeleteFunc(w.requests, func(r *watchedRequest) bool { return r.final })
	if state == before {
		return
	}
	runs := state == EndDismissed || state == EndRefuted
	if runs && before == endOpen {
		w.checker.guard.answersLost(lost)
	} else {
		w.checker.guard.targetEnded(lost, state, found.reason)
	}
	if found.reason != endUnknown {
		w.logConclusion(lost, state, found.reason)
	}
}

// logConclusion logs and counts what was found, and records a crash.
func (w *watch) logConclusion(lost []LostRequest, state EndState, reason endReason) {
	guard := w.checker.guard
	if reason == endReplaced {
		guard.recordSuccessor(w.id, w.record.probe.started)
	}
	ended := state == EndConfirmed || state == EndConfirmedLater
	parts := partsOf(lost)
	_ = level.Info(guard.opts.Logger).Log("event", "target_crash_checked", "target", w.id.target, "started", w.id.started, "crashed", ended,
		"parts", strings.Join(parts, ","), "requests", len(lost), "left", lost[0].Left, "lost_ms", time.Since(lost[0].At).Milliseconds(),
		"why", reason, "found", w.record.probe.result, "found_started", w.record.probe.started)
	endChecks[reason].Inc()
	if !ended {
		return
	}
	crashesSeen.Inc()
	if len(parts) > 0 {
		guard.crashed(&lost[0], parts)
	}
}
