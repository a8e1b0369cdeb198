package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination/routed/answerbuffer"
	"merlintiller/internal/coordination/routed/origin"
	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/coordination/routed/servicetime"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
)

const (
	// maxPlacements bounds the number of targets that are tried for one request,
	// whether or not they run it. Each unreachable target costs up to the connect
	// timeout.
	maxPlacements = 4
	// fullRetryAfter is the Retry-After while all slots are occupied: half the
	// duration of a stream, within which half of the slots become free.
	fullRetryAfter = 350 * time.Millisecond
	// expectedTimeToFirstByte is the time from sending a request to a target with
	// a free slot until the caller receives the first bytes of the answer. It applies
	// as long as Options.Times does not know a better one.
	expectedTimeToFirstByte = 60 * time.Millisecond
	// maxWaitFraction is the fraction of the time until its deadline that a
	// request waits for a slot. After that the request is rejected, so that the
	// caller has time left to retry at another instance.
	maxWaitFraction = 0.4
	// noTargetRetryAfter is the Retry-After while no target is known. The list of
	// targets is read within a second.
	noTargetRetryAfter = time.Second
)

// Placer chooses targets and keeps track of their state.
type Placer interface {
	// Place chooses a target and waits for a free slot if necessary.
	Place(context.Context, placement.Requirements, placement.WaitLimits) (placement.Choice, bool)
	// TryPlace chooses a target with a free slot, without waiting for one. Of the limits, only
	// the organisation and its weight are used.
	TryPlace(context.Context, placement.Requirements, placement.WaitLimits) (placement.Choice, bool)
	// DataReceived records that data arrived from a target.
	DataReceived(id string)
	// Observe records how long a target took until the first event of a stream, or from one event
	// to the next.
	Observe(choice placement.Choice, kind pace.Kind, took time.Duration)
	// Done releases the slot of a choice and records the result.
	Done(placement.Choice, placement.Result)
	// ReportLoad records the load that a target reported; nil if it reported none.
	ReportLoad(choice placement.Choice, load *exchange.Load)
	// HasTargets reports whether any listed target may be used, regardless of its load and
	// health.
	HasTargets(placement.Requirements) bool
	// HasLeft reports whether the target of a choice has left since it was chosen.
	HasLeft(placement.Choice) bool
	// MarkStalled marks the exchange with a target as stalled. The returned function
	// removes the mark; it is nil if the target is only busy.
	MarkStalled(placement.Choice) (resumed func())
}

// Origins knows at which software version of a target each stream began.
type Origins interface {
	// Began records the version of the target that sends the first event of a stream. It is
	// called before the caller receives the event.
	Began(service, stream, version string)
	// Find returns at which version a stream began. stream is the id of the request that
	// brought its first event.
	Find(ctx context.Context, service, stream string) origin.Origin
}

// Quarantine decides which requests may go to targets.
type Quarantine interface {
	// Check decides on a request.
	Check(quarantine.Request) quarantine.Decision
	// Began records that a target answered a request: with the first event of a stream, or with a
	// whole answer. Completed records that the answer is complete.
	Began(quarantine.Request)
	Completed(quarantine.Request)
	// Lost records that a target closed the connection of a request before that.
	Lost(quarantine.LostRequest)
	// Left records that this instance ended an attempt at a target that was silent.
	Left(quarantine.LostRequest)
	// CatchUp returns once it is known what others decided while this process did not run, or ctx is done.
	CatchUp(ctx context.Context)
	// TrialEnded records that a trial ended without any of the others.
	TrialEnded(request quarantine.Request, ran time.Duration)
	// PossibleEnds returns the number of targets that ended under a request, or may turn out to have ended.
	PossibleEnds(quarantine.Request) int
}

// Sink writes an answer to the caller.
type Sink interface {
	// SendHead sends the status and the headers.
	SendHead(reply *exchange.Reply)
	// SendBody sends a part of the body without buffering it.
	SendBody(part []byte) error
}

// Options configure a Relay.
type Options struct {
	Targets external.Sender
	Placer  Placer
	Origins Origins
	// VersionsForNew returns the software versions of a service at which streams that may be taken up may begin,
	// empty for any. Nil: any.
	VersionsForNew func(service string) []string
	Quarantine     Quarantine
	// Incarnations may be nil: the listed processes run.
	Incarnations placement.Incarnations
	// InFlight replicates the attempts to another instance. Nil: they are known to this instance only.
	InFlight InFlight
	// AnswerBuffers bounds the parts of answers that are held for callers that read slowly. If it
	// is nil, each part is written before the next one is read from the target.
	AnswerBuffers *answerbuffer.Budget
	// Times estimates how long answers take. It may be nil; constants apply then.
	Times  *servicetime.Estimator
	Logger log.Logger
}

