package online

import (
	"context"
	"net/http"
	"strings"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/sse"
)

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// stream passes events on as they come, byte for byte.
func (c *call) stream(ctx context.Context, answer *external.Answer, dog *watchdog) (ending, bool) {
	events := sse.NewReader(answer.Body)
	resumed := c.result.Started
	for {
		event, err := events.Next()
		switch {
		case ctx.Err() != nil:
			c.expired(ctx, protocol.MayHaveRun)
			return final, true
		case err != nil:
			c.fail(protocol.MayHaveRun, "the target's stream broke off")
			return again, false
		case resumed && !c.continues(event):
			c.fail(protocol.MayHaveRun, "the target did not resume the stream where it broke off")
			c.position = 0
			return again, false
		case !c.keyActive(protocol.MayHaveRun):
			return final, true
		}
		if resumed {
			resumed = false
			c.result.Resumed++
			published.Add("resumed", 1)
		}
		dog.feed(time.Now(), c.path.policy.StallTimeout)
		if err := c.event(event, answer, !events.More()); err != nil {
			return c.gone(), true
		}
		if event.Done {
			c.result.Refusal = nil
			c.finishStream()
			return delivered, true
		}
	}
}

// continues reports whether the first event of a resumed stream is the very
// next one. A target that ignores the position would otherwise make the caller
// read the beginning twice.
func (c *call) continues(event sse.Event) bool {
	return event.Done || event.Position == c.position+1
}

// event writes one event to the caller.
func (c *call) event(event sse.Event, answer *external.Answer, flush bool) error {
	now := time.Now()
	if !c.result.Started {
		c.result.TimeToFirstByte = now.Sub(c.start)
		c.firstEvent = now
		c.begin(answer.Status, toCaller(c.req, answer.Header, protocol.MayHaveRun))
	}
	if _, err := c.w.Write(event.Raw); err != nil {
		return err
	}
	c.position = max(c.position, event.Position)
	c.result.Events++
	c.lastEvent = now
	if !flush {
		return nil
	}
	return c.w.Flush()
}

func (c *call) finishStream() {
	if gaps := c.result.Events - 1; gaps > 0 {
		c.result.MeanEventGap = c.lastEvent.Sub(c.firstEvent) / time.Duration(gaps)
	}
}
