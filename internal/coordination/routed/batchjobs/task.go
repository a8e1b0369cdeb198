package batchjobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/protocol/sse"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/state/route"
	"merlintiller/internal/wait"
)

const (
	// stallTimeout ends a run whose target sends no event; the item then continues
	// at another target. Slow targets send several events in that time; a full
	// target may keep an item waiting.
	stallTimeout = 1500 * time.Millisecond
	// maxFirstEventWait bounds the wait for the first event of a run. It is stallTimeout, and doubles with each run in
	// a row that was left without an event: a target may take longer to answer with an error, and one that does not
	// notice that the connection is closed answers all the same.
	maxFirstEventWait = 12 * time.Second
	// maxRunTime bounds the run time granted to a target: twice the usual run time
	// and a reserve. If the path to a target is interrupted, the item continues at
	// another target, and the first one must not hold the slot for long. An item
	// that needs more time continues at the next target.
	maxRunTime = 15 * time.Second
	// maxItemText bounds the output of an item in bytes: a page of results has as many at most. A target
	// may send events without end.
	maxItemText = 1 << 20
)

// task is an item that has no result yet. The runner's lock guards the fields that
// the runner and the run share; text and position belong to the run.
type task struct {
	openItem
	runner  *Runner
	replica *partitionReplica

	// subject is what the quarantine decides on. held reports that the item has waited since it or
	// some of its parts are closed.
	subject quarantine.Request
	held    bool
	// trial reports that the run is the trial of what is closed. leftSilent reports that the last run was left since its
	// target was silent. It belongs to the run.
	trial, leftSilent bool

	notBefore time.Time
	cancel    context.CancelFunc
	choice    placement.Choice
	yielding  bool
	ended     bool
	// late says that the item can no longer be done by its deadline.
	late bool
	// mayRunElsewhere says that another instance may have started the item. Until
	// claimsUntil, that instance may still claim it.
	mayRunElsewhere bool
	claimsUntil     time.Time
	// runTime is the time that runs have taken so far, startedAt the start of the
	// last run.
	runTime   time.Duration
	startedAt time.Time
	// firstEventAt is when the last run brought its first event, zero if it brought none. ranSinceEnd
	// is how long targets have worked on the item since one of them last ended under it, counted from
	// the first event of each run. Both belong to the run.
	firstEventAt time.Time
	ranSinceEnd  time.Duration
	// targetStarted is the start of the process that the run was sent to, sentAt when it was sent, and lastDataAt
	// when it last brought something. They belong to the run.
	targetStarted      int64
	sentAt, lastDataAt time.Time
	// sentBefore is when the last run that may have begun was sent, zero if there was none. It belongs to the run.
	sentBefore time.Time

	// replicated is the number of the run among those that are replicated, 0 if it is not one of them or its target is
	// checked. It belongs to the run.
	replicated uint64
	// unchecked is the number of runs that were left at targets of which it is not known whether they ended.
	unchecked atomic.Int64

	// output is what was received since output was last stored.
	output   pendingOutput
	text     strings.Builder
	events   int
	position int
	// version is the software version of the targets that all output comes from. Empty:
	// there is no output, or the version is not known.
	version string
	// passedOverAt is when a slot of another version was first given to a less urgent item,
	// zero if that has not happened since the item was queued.
	passedOverAt time.Time
	// failures counts the runs that a target reported as failed, interruptions the
	// interrupted runs in a row, and unanswered those in a row that were left without an event.
	failures, interruptions, unanswered int
}

// service returns the service for the item under the configuration in force.
func (t *task) service(table *route.Table) (string, bool) {
	r, ok := table.Match(t.job.Host, t.job.Prefix)
	if !ok {
		return "", false
	}
	return r.Choose(t.id.item)
}

// clockMargin bounds the difference between the wall clocks of two instances, one of
// which accepted the job. Clocks may jump by seconds, and back again.
const clockMargin = 10 * time.Second

// expiresAt is when the item has expired by the clock of every instance.
func (t *task) expiresAt() time.Time { return t.job.GiveUp.Add(clockMargin) }

