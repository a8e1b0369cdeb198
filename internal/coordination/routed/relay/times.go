package relay

import (
	"time"

	"merlintiller/internal/coordination/routed/servicetime"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
)

// ExpectedTimes is what the time by which a request had to be sent was based on.
type ExpectedTimes struct {
	// FirstBytes is the estimate of the time until the first bytes. If it is not known, the
	// constant was used.
	FirstBytes servicetime.Estimate
	// SendWithin is the time after the arrival by which the request had to be sent to be on time.
	SendWithin time.Duration
	// StallAfter is the time without an answer after which the last exchange counted as stalled.
	StallAfter time.Duration
}

// LogFields returns the fields of the log line of a request, none if the constant was used.
func (t ExpectedTimes) LogFields() []any {
	if !t.FirstBytes.Known() {
		return nil
	}
	e := t.FirstBytes
	return []any{
		"send_within_ms", t.SendWithin.Milliseconds(), "stall_after_ms", t.StallAfter.Milliseconds(), "expected_first_byte_ms", e.Median.Milliseconds(),
		"expected_first_byte_90_ms", e.P90.Milliseconds(), "expected_answers", e.Count, "expected_age_ms", e.Age.Milliseconds(),
	}
}

func (c *call) work() servicetime.Work {
	return servicetime.Work{Service: c.Service, Stream: c.Route.Kind == route.Stream}
}

// sendWithin returns the time after its arrival within which the request must be sent for its
// answer to be on time.
func (c *call) sendWithin() time.Duration {
	e := c.opts.Times.FirstBytes(c.work())
	within := servicetime.SendWithin(c.Route.LatencyObjective, expectedTimeToFirstByte, e)
	c.outcome.Expected = ExpectedTimes{FirstBytes: e, SendWithin: within}
	return within
}

// firstByteTimeout returns the time without an answer after which an exchange counts as stalled.
func (c *call) firstByteTimeout() time.Duration {
	usual := max(minFirstByteTimeout, time.Duration(firstByteTimeoutFraction*float64(c.Route.LatencyObjective)))
	limit := servicetime.StallAfter(c.Route.LatencyObjective, usual, c.opts.Times.FirstBytes(c.work()))
	c.outcome.Expected.StallAfter = limit
	return limit
}

// attemptBegins records that the request is about to be sent.
func (c *call) attemptBegins() {
	c.sentAt = time.Now()
	c.sentWhole = c.lastEvent == exchange.FromStart
}

// firstBytesSent records that the caller receives the first bytes of an answer. Error statuses
// come sooner than answers.
func (c *call) firstBytesSent(reply *exchange.Reply) {
	if reply.Success() {
		c.opts.Times.AddFirstBytes(c.work(), time.Since(c.sentAt))
	}
}

// answerForwarded records that the answer is complete, if this attempt has brought all of it.
func (c *call) answerForwarded(reply *exchange.Reply) {
	if reply.Success() && c.sentWhole {
		c.opts.Times.AddAnswer(c.Service, time.Since(c.sentAt))
	}
}

// attemptGivenUp records that the request goes to another target because of a stall.
func (c *call) attemptGivenUp() {
	if c.failover != nil && !c.headSent {
		c.opts.Times.AddGivenUp(c.work())
	}
}
