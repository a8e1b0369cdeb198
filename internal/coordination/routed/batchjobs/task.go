package batchjobs

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/protocol/sse"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/state/route"
)

const (
	// stallLimit ends a run whose target does not go on; the item goes on
	// elsewhere. Slowed targets make several events in that time, and a full one lets
	// an item wait.
	stallTimeout = 1500 * time.Millisecond
	// longestRun bounds the time that a target is given for a run: twice the
	// usual run, and some more. Where the path to a target is cut, the item
	// goes on elsewhere, and the target must not keep the slot for long. An item
	// that needs more goes on at the next target.
	maxRunTime = 15 * time.Second
)

// task is an item on its way to its result. The runner's lock guards the fields
// that it and the runs share; text and position belong to the run.
type task struct {
	openItem
	runner  *Runner
	replica *partitionReplica

	notBefore time.Time
	cancel    context.CancelFunc
	choice    placement.Choice
	yielding  bool
	ended     bool
	// late says that the item can't be done in time any more.
	late bool
	// inherited says that another instance may have begun the item; until claimsUntil
	// it may still say that it runs it.
	mayRunElsewhere bool
	claimsUntil     time.Time
	// worked is the time that runs have taken so far, began when the last one did.
	runTime   time.Duration
	startedAt time.Time

	// output is what came since it was kept last.
	output   pendingOutput
	text     strings.Builder
	events   int
	position int
	// failures are runs that the target ended as failed, troubles those that
	// broke off in a row.
	failures, interruptions int
}

// service is where the item runs by the configuration in force.
func (t *task) service(table *route.Table) (string, bool) {
	r, ok := table.Match(t.job.Host, t.job.Prefix)
	if !ok {
		return "", false
	}
	return r.Choose(t.id.item)
}

// clockMargin is how far the wall clocks of two instances may be apart, one of which took
// the job. They may jump by seconds, and back again.
const clockMargin = 10 * time.Second

// expires is when the item's time is over by anybody's clock.
func (t *task) expiresAt() time.Time { return t.job.ExpiresAt.Add(clockMargin) }

// hopeless says why an item can't be done any more.
func (t *task) failureReason(now time.Time, table *route.Table) string {
	if !t.job.ExpiresAt.IsZero() && now.After(t.expiresAt()) {
		return "expired"
	}
	r, ok := table.Match(t.job.Host, t.job.Prefix)
	// A configuration older than the job does not know its route yet.
	if (!ok || r.Kind != route.Batch) && table.Version() >= t.job.ConfigVersion {
		return "route_removed"
	}
	if ok && t.failures >= r.MaxAttempts {
		return "failed"
	}
	return ""
}

// giveUp ends the item as failed. It may be called with the runner's lock.
func (t *task) fail(reason string) {
	_ = level.Info(t.runner.opts.Logger).Log("event", "item_failed", "item", t.id.item, "job", t.id.job, "reason", reason,
		"failures", t.failures, "position", t.position)
	go t.runner.finish(t, jobs.Result{Item: t.id.item, Outcome: jobs.Failed, Text: t.text.String()})
}

// ending is how a run ended.
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
	var silent atomic.Bool
	stall := time.AfterFunc(stallTimeout, func() {
		silent.Store(true)
		cancel()
	})
	defer stall.Stop()
	began, from := time.Now(), t.position
	how, result, err := t.sendAndRead(ctx, choice, stall)
	if silent.Load() {
		how, result = interrupted, placement.Silent
	}
	t.addRunTime(time.Since(began))
	opts.Placer.Done(choice, result)
	_ = level.Info(opts.Logger).Log("event", "item_run", "item", t.id.item, "job", t.id.job, "target", choice.ID,
		"broker", choice.Broker, "busy", choice.Busy, "slots", choice.Slots, "how", how.String(), "from", from, "position", t.position, "took_ms", time.Since(began).Milliseconds(),
		"due_in_ms", time.Until(t.job.Deadline).Milliseconds(), "err", err)
	t.handleOutcome(how)
}