// Relay serves online requests. It is safe for concurrent use.
type Relay struct {
	opts Options

	stoppedMu sync.Mutex
	// stoppedLogged is when a stopped read was last logged, stoppedCount the number since then.
	stoppedLogged time.Time
	stoppedCount  int
}

// New returns a Relay with the given options.
func New(opts Options) *Relay { return &Relay{opts: opts} }

// RoutedRequest is a request whose route, service, organisation and deadline have
// been determined.
type RoutedRequest struct {
	Request      *exchange.Request
	Route        *route.Route
	Service      string
	Organisation string
	// Weight decides on the organisation's share while slots are scarce.
	Weight float64
	// ReceivedAt is when the request arrived, Deadline when it has to end.
	ReceivedAt, Deadline time.Time
	// ReleaseBody, if set, is called when the body is not needed any more, since the request is
	// sent to no further target.
	ReleaseBody func()
}

// Serve sends a request to targets until one answers it or no further attempt is
// allowed. The context has to be cancelled when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, request *RoutedRequest, sink Sink) Outcome {
	callerCtx := ctx
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	c := &call{Relay: r, RoutedRequest: request, sink: sink, lastEvent: request.Request.After, subject: subjectOf(request)}
	if buffered, ok := sink.(BufferedSink); ok && r.opts.AnswerBuffers != nil {
		var disconnected context.CancelCauseFunc
		ctx, disconnected = context.WithCancelCause(ctx)
		defer disconnected(nil)
		c.delivery = newDelivery(c, buffered, disconnected)
		// After a panic, the writer must not use the connection any more.
		defer c.delivery.abort()
	}
	if !c.isClosed(ctx) && c.findOrigin(ctx) {
		c.run(ctx)
	}
	c.endTrial()
	c.finishDelivery(callerCtx)
	c.outcome.Origin = c.origin
	if !c.outcome.AnswerStarted() && c.outcome.Reason != CallerDisconnected {
		c.outcome.Status = c.outcome.errorStatus()
	}
	return c.outcome
}

// call is the state of one request while it is served.
type call struct {
	*Relay
	*RoutedRequest
	sink    Sink
	outcome Outcome
	// delivery writes the answer to the caller, nil if the parts are written directly.
	delivery *delivery
	// lastEvent is the position of the last stream event that the caller
	// received, or that is held for it.
	lastEvent int
	// origin is what is known about the beginning of the stream: its first event was
	// received by the caller before or was sent to it by this request. It is zero as long as
	// the request may run at any software version.
	origin origin.Origin
	// tried holds the ids of the targets that were tried.
	tried []string
	// replaced is the number of tried targets whose addresses other targets use.
	replaced int
	// subject is what the quarantine decides on.
	subject quarantine.Request
	// lostTargets is the number of targets that closed the connection of the request, leftTargets that of those that
	// were silent until this instance closed it.
	lostTargets, leftTargets int
	// attemptEvents is the number of stream events that the current attempt brought, firstEventAt
	// when the first of them came.
	attemptEvents int
	firstEventAt  time.Time
	// lastDataAt is when the current attempt was sent, or last brought something.
	lastDataAt time.Time
	// started is the start of the process that the current attempt is sent to.
	started int64
	// replicated is the number of the current attempt among those that are replicated, 0 if it is not one of them or its
	// target is checked.
	replicated uint64
	// unchecked is the number of targets of earlier attempts of which it is not known whether they ended.
	unchecked atomic.Int64
	// isTrial is set if the request is the trial of what is closed: it goes to one target.
	isTrial bool
	// failover is the target that the stall monitor reserved for the next
	// attempt, nil if there is none.
	failover *placement.Choice
	// headSent is set once the caller received the head of the answer, bodyBegan once it received
	// the beginning of one that is not a stream of events.
	headSent, bodyBegan bool
	// sentAt is when the current attempt was sent. sentWhole is set if its answer has all
	// events.
	sentAt    time.Time
	sentWhole bool
	// stoppedBefore is the time for which targets of earlier attempts were not read.
	stoppedBefore time.Duration
}

// nextStep is what follows an attempt.
type nextStep int

const (
	// finish: the outcome of the request is final.
	finish nextStep = iota
	// tryNext: another target may be tried.
	tryNext
)