// failureReason says why an item can no longer be done, or is empty.
func (t *task) failureReason(now time.Time, table *route.Table) string {
	if !t.job.GiveUp.IsZero() && now.After(t.expiresAt()) {
		return "expired"
	}
	r, ok := table.Match(t.job.Host, t.job.Prefix)
	// A configuration older than the job may not have its route yet.
	if (!ok || r.Kind != route.Batch) && table.Version() >= t.job.ConfigVersion {
		return "route_removed"
	}
	if ok && t.failures >= r.MaxAttempts {
		return "failed"
	}
	return ""
}

// fail ends the item with a failed result. The caller may hold the runner's lock.
func (t *task) fail(reason string) {
	_ = level.Info(t.runner.opts.Logger).Log("event", "item_failed", "item", t.id.item, "job", t.id.job, "reason", reason,
		"failures", t.failures, "position", t.position)
	go t.runner.finish(t, jobs.Result{Item: t.id.item, Outcome: jobs.Failed, Text: t.text.String()})
}

// runOutcome says how a run ended.
type runOutcome int

const (
	completed runOutcome = iota
	rejected
	failedAtTarget
	unprocessable
	interrupted
	cancelled
)

// run sends the item to a target and reads its output to the end.
func (t *task) run(ctx context.Context, choice placement.Choice) {
	opts := t.runner.opts
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stalled atomic.Bool
	stall := wait.NewIdleTimer(t.firstEventWait(), func() {
		stalled.Store(true)
		cancel()
	})
	defer stall.Stop()
	start, from, eventsBefore := time.Now(), t.position, t.events
	t.firstEventAt, t.sentAt, t.lastDataAt, t.leftSilent = time.Time{}, start, start, false
	outcome, result, err := t.sendAndRead(ctx, choice, stall)
	if !t.firstEventAt.IsZero() {
		t.ranSinceEnd += t.lastDataAt.Sub(t.firstEventAt)
	}
	if stalled.Load() {
		outcome, result = interrupted, placement.TimedOut
	}
	if t.events > eventsBefore {
		t.unanswered = 0
	} else if stalled.Load() {
		t.unanswered++
	}
	lost := (outcome == interrupted || outcome == cancelled) && t.reportLost(choice, err, t.events-eventsBefore)
	if t.trial && !lost && outcome != completed {
		opts.Quarantine.TrialEnded(t.subject, t.ranSinceEnd)
	}
	t.endReplicated()
	t.addRunTime(time.Since(start))
	opts.Placer.Done(choice, result)
	fields := []any{"event", "item_run", "item", t.id.item, "job", t.id.job, "target", choice.ID,
		"version", choice.Version, "broker", choice.Broker, "busy", choice.Busy, "slots", choice.Slots, "how", outcome.String(), "from", from, "position", t.position, "took_ms", time.Since(start).Milliseconds(),
		"due_in_ms", time.Until(t.job.Due).Milliseconds(), "parts", strings.Join(t.subject.Parts, ","), "key", t.subject.Key, "events", t.events - eventsBefore, "ended", endOfRun(err),
		"started", t.targetStarted, "silent_ms", time.Since(t.lastDataAt).Milliseconds(), "err", err}
	_ = level.Info(opts.Logger).Log(append(fields, choice.Lists.LogFields()...)...)
	if errors.Is(err, errOutputTooLarge) {
		outputsTooLarge.Inc()
		t.discardOutput()
	}
	t.handleOutcome(outcome)
}

// firstEventWait returns how long the next run waits for its first event.
func (t *task) firstEventWait() time.Duration {
	return min(maxFirstEventWait, stallTimeout<<min(t.unanswered, 4))
}

// discardOutput makes the item start again: a target sent events without end.
func (t *task) discardOutput() {
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	t.runner.restart(t, outputTooLarge)
}

// silenceLimit is the time without data from a target after which the target of a run that ends is checked.
const silenceLimit = stallTimeout / 2