// String names an ending in logs.
func (e runOutcome) String() string {
	return [...]string{"whole", "refused", "failed", "impossible", "broken", "left"}[e]
}

// after says what comes after a run.
func (t *task) handleOutcome(how runOutcome) {
	r := t.runner
	switch how {
	case completed:
		r.finish(t, jobs.Result{Item: t.id.item, Outcome: jobs.Succeeded, Text: t.text.String()})
	case unprocessable:
		t.fail("impossible")
	case rejected:
		r.requeue(t, yieldDelay)
	case cancelled:
		r.requeue(t, yieldDelay)
	case failedAtTarget:
		t.restartAfterFailure()
		r.requeue(t, failureBackoff<<min(t.failures, 4))
	case interrupted:
		t.interruptions++
		r.requeue(t, min(maxFailureBackoff, failureBackoff<<min(t.interruptions, 5)))
	}
}

// hasWorked counts the time of a run.
func (t *task) addRunTime(d time.Duration) {
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	t.runTime += d
}

// restart counts a run that failed and forgets its output.
func (t *task) restartAfterFailure() {
	t.text.Reset()
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	t.failures++
	t.events, t.position, t.runTime = 0, exchange.FromStart, 0
	t.output.resetAfterFailure(t.failures)
	if t.replica != nil {
		t.replica.requestStore()
	}
}

func (t *task) sendAndRead(ctx context.Context, choice placement.Choice, stall *time.Timer) (runOutcome, placement.Result, error) {
	opts := t.runner.opts
	answer, err := opts.Targets.Send(ctx, choice.Address, t.dispatch(choice))
	if err != nil {
		switch {
		case ctx.Err() != nil:
			return cancelled, placement.Left, err
		case errors.Is(err, external.ErrNotSent):
			return rejected, placement.Unreachable, err
		default:
			return interrupted, placement.Broken, err
		}
	}
	defer answer.Close()
	head := answer.Head()
	opts.Placer.Told(choice, head.Load)
	switch {
	case head.Elsewhere:
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

func (t *task) dispatch(choice placement.Choice) *exchange.Dispatch {
	header := make(http.Header, len(t.item.Header))
	for name, value := range t.item.Header {
		header.Set(name, value)
	}
	most := maxRunTime
	if !t.job.ExpiresAt.IsZero() {
		most = min(most, time.Until(t.expiresAt()))
	}
	return &exchange.Dispatch{
		ID: t.id.item, Method: http.MethodPost, Host: t.job.Host, Path: t.item.Path,
		Target: choice.ID, Organisation: t.job.Organisation, Left: max(time.Second, most),
		After: t.position, Header: header, Body: t.item.Body,
	}
}

// errGap: an event is missing, so what follows can't be joined to what is there.
var errGap = errors.New("an event is missing")

// read takes the output in, event by event, so that a run that breaks off goes
// on after the last whole one.
func (t *task) read(ctx context.Context, answer external.OpenAnswer, stall *time.Timer) (runOutcome, placement.Result, error) {
	events := sse.NewReader(answer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			t.interruptions = 0
			return completed, placement.Served, nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return cancelled, placement.Left, err
			}
			return interrupted, placement.Broken, err
		}
		stall.Reset(stallTimeout)
		t.runner.opts.Placer.Heard(t.choice.ID)
		if err := t.addEvent(&event); err != nil {
			return interrupted, placement.Broken, err
		}
	}
}

// take adds one event.
func (t *task) addEvent(event *sse.Event) error {
	if event.Numbered {
		switch {
		case t.position != exchange.FromStart && event.Position <= t.position:
			return nil
		case t.position != exchange.FromStart && event.Position != t.position+1:
			return errGap
		}
		t.position = event.Position
	}
	if t.events > 0 {
		t.text.WriteByte('\n')
	}
	t.events++
	data := event.Data()
	t.text.Write(data)
	t.output.add(string(data), 1, t.position)
	return nil
}
