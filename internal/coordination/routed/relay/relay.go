package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
)

const (
	// mostTries bounds the targets that are asked for one request, runs or not.
	// Each that is dead costs up to a connect's timeout.
	mostTries = 4
	// fullRetryAfter is told when all slots are taken: half of the time that a
	// stream takes, in which half of the slots come free.
	fullRetryAfter = 350 * time.Millisecond
	// answerTime is the time from sending a request to a free target to the first
	// bytes of its answer at the caller.
	answerTime = 60 * time.Millisecond
	// waitShare is the part of its time that a request waits for a place. After
	// that it is refused, so that its caller can still be served elsewhere.
	waitShare = 0.4
	// startRetryAfter is told when no target is known yet. The list of targets
	// is read within a second.
	startRetryAfter = time.Second
)

// Placer chooses targets.
type Placer interface {
	// Place waits for a place, TryPlace does not.
	Place(context.Context, placement.Want, placement.Patience) (placement.Choice, bool)
	TryPlace(context.Context, placement.Want) (placement.Choice, bool)
	Heard(id string)
	Done(placement.Choice, placement.Result)
	Told(choice placement.Choice, load *exchange.Load)
	Known(service string) bool
	Waiting(placement.Choice) (goesOn func())
}

// Sink is the caller's side of an answer.
type Sink interface {
	// SendHead sends the head.
	SendHead(reply *exchange.Reply)
	// SendBody sends a part of the body at once.
	SendBody(part []byte) error
}

// Options make a Relay.
type Options struct {
	Targets external.Sender
	Placer  Placer
	Logger  log.Logger
}

// Relay serves requests.
type Relay struct{ opts Options }

// New returns a relay.
func New(opts Options) *Relay { return &Relay{opts: opts} }

// RoutedRequest is a request with what was decided of it before.
type RoutedRequest struct {
	Request      *exchange.Request
	Route        *route.Route
	Service      string
	Organisation string
	// ReceivedAt is when the request came, Deadline when it must have ended.
	ReceivedAt, Deadline time.Time
}

// Serve sends a request to targets until one answers it, or says why not. The
// context ends when the caller leaves.
func (r *Relay) Serve(ctx context.Context, job *RoutedRequest, sink Sink) Outcome {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	c := &call{Relay: r, RoutedRequest: job, sink: sink, position: job.Request.After}
	c.run(ctx)
	if !c.outcome.AnswerStarted() && c.outcome.Reason != CallerDisconnected {
		c.outcome.Status = c.outcome.refusal()
	}
	return c.outcome
}

// call is one request on its way.
type call struct {
	*Relay
	*RoutedRequest
	sink    Sink
	outcome Outcome
	// position is the last event that the caller has.
	position int
	// tried are the targets that had the request.
	tried []string
	// next is a target that was found for a request that waits too long at
	// another one.
	next  *placement.Choice
	begun bool
}

// verdict says what comes after an attempt.
type verdict int

const (
	// finish: the request has its outcome.
	finish verdict = iota
	// another: another target may be tried.
	another
)

func (c *call) run(ctx context.Context) {
	for len(c.tried) < mostTries {
		choice, ok := c.place(ctx)
		if !ok {
			if !c.ended(ctx) {
				c.nowhere()
			}
			return
		}
		c.tried = append(c.tried, choice.ID)
		c.outcome.Target = choice.ID
		c.outcome.PlacementTime = time.Since(c.ReceivedAt)
		c.outcome.Busy, c.outcome.Slots, c.outcome.Broker = choice.Busy, choice.Slots, choice.Broker
		c.outcome.Attempts++
		c.placed(choice)
		if c.attempt(ctx, choice) == finish {
			c.giveBack()
			return
		}
	}
	c.nowhere()
}

// place gives the next target: the one that an attempt was given up for, or
// whichever is chosen now.
func (c *call) place(ctx context.Context) (placement.Choice, bool) {
	if c.next != nil {
		choice := *c.next
		c.next = nil
		return choice, true
	}
	return c.opts.Placer.Place(ctx, c.want(), c.waiting())
}

func (c *call) want() placement.Want {
	return placement.Want{Service: c.Service, Run: c.Request.ID, Exclude: slices.Clone(c.tried), Repeatable: c.Route.Repeatable()}
}

// waiting says how long the request may wait for a place.
func (c *call) waiting() placement.Patience {
	onTime := c.ReceivedAt.Add(c.Route.Objective - answerTime)
	if c.begun {
		// A stream that goes on must do so before its pause is too long.
		onTime = time.Now().Add(c.gapLimit())
	}
	return placement.Patience{OnTimeUntil: onTime, Until: c.ReceivedAt.Add(time.Duration(waitShare * float64(c.Deadline.Sub(c.ReceivedAt))))}
}

// giveBack gives a target back that was found too late to be needed.
func (c *call) giveBack() {
	if c.next != nil {
		c.opts.Placer.Done(*c.next, placement.Left)
		c.next = nil
	}
}