// run makes attempts until the outcome is final.
func (c *call) run(ctx context.Context) {
	for c.mayTryTarget() {
		if len(c.tried) > 0 {
			c.awaitTargetCheck(ctx)
			if c.isClosed(ctx) {
				c.releaseFailover()
				return
			}
		}
		choice, ok := c.nextTarget(ctx)
		if !ok {
			if !c.contextEnded(ctx) {
				c.setUnplacedReason()
			}
			return
		}
		c.opts.Quarantine.CatchUp(ctx)
		if c.isClosed(ctx) {
			// The request or its parts were closed while it waited for a slot.
			c.opts.Placer.Done(choice, placement.Cancelled)
			return
		}
		c.tried = append(c.tried, choice.ID)
		if !c.origin.Allows(choice.Version) {
			c.opts.Placer.Done(choice, placement.Cancelled)
			continue
		}
		c.outcome.Target = choice.ID
		c.outcome.PlacementTime = time.Since(c.ReceivedAt)
		c.outcome.Busy, c.outcome.Slots, c.outcome.Broker = choice.Busy, choice.Slots, choice.Broker
		c.outcome.Attempts++
		c.logPlacement(choice)
		if c.attempt(ctx, choice) == finish {
			c.releaseFailover()
			return
		}
	}
	c.setUnplacedReason()
}

// mayTryTarget reports whether a further target may be tried. Targets that were replaced don't
// count: another one is found within milliseconds, and after an outage of the store many of the
// listed ones may be replaced.
func (c *call) mayTryTarget() bool {
	if len(c.tried)-c.replaced >= maxPlacements {
		return false
	}
	return c.replaced == 0 || time.Now().Before(c.waitDeadline())
}

// nextTarget returns the target that the stall monitor reserved, or one that is
// chosen now.
func (c *call) nextTarget(ctx context.Context) (placement.Choice, bool) {
	if c.failover != nil && c.origin.Allows(c.failover.Version) && !c.opts.Placer.HasLeft(*c.failover) {
		choice := *c.failover
		c.failover = nil
		return choice, true
	}
	// The stream may have begun, or the target left, after another target was reserved.
	c.releaseFailover()
	firstBytes := c.firstBytes()
	if !c.headSent {
		c.outcome.Expected.FirstBytes, c.outcome.Expected.SendWithin = firstBytes, c.sendWithin(firstBytes)
	}
	choice, ok := c.opts.Placer.Place(ctx, c.requirements(), c.queueLimits(firstBytes))
	c.recordQueue(choice.Queue)
	return choice, ok
}

// requirements returns what the next target has to satisfy.
func (c *call) requirements() placement.Requirements {
	return placement.Requirements{
		Service: c.Service, Versions: c.allowedVersions(), Run: c.Request.ID, Exclude: slices.Clone(c.tried), Repeatable: c.Route.Repeatable(),
	}
}

// allowedVersions returns the software versions at which the request may run. Empty: any.
func (c *call) allowedVersions() []string {
	begins := c.origin.Source == "" && c.Route.Kind == route.Stream && c.Route.Repeatable()
	if begins && c.opts.VersionsForNew != nil {
		return c.opts.VersionsForNew(c.Service)
	}
	return c.origin.Versions()
}

// waitLimits returns how long the request may wait for a slot.
func (c *call) waitLimits(firstBytes servicetime.Estimate) placement.WaitLimits {
	onTime := c.ReceivedAt.Add(c.sendWithin(firstBytes))
	if c.headSent {
		// A resumed stream has to continue before the gap between two events
		// exceeds its limit.
		onTime = time.Now().Add(c.gapTimeout())
	}
	return placement.WaitLimits{SendBy: onTime, Deadline: c.waitDeadline()}
}

// waitDeadline returns the time until which the request may wait for a slot.
func (c *call) waitDeadline() time.Time {
	from := c.ReceivedAt
	if c.headSent {
		from = time.Now()
	}
	return from.Add(time.Duration(maxWaitFraction * float64(c.Deadline.Sub(from))))
}

// releaseFailover releases the slot of a reserved target that is not needed any
// more.
func (c *call) releaseFailover() {
	if c.failover != nil {
		c.opts.Placer.Done(*c.failover, placement.Cancelled)
		c.failover = nil
	}
}

// setUnplacedReason sets the outcome of a request for which there is no further
// target.
func (c *call) setUnplacedReason() {
	switch {
	case c.headSent:
		c.outcome.Reason = Truncated
	case c.outcome.PossibleRuns > 0:
		c.outcome.Reason = AnswerLost
	case c.outcome.Attempts > 0:
		c.outcome.Reason, c.outcome.RetryAfter = NotAccepted, fullRetryAfter
	case c.opts.Placer.HasTargets(placement.Requirements{Service: c.Service, Versions: c.origin.Versions()}):
		c.outcome.Reason, c.outcome.RetryAfter = AllFull, c.fullRetryAfter()
	case c.origin.Known():
		c.outcome.Reason = VersionGone
	default:
		c.outcome.Reason, c.outcome.RetryAfter = NoTarget, noTargetRetryAfter
	}
}

