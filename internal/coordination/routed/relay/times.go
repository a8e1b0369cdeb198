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

// firstBytes returns the estimate of the time until the first bytes of the answer.
func (c *call) firstBytes() servicetime.Estimate { return c.opts.Times.FirstBytes(c.work()) }

// sendWithin returns the time after its arrival within which the request must be sent for its
// answer to be on time.
func (c *call) sendWithin(firstBytes servicetime.Estimate) time.Duration {
	return servicetime.SendWithin(c.Route.LatencyObjective, expectedTimeToFirstByte, firstBytes)
}

// firstByteTimeout returns the time without an answer after which an exchange counts as stalled.
func (c *call) firstByteTimeout(firstBytes servicetime.Estimate) time.Duration {
	usual := max(minFirstByteTimeout, time.Duration(firstByteTimeoutFraction*float64(c.Route.LatencyObjective)))
	return servicetime.StallAfter(c.Route.LatencyObjective, usual, firstBytes)
}

// attemptBegins records that the request is about to be sent.
func (c *call) attemptBegins() {
	c.sentAt, c.stoppedBefore = time.Now(), c.outcome.ReadStopped
	c.lastDataAt = c.sentAt
	c.sentWhole = c.lastEvent == exchange.FromStart
}

// firstBytesSent records that the first bytes of an answer are sent or taken over for delivery. Error statuses
// come sooner than answers.
func (c *call) firstBytesSent(reply *exchange.Reply) {
	if reply.Success() {
		c.opts.Times.AddFirstBytes(c.work(), time.Since(c.sentAt))
	}
}

// answerForwarded records that the answer is complete, if this attempt has brought all of it. The
// time for which the target was not read is that of the caller.
func (c *call) answerForwarded(reply *exchange.Reply) {
	if reply.Success() && c.sentWhole {
		stopped := c.outcome.ReadStopped - c.stoppedBefore
		c.opts.Times.AddAnswer(c.Service, time.Since(c.sentAt)-stopped)
	}
}

// attemptGivenUp records that the request goes to another target because of a stall.
func (c *call) attemptGivenUp() {
	if c.failover != nil && !c.headSent {
		c.opts.Times.AddGivenUp(c.work())
	}
}
