package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/sse"
	"merlintiller/internal/state/route"
)

// wholeAnswer is the largest answer that is read before its head is passed on,
// so that one that breaks off can be asked for again.
const wholeAnswer = 256 << 10

// eventGaps are the pauses between two events of a stream at this instance.
var eventGaps = metrics.NewPrometheusHistogram("stream_event_gap_seconds")

// pass passes an answer on.
func (c *call) pass(ctx context.Context, choice placement.Choice, watch *watch, answer external.OpenAnswer) verdict {
	var err error
	if c.Route.Kind == route.Stream && answer.Head().Success() {
		err = c.passStream(watch, answer)
	} else {
		err = c.passWhole(answer)
	}
	answer.Close()
	if err == nil {
		c.opts.Placer.Done(choice, placement.Served)
		c.outcome.Reason = Relayed
		return finish
	}
	if c.ended(ctx) {
		c.opts.Placer.Done(choice, watch.result(placement.Left))
		return finish
	}
	if errors.Is(err, errCallerGone) {
		c.opts.Placer.Done(choice, placement.Left)
		c.outcome.Reason = CallerDisconnected
		return finish
	}
	c.opts.Placer.Done(choice, watch.result(placement.Broken))
	return c.afterLoss(choice, "err", err)
}

// errCallerGone: the caller's connection takes nothing more.
var errCallerGone = errors.New("caller is gone")

// passStream passes whole events on. A target may stop in the middle of one; the
// caller must not get a part of it twice.
func (c *call) passStream(watch *watch, answer external.OpenAnswer) error {
	events := sse.NewReader(answer)
	var last time.Time
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return c.begin(answer)
		}
		if err != nil {
			return err
		}
		watch.goesOn()
		now := time.Now()
		if !last.IsZero() {
			eventGaps.Update(now.Sub(last).Seconds())
		}
		last = now
		if err := c.begin(answer); err != nil {
			return err
		}
		if err := c.sink.SendBody(event.Raw); err != nil {
			return errors.Join(errCallerGone, err)
		}
		if event.Numbered {
			c.position = event.Position
		}
		c.outcome.Events++
	}
}

// begin sends the head of the answer once. A stream that goes on at another
// target keeps the head of its first one.
func (c *call) begin(answer external.OpenAnswer) error {
	if c.begun {
		return nil
	}
	c.begun = true
	c.outcome.TimeToFirstByte = max(1, time.Since(c.ReceivedAt))
	c.outcome.Status = answer.Head().Status
	c.sink.SendHead(answer.Head())
	return nil
}

// passWhole passes an answer on that is no stream.
func (c *call) passWhole(answer external.OpenAnswer) error {
	body := make([]byte, 0, 4<<10)
	for len(body) < wholeAnswer {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return c.passPart(answer, body)
		}
		if err != nil {
			return err
		}
	}
	if err := c.passPart(answer, body); err != nil {
		return err
	}
	for {
		n, err := answer.Read(body[:cap(body)])
		if n > 0 {
			if err := c.passPart(answer, body[:n]); err != nil {
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

func (c *call) passPart(answer external.OpenAnswer, part []byte) error {
	if err := c.begin(answer); err != nil {
		return err
	}
	if len(part) == 0 {
		return nil
	}
	if err := c.sink.SendBody(part); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}