// attempt sends the request to one target and forwards its answer.
func (c *call) attempt(ctx context.Context, choice placement.Choice) nextStep {
	c.attemptEvents = 0
	monitor := c.monitorStalls(ctx, choice)
	defer func() {
		c.failover = monitor.stop()
		c.attemptGivenUp()
	}()
	started, ok := placement.StartOf(monitor.ctx, c.opts.Incarnations, choice)
	if !ok || !placement.MayRepeatAt(monitor.ctx, c.opts.Incarnations, choice, c.sentAt) {
		return c.handleSendError(ctx, choice, monitor, external.ErrNoProcess)
	}
	c.started = started
	c.replicate(monitor.ctx, choice)
	defer c.endReplicated()
	c.attemptBegins()
	answer, err := c.opts.Targets.Send(monitor.ctx, choice.Address, c.dispatch(choice))
	if err != nil {
		return c.handleSendError(ctx, choice, monitor, err)
	}
	c.opts.Placer.ReportLoad(choice, answer.Head().Load)
	if answer.Head().NotRun {
		return c.handleNotRun(choice, answer)
	}
	c.outcome.PossibleRuns++
	if c.headSent && !answer.Head().Success() {
		// The target answered the resumed part of a stream with an error status
		// and did not promise that it did not run.
		answer.Close()
		c.opts.Placer.Done(choice, placement.Served)
		return c.afterLostAnswer(choice, external.EndAnswered, "status", answer.Head().Status)
	}
	return c.forward(ctx, choice, monitor, answer)
}

// dispatch returns the message to the target.
func (c *call) dispatch(choice placement.Choice) *exchange.Dispatch {
	return &exchange.Dispatch{
		ID:     c.Request.ID,
		Method: c.Request.Method,
		Host:   c.Request.Host,
		Path:   c.Request.Path,
		Query:  c.Request.Query, ForceQuery: c.Request.ForceQuery,
		Target:       choice.ID,
		Organisation: c.Organisation,
		TimeLeft:     time.Until(c.Deadline),
		After:        c.lastEvent,
		Header:       c.Request.Header,
		Body:         c.Request.Body,
	}
}

// handleNotRun handles an answer in which the target promises that it did not run
// the request.
func (c *call) handleNotRun(choice placement.Choice, answer external.OpenAnswer) nextStep {
	answer.Close()
	result := placement.Full
	if answer.Head().WrongTarget {
		result = placement.Replaced
		c.replaced++
		c.opts.Targets.Forget(choice.Address)
	}
	c.opts.Placer.Done(choice, result)
	c.logFailedAttempt(choice, "not_run", external.EndAnswered, "status", answer.Head().Status)
	return tryNext
}

// handleSendError handles a request that could not be sent or was not answered.
func (c *call) handleSendError(ctx context.Context, choice placement.Choice, monitor *stallMonitor, err error) nextStep {
	notSent := errors.Is(err, external.ErrNotSent)
	if !notSent {
		c.outcome.PossibleRuns++
	}
	if ended := c.contextEnded(ctx); ended {
		c.opts.Placer.Done(choice, monitor.result(placement.Cancelled))
		if !notSent {
			c.reportLost(choice, err)
		}
		return finish
	}
	if notSent {
		c.opts.Placer.Done(choice, placement.Unreachable)
		c.logFailedAttempt(choice, "unreachable", external.EndOf(err), "err", err)
		return tryNext
	}
	c.opts.Placer.Done(choice, monitor.result(placement.Broken))
	c.reportLost(choice, err)
	return c.afterLostAnswer(choice, external.EndOf(err), "err", err)
}

// ErrInterrupted is the cause with which the context of a request is cancelled if the
// instance exits before the request has ended.
var ErrInterrupted = errors.New("instance exits")

// contextEnded reports whether the context has ended, and if so sets the reason:
// the deadline passed, the instance exits or the caller disconnected.
func (c *call) contextEnded(ctx context.Context) bool {
	switch {
	case ctx.Err() == nil:
		return false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.outcome.Reason = TimedOut
		if c.headSent {
			c.outcome.Reason = Truncated
		}
	case errors.Is(context.Cause(ctx), ErrInterrupted):
		c.outcome.Reason = Interrupted
	default:
		c.outcome.Reason = CallerDisconnected
	}
	return true
}

// afterLostAnswer decides whether a request that may have run is retried.
func (c *call) afterLostAnswer(choice placement.Choice, end external.TargetEnd, key string, cause any) nextStep {
	c.logFailedAttempt(choice, "lost", end, key, cause)
	if c.Route.Repeatable() && c.outcome.PossibleRuns < c.Route.MaxAttempts && c.mayGoOn() {
		return tryNext
	}
	c.outcome.Reason = AnswerLost
	if c.headSent {
		c.outcome.Reason = Truncated
	}
	return finish
}