// nowhere ends a request for which there is no further target.
func (c *call) nowhere() {
	switch {
	case c.begun:
		c.outcome.Reason = CutOff
	case c.outcome.PossibleRuns > 0:
		c.outcome.Reason = Lost
	case c.outcome.Attempts > 0:
		c.outcome.Reason, c.outcome.RetryAfter = NotTaken, fullRetryAfter
	case c.opts.Placer.Known(c.Service):
		c.outcome.Reason, c.outcome.RetryAfter = AllFull, fullRetryAfter
	default:
		c.outcome.Reason, c.outcome.RetryAfter = NoTarget, startRetryAfter
	}
}

// attempt sends the request to one target.
func (c *call) attempt(ctx context.Context, choice placement.Choice) verdict {
	watch := c.watch(ctx, choice)
	defer func() { c.next = watch.stop() }()
	answer, err := c.opts.Targets.Send(watch.ctx, choice.Address, c.dispatch(choice))
	if err != nil {
		return c.failed(ctx, choice, watch, err)
	}
	c.opts.Placer.Told(choice, answer.Head().Load)
	if answer.Head().NotRun {
		return c.notRun(choice, answer)
	}
	c.outcome.PossibleRuns++
	if c.begun && !answer.Head().Success() {
		// The rest of a stream was refused as if it had run.
		answer.Close()
		c.opts.Placer.Done(choice, placement.Served)
		return c.afterLoss(choice, "status", nil)
	}
	return c.pass(ctx, choice, watch, answer)
}

func (c *call) dispatch(choice placement.Choice) *exchange.Dispatch {
	return &exchange.Dispatch{
		ID:           c.Request.ID,
		Method:       c.Request.Method,
		Host:         c.Request.Host,
		Path:         c.Request.Path,
		Query:        c.Request.Query,
		Target:       choice.ID,
		Organisation: c.Organisation,
		Left:         time.Until(c.Deadline),
		After:        c.position,
		Header:       c.Request.Header,
		Body:         c.Request.Body,
	}
}

// notRun handles an answer that promises that the target did not run the
// request.
func (c *call) notRun(choice placement.Choice, answer external.OpenAnswer) verdict {
	answer.Close()
	result := placement.Full
	if answer.Head().Elsewhere {
		result = placement.Replaced
		c.opts.Targets.Forget(choice.Address)
	}
	c.opts.Placer.Done(choice, result)
	c.note(choice, "not_run", "status", answer.Head().Status)
	return another
}

// failed handles a request that was sent and not answered, or not sent.
func (c *call) failed(ctx context.Context, choice placement.Choice, watch *watch, err error) verdict {
	notSent := errors.Is(err, external.ErrNotSent)
	if !notSent {
		c.outcome.PossibleRuns++
	}
	if ended := c.ended(ctx); ended {
		c.opts.Placer.Done(choice, watch.result(placement.Left))
		return finish
	}
	if notSent {
		c.opts.Placer.Done(choice, placement.Unreachable)
		c.note(choice, "unreachable", "err", err)
		return another
	}
	c.opts.Placer.Done(choice, watch.result(placement.Broken))
	return c.afterLoss(choice, "err", err)
}

// ended notes that the caller left or the time is over.
func (c *call) ended(ctx context.Context) bool {
	switch {
	case ctx.Err() == nil:
		return false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.outcome.Reason = TimedOut
		if c.begun {
			c.outcome.Reason = CutOff
		}
	default:
		c.outcome.Reason = CallerDisconnected
	}
	return true
}

// afterLoss says whether a request that may have run may run once more.
func (c *call) afterLoss(choice placement.Choice, key string, cause any) verdict {
	c.note(choice, "lost", key, cause)
	if c.Route.Repeatable() && c.outcome.PossibleRuns < c.Route.MaxAttempts {
		return another
	}
	c.outcome.Reason = Lost
	if c.begun {
		c.outcome.Reason = CutOff
	}
	return finish
}

// placed logs where a request goes before it goes there. A process that dies with
// the request leaves no other line of it.
func (c *call) placed(choice placement.Choice) {
	_ = level.Info(c.opts.Logger).Log("event", "request_placed", "request", c.Request.ID, "target", choice.ID,
		"domain", choice.Domain, "broker", choice.Broker, "busy", choice.Busy, "slots", choice.Slots,
		"waited_ms", c.outcome.PlacementTime.Milliseconds(), "left_ms", time.Until(c.Deadline).Milliseconds(),
		"attempt", c.outcome.Attempts, "position", c.position)
}

// note logs an attempt that did not bring the answer.
func (c *call) note(choice placement.Choice, what string, key string, value any) {
	_ = level.Info(c.opts.Logger).Log("event", "attempt_failed", "request", c.Request.ID, "target", choice.ID, "how", what,
		"busy", choice.Busy, "slots", choice.Slots, "position", c.position, "runs", c.outcome.PossibleRuns, key, value)
}
