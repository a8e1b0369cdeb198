package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/sse"
	"merlintiller/internal/state/route"
)

// maxBufferedAnswer is the number of bytes of an answer that are buffered before
// its head is sent to the caller. A request whose answer breaks off before that
// can still be retried.
const maxBufferedAnswer = 256 << 10

// maxErrorBody bounds the body of an answer that is no success, in bytes. A faulty target may send one without end; the
// request is then retried, and the target avoided, as if its answer had been lost.
const maxErrorBody = maxBufferedAnswer

// eventGap is the time in seconds between two consecutive events of a stream that
// this instance forwards.
var eventGap = metrics.NewPrometheusHistogram("stream_event_gap_seconds")

// eventsTooLarge and errorsTooLarge count the events of streams and the answers that are no success that exceeded their
// bound.
var (
	eventsTooLarge = metrics.GetOrCreateCounter(`target_answers_too_large_total{what="event"}`)
	errorsTooLarge = metrics.GetOrCreateCounter(`target_answers_too_large_total{what="error"}`)
)

var errErrorTooLarge = fmt.Errorf("%w: error with a body of more than %d bytes", external.ErrTooLarge, maxErrorBody)

// checkErrorBody returns an error if an answer is no success and its body has exceeded its bound.
func checkErrorBody(answer external.OpenAnswer, read int) error {
	if read < maxErrorBody || answer.Head().Success() {
		return nil
	}
	errorsTooLarge.Inc()
	return errErrorTooLarge
}

// forward sends the target's answer to the caller and reports the result to the
// placer.
func (c *call) forward(ctx context.Context, choice placement.Choice, monitor *stallMonitor, answer external.OpenAnswer) nextStep {
	var err error
	if c.Route.Kind == route.Stream && answer.Head().Success() {
		err = c.forwardStream(choice, monitor, answer)
	} else if c.delivery != nil {
		err = c.forwardHeldBody(monitor, answer)
	} else {
		err = c.forwardBody(monitor, answer)
	}
	answer.Close()
	if err == nil {
		c.opts.Quarantine.Began(c.subject)
		c.opts.Quarantine.Completed(c.subject)
		c.opts.Placer.Done(choice, placement.Served)
		c.answerForwarded(answer.Head())
		c.outcome.Reason = Relayed
		return finish
	}
	if c.contextEnded(ctx) {
		c.opts.Placer.Done(choice, monitor.result(placement.Cancelled))
		c.reportLost(choice, err)
		return finish
	}
	if errors.Is(err, errCallerDisconnected) {
		c.opts.Placer.Done(choice, placement.Cancelled)
		c.outcome.Reason = CallerDisconnected
		return finish
	}
	c.opts.Placer.Done(choice, monitor.result(placement.Broken))
	c.reportLost(choice, err)
	return c.afterLostAnswer(choice, external.EndOf(err), "err", err)
}

// errCallerDisconnected: writing to the caller's connection failed.
var errCallerDisconnected = errors.New("caller disconnected")

// forwardStream forwards complete events only. A target may fail in the middle of
// an event, and the stream then resumes with that event at another target; the
// caller must not receive a part of it twice.
func (c *call) forwardStream(choice placement.Choice, monitor *stallMonitor, answer external.OpenAnswer) error {
	events := sse.NewReader(answer)
	var last time.Time
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if answer.Head().EndsWithConnection && c.attemptEvents == 0 {
				return external.ErrNoEvent
			}
			return c.sendHead(answer)
		}
		if err != nil {
			return eventError(err)
		}
		monitor.eventArrived()
		now := time.Now()
		c.lastDataAt = now
		if c.attemptEvents == 0 {
			c.firstEventAt = now
			c.attemptAnswered()
		}
		if !last.IsZero() {
			eventGap.Update(now.Sub(last).Seconds())
		}
		last = now
		c.streamBegins(choice, monitor)
		if err := c.sendHead(answer); err != nil {
			return err
		}
		if err := c.sendEvent(event.Raw, monitor); err != nil {
			return err
		}
		monitor.delivered()
		if event.HasPosition {
			c.lastEvent = event.Position
		}
		c.outcome.Events++
		c.attemptEvents++
		// After a cancellation the writer may still read a lent event from the buffer of events.
		if err := monitor.ctx.Err(); err != nil {
			return err
		}
	}
}

