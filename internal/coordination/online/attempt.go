package online

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// attempt sends the call to one target and forwards the response to the caller.
func (c *call) attempt(ctx context.Context, pick coordination.Pick) (attemptOutcome, coordination.CallResult) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wd := newWatchdog(c.handler.policy.FirstByteTimeout, c.keyIsActive, c.targetProbe(pick), cancel)
	defer wd.stop()
	id := c.handler.nextID()
	started := time.Now()
	response, err := c.handler.opts.Target.Do(attemptCtx, pick.Address, c.targetCall(id))
	if err != nil {
		outcome, callResult := c.attemptError(ctx, pick, id, started, err)
		c.logFailedAttempt(attemptCtx, outcome, pick, id, started)
		return outcome, callResult
	}
	defer func() { _ = response.Body.Close() }()
	var callResult coordination.CallResult
	if c.req.Stream {
		// Without streaming, the first byte arrives only after the last token
		// has been generated, so it does not measure the target's latency to
		// the first token.
		callResult.FirstByte = time.Since(started)
	}
	outcome, targetOK := c.forward(ctx, pick, response, wd)
	c.logFailedAttempt(attemptCtx, outcome, pick, id, started)
	keyWithdrawn := wd.stop()
	callResult.Failed = !targetOK && !keyWithdrawn
	callResult.Abandoned = keyWithdrawn || (targetOK && outcome != outcomeDelivered)
	if outcome != outcomeDelivered {
		c.handler.canceller.enqueue(pick.Address, id)
	}
	return outcome, callResult
}

// targetProbe returns a function that checks whether the target still answers
// load requests, for a call without streaming whose response takes long. It
// returns nil for a stream, whose events already show that the target works.
func (c *call) targetProbe(pick coordination.Pick) func() bool {
	if c.req.Stream {
		return nil
	}
	return func() bool {
		if c.handler.opts.Loads == nil {
			return true
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.handler.policy.ProbeTimeout)
		defer cancel()
		_, err := c.handler.opts.Loads.Load(ctx, pick.Address)
		return err == nil
	}
}

func (c *call) targetCall(id protocol.CallID) external.Call {
	return external.Call{
		ID:       id,
		Method:   c.req.Method,
		Path:     c.req.Path,
		Header:   c.header,
		Body:     c.req.Body,
		ResumeAt: c.lastPosition,
	}
}

// attemptError handles an attempt that failed without a response.
func (c *call) attemptError(ctx context.Context, pick coordination.Pick, id protocol.CallID, started time.Time, err error) (attemptOutcome, coordination.CallResult) {
	run := runStateOf(err)
	if run == protocol.MayHaveRun {
		c.handler.canceller.enqueue(pick.Address, id)
	}
	callResult := c.classifyFailure(ctx, started, err)
	if !c.keyIsActive() {
		callResult = coordination.CallResult{Abandoned: true}
	}
	switch {
	case errors.Is(err, external.ErrPathNotAllowed):
		c.result.Refusal = closedPathRefusal()
		return outcomeFinal, callResult
	case ctx.Err() != nil:
		c.endExpired(ctx, run)
		return outcomeFinal, callResult
	case errors.Is(err, external.ErrCallIDMismatch):
		counters.Add("crossed", 1)
	}
	c.recordFailure(run, "the target did not respond", err)
	return outcomeRetry, callResult
}

func closedPathRefusal() *protocol.Refusal {
	return protocol.Refuse(protocol.CodeNotFound, 0, "the path is not open to callers")
}

// classifyFailure decides how a call without a response counts for the routing
// of its target. A caller that disconnects or sets a short deadline must not
// cause targets to be ejected. A target that sent nothing for a quarter of
// FirstByteTimeout counts as failed even then.
func (c *call) classifyFailure(ctx context.Context, started time.Time, err error) coordination.CallResult {
	switch {
	case errors.Is(err, external.ErrPathNotAllowed):
		return coordination.CallResult{Abandoned: true}
	case errors.Is(err, external.ErrLeaving):
		return coordination.CallResult{Leaving: true}
	case ctx.Err() != nil && time.Since(started) < c.handler.policy.FirstByteTimeout/slowTargetDivisor:
		return coordination.CallResult{Abandoned: true}
	default:
		return coordination.CallResult{Failed: true}
	}
}

// slowTargetDivisor sets the share of FirstByteTimeout, one quarter, after which
// a target that sent nothing counts as failed although the call ended before
// the timeout.
const slowTargetDivisor = 4

// forward passes a response on to the caller. targetOK reports whether the
// target handled the call correctly, also if the caller did not receive all of
// the response.
func (c *call) forward(ctx context.Context, pick coordination.Pick, response *external.Answer, wd *watchdog) (outcome attemptOutcome, targetOK bool) {
	switch {
	case response.Status >= http.StatusInternalServerError || response.Status == http.StatusTooManyRequests:
		c.recordFailure(protocol.MayHaveRun, "the target returned status "+http.StatusText(response.Status), nil)
		return outcomeRetry, false
	case c.req.Stream && isEventStream(response.Header):
		return c.forwardStream(ctx, pick, response, wd)
	case c.result.Started:
		c.recordFailure(protocol.MayHaveRun, "the target did not resume the stream", nil)
		return outcomeRetry, false
	}
	return c.forwardComplete(ctx, response)
}

// forwardComplete reads a response to its end before the first byte goes to the
// caller, so that the caller cannot mistake a truncated response for a complete
// one.
func (c *call) forwardComplete(ctx context.Context, response *external.Answer) (attemptOutcome, bool) {
	body, err := readAtMost(response.Body, c.handler.policy.MaxResponseBytes)
	if ctx.Err() != nil {
		c.endExpired(ctx, protocol.MayHaveRun)
		return outcomeFinal, true
	}
	if err != nil {
		c.recordFailure(protocol.MayHaveRun, "the target's response was truncated or too large", err)
		return outcomeRetry, false
	}
	c.recordFirstByte()
	return c.writeResponse(Response{Status: response.Status, Header: response.Header, Body: body}), true
}

// writeResponse writes a complete response to the caller.
func (c *call) writeResponse(response Response) attemptOutcome {
	if !c.checkKey(protocol.MayHaveRun) {
		return outcomeFinal
	}
	header := callerHeader(c.req, response.Header, protocol.Completed)
	if len(response.Body) > 0 {
		// With Content-Length the caller can detect a response that was
		// truncated in transit.
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	c.startResponse(response.Status, header)
	if _, err := c.w.Write(response.Body); err != nil {
		return c.callerGone()
	}
	if err := c.w.Flush(); err != nil {
		return c.callerGone()
	}
	c.result.Refusal = nil
	return outcomeDelivered
}

var errResponseTooLarge = errors.New("response exceeds the size limit")

// readAtMost reads body to its end. It fails if body has more than limit bytes.
func readAtMost(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errResponseTooLarge
	}
	return data, err
}

func (c *call) startResponse(status int, header http.Header) {
	c.result.Started = true
	c.result.Status = status
	// An error is reported by the first Write.
	_ = c.w.Begin(status, header)
}