// reportLost reports a run that brought some events and ended without its whole answer: its target closed the connection,
// was silent, or may have stopped right before the item yielded its slot. It returns true if the target closed the
// connection.
func (t *task) reportLost(choice placement.Choice, err error, events int) bool {
	if err == nil {
		return false
	}
	lost := quarantine.LostRequest{
		Request: t.subject, Target: choice.ID, Address: choice.Address, Domain: choice.Domain, Started: t.targetStarted,
		Events: events, Position: t.position, Ran: t.ranSinceEnd, Trial: t.trial, SentAt: t.sentAt, At: time.Now(), DataAt: t.lastDataAt,
	}
	switch endOfRun(err) {
	case external.EndClosed, external.EndReset:
		lost.Checked = t.takeReplicated()
		t.runner.opts.Quarantine.Lost(lost)
		t.ranSinceEnd = 0
		return true
	case external.EndRefused:
		return false
	}
	t.leftSilent = time.Since(t.lastDataAt) >= silenceLimit
	lost.Brief = !t.leftSilent
	lost.Checked = t.checkedCallback()
	t.runner.opts.Quarantine.Left(lost)
	return false
}

// endOfRun returns what the target did if a run failed, "" if it did not.
func endOfRun(err error) external.TargetEnd {
	if err == nil {
		return ""
	}
	return external.EndOf(err)
}

// String is the name of the outcome in logs.
func (o runOutcome) String() string {
	return [...]string{"whole", "refused", "failed", "impossible", "broken", "left"}[o]
}

// handleOutcome finishes the item or queues it for its next run.
func (t *task) handleOutcome(outcome runOutcome) {
	r := t.runner
	switch outcome {
	case completed:
		r.finish(t, jobs.Result{Item: t.id.item, Outcome: jobs.Succeeded, Text: t.text.String()})
	case unprocessable:
		t.fail("impossible")
	case rejected:
		r.requeue(t, yieldDelay)
	case cancelled:
		delay := yieldDelay
		if t.awaitsCheck() {
			delay = quarantine.WorkKnownAfter
		}
		r.requeue(t, delay)
	case failedAtTarget:
		t.restartAfterFailure()
		r.requeue(t, failureBackoff<<min(t.failures, 4))
	case interrupted:
		t.interruptions++
		delay := min(maxFailureBackoff, failureBackoff<<min(t.interruptions, 5))
		if t.leftSilent {
			delay = max(delay, quarantine.WorkKnownAfter)
		}
		r.requeue(t, delay)
	}
}

// addRunTime adds the duration of a run.
func (t *task) addRunTime(d time.Duration) {
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	t.runTime += d
}

// restartAfterFailure counts a failed run and discards the output.
func (t *task) restartAfterFailure() {
	t.text.Reset()
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	t.failures++
	t.events, t.position, t.version, t.runTime = 0, exchange.FromStart, "", 0
	t.output.resetAfterFailure(t.failures)
	if t.replica != nil {
		t.replica.requestStore()
	}
}

// sendAndRead sends the item to a target and reads the answer.
func (t *task) sendAndRead(ctx context.Context, choice placement.Choice, stall *wait.IdleTimer) (runOutcome, placement.Result, error) {
	opts := t.runner.opts
	started, ok := placement.StartOf(ctx, opts.Incarnations, choice)
	if !ok || !placement.MayRepeatAt(ctx, opts.Incarnations, choice, t.sentBefore) {
		return rejected, placement.Unreachable, external.ErrNoProcess
	}
	t.targetStarted, t.sentBefore = started, time.Now()
	t.replicate(ctx, choice)
	answer, err := opts.Targets.Send(ctx, choice.Address, t.dispatch(choice))
	if err != nil {
		switch {
		case ctx.Err() != nil:
			return cancelled, placement.Cancelled, err
		case errors.Is(err, external.ErrNotSent):
			return rejected, placement.Unreachable, err
		default:
			return interrupted, placement.Broken, err
		}
	}
	defer answer.Close()
	head := answer.Head()
	opts.Placer.ReportLoad(choice, head.Load)
	switch {
	case head.WrongTarget:
		opts.Targets.Forget(choice.Address)
		return rejected, placement.Replaced, nil
	case head.NotRun:
		return rejected, placement.Full, nil
	case head.Status == http.StatusUnprocessableEntity:
		return unprocessable, placement.Served, nil
	case head.Status == http.StatusInternalServerError:
		return failedAtTarget, placement.Served, nil
	case !head.Success():
		return interrupted, placement.Broken, nil
	}
	return t.read(ctx, answer, stall)
}

