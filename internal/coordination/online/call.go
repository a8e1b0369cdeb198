package online

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// call is one online call in progress.
type call struct {
	handler *Handler
	req     *Request
	w       Writer
	start   time.Time
	header  http.Header
	result  Result
	// excluded holds the targets that failed and are not tried again.
	excluded []protocol.TargetID
	// lastPosition is the position, as numbered by the targets, of the last
	// event that was sent to the caller. It is 0 if the targets do not number
	// their events.
	lastPosition int
	// version is the software version of the target that sent the first event of the stream.
	version string
	// firstEventAt and lastEventAt are the times at which the first and the
	// last event were sent to the caller.
	firstEventAt, lastEventAt time.Time
	// failure is why the last attempt failed.
	failure attemptFailure
}

// attemptFailure is why an attempt failed.
type attemptFailure struct {
	run    protocol.RunState
	reason string
	err    error
}

// attemptOutcome is the outcome of one attempt.
type attemptOutcome int

const (
	// outcomeDelivered: the complete response was written to the caller.
	outcomeDelivered attemptOutcome = iota
	// outcomeFinal: the call ended with a refusal; no attempt may follow.
	outcomeFinal
	// outcomeRetry: the attempt failed and another target may be tried.
	outcomeRetry
)

// serveIdempotent tries targets until one delivers the complete response, a
// refusal is final, or the deadline, the attempts or the retry budget are
// exhausted.
func (c *call) serveIdempotent(ctx context.Context) {
	c.handler.recordCall(c.req.Service)
	for {
		pick, done, ok := c.pick()
		if !ok {
			c.refuseNoTarget()
			return
		}
		c.result.Attempts++
		c.result.Target = pick.Target
		c.logResumed(pick)
		outcome, seen := c.attempt(ctx, pick)
		done(seen)
		if outcome != outcomeRetry {
			return
		}
		c.excluded = append(c.excluded, pick.Target)
		if !c.checkKey(c.result.Refusal.Run) || !c.mayRetry(ctx) {
			return
		}
		counters.Add("retries", 1)
	}
}

func (c *call) pick() (coordination.Pick, func(coordination.CallResult), bool) {
	return c.handler.opts.Router.Pick(coordination.PickRequest{
		Service: c.req.Service,
		Prefix:  c.req.Prefix,
		Exclude: c.excluded,
		Resumes: c.result.Started,
		Version: c.version,
	})
}

// refuseNoTarget refuses the call because no target is available. It keeps the
// refusal of an earlier attempt, which is more specific.
func (c *call) refuseNoTarget() {
	if c.result.Refusal == nil {
		c.result.Refusal = protocol.Refuse(protocol.CodeNoTarget, c.handler.policy.RetryAfter, "no target of service %q is available", c.req.Service)
	}
}

// mayRetry decides whether another target is tried. A stream that has started
// is resumed only if its events are numbered, because the caller must not
// receive an event twice or miss one.
func (c *call) mayRetry(ctx context.Context) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case c.result.Attempts >= c.handler.policy.MaxAttempts:
		return false
	case c.result.Started && c.lastPosition == 0:
		return false
	}
	return c.handler.mayRetry(c.req.Service)
}

// logResumed logs that a started stream goes on at another target.
func (c *call) logResumed(pick coordination.Pick) {
	if !c.result.Started {
		return
	}
	_ = level.Info(c.handler.opts.Logger).Log("event", "request_placed", "request", c.req.ID, "target", pick.Target,
		"domain", pick.Domain, "attempt", c.result.Attempts, "position", c.lastPosition, "version", pick.Version,
		"stream_version", c.version, "version_source", "answer", "version_age_ms", time.Since(c.firstEventAt).Milliseconds())
}

