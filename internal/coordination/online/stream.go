package online

import (
	"context"
	"net/http"
	"strings"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/sse"
)

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// forwardStream passes events on to the caller as they arrive, byte for byte.
func (c *call) forwardStream(ctx context.Context, pick coordination.Pick, response *external.Answer, wd *watchdog) (attemptOutcome, bool) {
	events := sse.NewReader(response.Body)
	resumed := c.result.Started
	for {
		event, err := events.Next()
		switch {
		case ctx.Err() != nil:
			c.endExpired(ctx, protocol.MayHaveRun)
			return outcomeFinal, true
		case err != nil:
			c.recordFailure(protocol.MayHaveRun, "the target's stream was interrupted", err)
			return outcomeRetry, false
		case resumed && !c.isNextEvent(event):
			c.recordFailure(protocol.MayHaveRun, "the target did not resume the stream at the requested position", nil)
			c.lastPosition = 0
			return outcomeRetry, false
		case !c.checkKey(protocol.MayHaveRun):
			return outcomeFinal, true
		}
		if resumed {
			resumed = false
			c.result.Resumed++
			counters.Add("resumed", 1)
		}
		if !c.result.Started {
			c.version = pick.Version
		}
		wd.extend(c.handler.policy.StallTimeout)
		if err := c.writeEvent(event, response, !events.More()); err != nil {
			return c.callerGone(), true
		}
		if event.Done {
			c.result.Refusal = nil
			c.recordEventGap()
			return outcomeDelivered, true
		}
	}
}

// isNextEvent reports whether the first event of a resumed stream directly
// follows the last one sent to the caller. Without this check, a target that
// ignores the position would make the caller read the beginning twice.
func (c *call) isNextEvent(event sse.Event) bool {
	return event.Done || event.Position == c.lastPosition+1
}

// writeEvent writes one event to the caller.
func (c *call) writeEvent(event sse.Event, response *external.Answer, flush bool) error {
	now := time.Now()
	if !c.result.Started {
		c.result.TimeToFirstByte = now.Sub(c.start)
		c.firstEventAt = now
		c.startResponse(response.Status, callerHeader(c.req, response.Header, protocol.MayHaveRun))
	}
	if _, err := c.w.Write(event.Raw); err != nil {
		return err
	}
	c.lastPosition = max(c.lastPosition, event.Position)
	c.result.Events++
	c.lastEventAt = now
	if !flush {
		return nil
	}
	return c.w.Flush()
}

func (c *call) recordEventGap() {
	if gaps := c.result.Events - 1; gaps > 0 {
		c.result.MeanEventGap = c.lastEventAt.Sub(c.firstEventAt) / time.Duration(gaps)
	}
}