// eventError returns the error of reading an event, as one of the errors of a target.
func eventError(err error) error {
	if errors.Is(err, sse.ErrTooLong) {
		eventsTooLarge.Inc()
		return fmt.Errorf("%w: %w", external.ErrTooLarge, err)
	}
	return err
}

// sendEvent sends an event to the caller, or takes it over for delivery.
func (c *call) sendEvent(raw []byte, monitor *stallMonitor) error {
	if c.delivery != nil {
		return c.delivery.send(raw, monitor)
	}
	if err := c.sink.SendBody(raw); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}

// sendHead sends the head of the answer unless a head was sent before. A stream
// that resumes at another target keeps the head from its first target.
func (c *call) sendHead(answer external.OpenAnswer) error {
	if c.headSent {
		return nil
	}
	c.headSent = true
	c.outcome.TimeToFirstByte = max(1, time.Since(c.ReceivedAt))
	c.firstBytesSent(answer.Head())
	c.outcome.Status = answer.Head().Status
	c.sink.SendHead(answer.Head())
	return nil
}

// beginBody sends the head of an answer that no other run can continue, unless it was sent.
func (c *call) beginBody(monitor *stallMonitor, answer external.OpenAnswer) error {
	c.bodyBegan = true
	monitor.bodyBegins()
	return c.sendHead(answer)
}

// forwardBody forwards an answer that is not an event stream. Up to
// maxBufferedAnswer bytes are buffered first.
func (c *call) forwardBody(monitor *stallMonitor, answer external.OpenAnswer) error {
	body := make([]byte, 0, 4<<10)
	for len(body) < maxBufferedAnswer {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 {
			c.dataArrived(monitor)
		}
		if errors.Is(err, io.EOF) {
			return c.sendPart(monitor, answer, body)
		}
		if err != nil {
			return err
		}
	}
	if err := checkErrorBody(answer, len(body)); err != nil {
		return err
	}
	if err := c.sendPart(monitor, answer, body); err != nil {
		return err
	}
	for {
		n, err := answer.Read(body[:cap(body)])
		if n > 0 {
			c.dataArrived(monitor)
			if err := c.sendPart(monitor, answer, body[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// dataArrived records that a part of a body arrived.
func (c *call) dataArrived(monitor *stallMonitor) {
	c.lastDataAt = time.Now()
	monitor.progress()
}

// heldReadSize is the number of bytes that are read at once from an answer whose parts are held.
const heldReadSize = 4 << 10

// forwardHeldBody is forwardBody with parts that are held while the caller does not read. Fewer
// bytes are buffered before the head if the bound of held bytes is reached.
func (c *call) forwardHeldBody(monitor *stallMonitor, answer external.OpenAnswer) error {
	part := make([]byte, heldReadSize)
	held, read := 0, 0
	for {
		n, err := answer.Read(part)
		ended := errors.Is(err, io.EOF)
		read += n
		if err == nil {
			err = checkErrorBody(answer, read)
		}
		if n > 0 {
			c.dataArrived(monitor)
		}
		if err != nil && !ended && !c.headSent {
			c.delivery.discard()
			return err
		}
		if n > 0 && !c.headSent && held+n <= maxBufferedAnswer && c.delivery.hold(part[:n]) {
			held += n
		} else if n > 0 {
			if err := c.sendHeldPart(monitor, answer, part[:n]); err != nil {
				return err
			}
			// After a cancellation the writer may still read a lent part.
			if err := monitor.ctx.Err(); err != nil {
				return err
			}
		}
		if ended {
			return c.sendHeldPart(monitor, answer, nil)
		}
		if err != nil {
			return err
		}
	}
}

// sendHeldPart sends the head, if it was not sent, what is held, and a part.
func (c *call) sendHeldPart(monitor *stallMonitor, answer external.OpenAnswer, part []byte) error {
	if err := c.beginBody(monitor, answer); err != nil {
		return err
	}
	if len(part) == 0 {
		c.delivery.write()
		return nil
	}
	return c.delivery.send(part, monitor)
}

// sendPart sends a part of the answer's body, and the head before the first part.
func (c *call) sendPart(monitor *stallMonitor, answer external.OpenAnswer, part []byte) error {
	if err := c.beginBody(monitor, answer); err != nil {
		return err
	}
	if len(part) == 0 {
		return nil
	}
	if err := c.sink.SendBody(part); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}