// logFailedAttempt logs an attempt after which another target may be tried. The cause of
// ctx is set if the watchdog cancelled the attempt.
func (c *call) logFailedAttempt(ctx context.Context, outcome attemptOutcome, pick coordination.Pick, id protocol.CallID, started time.Time) {
	if outcome != outcomeRetry {
		return
	}
	how := "lost"
	if c.failure.run == protocol.NotRun {
		how = "not_run"
	}
	_ = level.Info(c.handler.opts.Logger).Log("event", "attempt_failed", "request", c.req.ID, "call", id,
		"target", pick.Target, "version", pick.Version, "stream_version", c.version,
		"attempt", c.result.Attempts, "how", how, "position", c.lastPosition,
		"reason", c.failure.reason, "cancelled", context.Cause(ctx), "took_ms", time.Since(started).Milliseconds(), "err", c.failure.err)
}

// runStateOf returns what is known about whether a failed call ran: MayHaveRun
// if err does not say.
func runStateOf(err error) protocol.RunState {
	var failed *external.CallError
	if errors.As(err, &failed) {
		return failed.Run
	}
	return protocol.MayHaveRun
}

// recordFailure sets the refusal with which the call ends if no further attempt
// is made. If any attempt may have run, the call counts as possibly run.
func (c *call) recordFailure(run protocol.RunState, message string, err error) {
	c.failure = attemptFailure{run: run, reason: message, err: err}
	previous := c.result.Refusal
	if run == protocol.NotRun && !c.result.Started && (previous == nil || previous.Run == protocol.NotRun) {
		c.result.Refusal = protocol.Refuse(protocol.CodeTargetFailed, c.handler.policy.RetryAfter, "%s", message)
		return
	}
	c.result.Refusal = protocol.Uncertain(protocol.CodeTargetFailed, "%s", message)
	if c.serviceIsIdempotent() {
		c.result.Refusal.RetryAfter = c.handler.policy.RetryAfter
	}
}

// serviceIsIdempotent reports whether the caller may send the call again
// whatever its outcome was.
func (c *call) serviceIsIdempotent() bool {
	return c.handler.opts.Fleet().Services[c.req.Service].Repeatable
}

// endExpired ends a call whose deadline passed or whose caller disconnected.
func (c *call) endExpired(ctx context.Context, run protocol.RunState) {
	previous := c.result.Refusal
	if c.result.Started || (previous != nil && previous.Run == protocol.MayHaveRun) {
		run = protocol.MayHaveRun
	}
	message := "the caller disconnected"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		message = "the deadline passed before the response was complete"
	}
	c.result.Refusal = &protocol.Refusal{Code: protocol.CodeDeadline, Message: message, Run: run}
}

func (c *call) recordFirstByte() {
	if c.result.TimeToFirstByte == 0 {
		c.result.TimeToFirstByte = time.Since(c.start)
	}
}

// checkKey reports whether the caller's key is still active. If the key has
// been withdrawn, checkKey ends the call with a refusal that states run.
func (c *call) checkKey(run protocol.RunState) bool {
	c.waitForCurrentConfig()
	if c.keyIsActive() {
		return true
	}
	c.result.Refusal = &protocol.Refusal{
		Code:    protocol.CodeKeyWithdrawn,
		Message: "the key was withdrawn during the call",
		Run:     run,
	}
	return false
}

// configPollInterval is the time between two checks of whether the
// configuration is current. After a pause of the process it is out of date only
// until the log has been read once.
const configPollInterval = 5 * time.Millisecond

// waitForCurrentConfig waits until the configuration is current, at most until
// the deadline of the call.
//
// Without it, a process that was paused for a minute would resume with received
// tokens and the keys from before the pause, and would send the tokens to a
// caller whose key was withdrawn during the pause.
func (c *call) waitForCurrentConfig() {
	current := c.handler.opts.ConfigCurrent
	if current == nil || current() {
		return
	}
	timer := time.NewTimer(configPollInterval)
	defer timer.Stop()
	for !current() && time.Now().Before(c.req.Deadline) {
		<-timer.C
		timer.Reset(configPollInterval)
	}
}

func (c *call) keyIsActive() bool {
	return c.handler.opts.Keys == nil || c.handler.opts.Keys.Active(c.req.Caller.Key)
}

// callerGone ends a call whose caller no longer reads the response.
func (c *call) callerGone() attemptOutcome {
	counters.Add("caller_gone", 1)
	c.result.Refusal = protocol.Uncertain(protocol.CodeDeadline, "the caller stopped reading the response")
	return outcomeFinal
}