// dispatch is the request for the next run of the item.
func (t *task) dispatch(choice placement.Choice) *exchange.Dispatch {
	header := make(http.Header, len(t.item.Header))
	for name, value := range t.item.Header {
		header.Set(name, value)
	}
	limit := maxRunTime
	if !t.job.GiveUp.IsZero() {
		limit = min(limit, time.Until(t.expiresAt()))
	}
	path, query, forceQuery := strings.Cut(t.item.Path, "?")
	return &exchange.Dispatch{
		ID: t.id.item, Method: http.MethodPost, Host: t.job.Host, Path: path, Query: query, ForceQuery: forceQuery,
		Target: choice.ID, Organisation: t.job.Organisation, TimeLeft: max(time.Second, limit),
		After: t.position, Header: header, Body: t.item.Body,
	}
}

// eventsTooLarge and outputsTooLarge count what targets sent beyond the bounds of an event and an item.
var (
	eventsTooLarge  = metrics.GetOrCreateCounter(`target_answers_too_large_total{what="event"}`)
	outputsTooLarge = metrics.GetOrCreateCounter(`target_answers_too_large_total{what="item"}`)
)

// errOutputTooLarge means that the output of an item exceeds maxItemText.
var errOutputTooLarge = fmt.Errorf("%w: output of more than %d bytes", external.ErrTooLarge, maxItemText)

// errInvalidUTF8 means that the data of an event is not valid UTF-8, as the format of event streams
// requires it. The item continues at a target after the event before.
var errInvalidUTF8 = errors.New("data of a stream event is not valid UTF-8")

// eventsInvalidUTF8 counts such events.
var eventsInvalidUTF8 = metrics.NewCounter("batch_events_invalid_total")

// errGap means that an event is missing, so that later events can't be joined to the
// output.
var errGap = errors.New("gap in the numbers of the stream events")

// read reads the output event by event, so that after an interruption the next run
// continues after the last complete event.
func (t *task) read(ctx context.Context, answer external.OpenAnswer, stall *wait.IdleTimer) (runOutcome, placement.Result, error) {
	events := sse.NewReader(answer)
	began := false
	for {
		event, err := events.Next()
		if err == nil && !began {
			began = true
			t.firstEventAt = time.Now()
			t.runner.opts.Quarantine.Began(t.subject)
			if t.replicated != 0 {
				t.runner.opts.InFlight.Answered(t.replicated)
			}
		}
		if errors.Is(err, io.EOF) && !began && answer.Head().EndsWithConnection {
			return interrupted, placement.Broken, external.ErrNoEvent
		}
		if errors.Is(err, io.EOF) {
			t.interruptions = 0
			t.runner.opts.Quarantine.Completed(t.subject)
			return completed, placement.Served, nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return cancelled, placement.Cancelled, err
			}
			if errors.Is(err, sse.ErrTooLong) {
				eventsTooLarge.Inc()
				err = fmt.Errorf("%w: %w", external.ErrTooLarge, err)
			}
			return interrupted, placement.Broken, err
		}
		stall.Reset(stallTimeout)
		t.lastDataAt = time.Now()
		t.runner.opts.Placer.DataReceived(t.choice.ID)
		if err := t.addEvent(&event); err != nil {
			return interrupted, placement.Broken, err
		}
	}
}

// addEvent adds one event to the output.
func (t *task) addEvent(event *sse.Event) error {
	if event.HasPosition {
		switch {
		case t.position != exchange.FromStart && event.Position <= t.position:
			return nil
		case t.position != exchange.FromStart && event.Position != t.position+1:
			return errGap
		}
	}
	data := event.Data()
	if !utf8.Valid(data) {
		eventsInvalidUTF8.Inc()
		return errInvalidUTF8
	}
	if event.HasPosition {
		t.position = event.Position
	}
	if t.events > 0 {
		t.text.WriteByte('\n')
	} else {
		t.version = t.choice.Version
		t.output.setVersion(t.version)
	}
	t.events++
	if t.text.Len()+len(data) > maxItemText {
		return errOutputTooLarge
	}
	t.text.Write(data)
	t.output.add(string(data), 1, t.position)
	return nil
}
