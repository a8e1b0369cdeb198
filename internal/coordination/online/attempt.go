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

// attempt sends the call to one target and relays its answer.
func (c *call) attempt(ctx context.Context, pick coordination.Pick) (ending, coordination.CallResult) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	dog := newWatchdog(c.path.policy.FirstByteTimeout, c.active, c.signOfLife(pick), cancel)
	defer dog.stop()
	id := c.path.nextID()
	begun := time.Now()
	answer, err := c.path.opts.Target.Do(attemptCtx, pick.Address, c.message(id))
	if err != nil {
		return c.refused(ctx, pick, id, begun, err)
	}
	defer func() { _ = answer.Body.Close() }()
	var seen coordination.CallResult
	if c.req.Stream {
		// The first byte of a whole answer comes after its last token, so it
		// says nothing of how fast the target begins.
		seen.FirstByte = time.Since(begun)
	}
	outcome, sound := c.relay(ctx, answer, dog)
	withdrawn := dog.stop()
	seen.Failed = !sound && !withdrawn
	seen.Abandoned = withdrawn || (sound && outcome != delivered)
	if outcome != delivered {
		c.path.cancels.offer(pick.Address, id)
	}
	return outcome, seen
}

// signOfLife asks a target whether it still answers at all, for a whole answer
// that is long in coming. A stream needs none: its events are the sign.
func (c *call) signOfLife(pick coordination.Pick) func() bool {
	if c.req.Stream {
		return nil
	}
	return func() bool {
		if c.path.opts.Loads == nil {
			return true
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.path.policy.ProbeTimeout)
		defer cancel()
		_, err := c.path.opts.Loads.Load(ctx, pick.Address)
		return err == nil
	}
}

func (c *call) message(id protocol.CallID) external.Call {
	return external.Call{
		ID:       id,
		Method:   c.req.Method,
		Path:     c.req.Path,
		Header:   c.header,
		Body:     c.req.Body,
		ResumeAt: c.position,
	}
}

// refused handles an attempt that brought no answer.
func (c *call) refused(ctx context.Context, pick coordination.Pick, id protocol.CallID, begun time.Time, err error) (ending, coordination.CallResult) {
	run := runOf(err)
	if run == protocol.MayHaveRun {
		c.path.cancels.offer(pick.Address, id)
	}
	seen := c.judge(ctx, begun, err)
	if !c.active() {
		seen = coordination.CallResult{Abandoned: true}
	}
	switch {
	case errors.Is(err, external.ErrPathClosed):
		c.result.Refusal = pathClosed()
		return final, seen
	case ctx.Err() != nil:
		c.expired(ctx, run)
		return final, seen
	case errors.Is(err, external.ErrCrossed):
		published.Add("crossed", 1)
	}
	c.fail(run, "the target gave no answer")
	return again, seen
}

func pathClosed() *protocol.Refusal {
	return protocol.Refuse(protocol.CodeNotFound, 0, "the path is not open to callers")
}

// judge tells what a call without an answer says of its target. A caller that
// leaves or sets a short deadline must not get targets ejected; a target that
// showed nothing for a good part of the time it is given should be.
func (c *call) judge(ctx context.Context, begun time.Time, err error) coordination.CallResult {
	switch {
	case errors.Is(err, external.ErrPathClosed):
		return coordination.CallResult{Abandoned: true}
	case errors.Is(err, external.ErrLeaving):
		return coordination.CallResult{Leaving: true}
	case ctx.Err() != nil && time.Since(begun) < c.path.policy.FirstByteTimeout/slowPart:
		return coordination.CallResult{Abandoned: true}
	default:
		return coordination.CallResult{Failed: true}
	}
}

// slowPart is the part of FirstByteTimeout after which a target that showed
// nothing counts as failed, although it was the call that ended first.
const slowPart = 4

// relay passes an answer on. sound says that the target did its part.
func (c *call) relay(ctx context.Context, answer *external.Answer, dog *watchdog) (outcome ending, sound bool) {
	switch {
	case answer.Status >= http.StatusInternalServerError || answer.Status == http.StatusTooManyRequests:
		c.fail(protocol.MayHaveRun, "the target answered "+http.StatusText(answer.Status))
		return again, false
	case c.req.Stream && isEventStream(answer.Header):
		return c.stream(ctx, answer, dog)
	case c.result.Started:
		c.fail(protocol.MayHaveRun, "the target did not go on with the stream")
		return again, false
	}
	return c.whole(ctx, answer)
}

// whole reads an answer to its end before the first byte goes to the caller,
// so that a cut answer can't be taken for a whole one.
func (c *call) whole(ctx context.Context, answer *external.Answer) (ending, bool) {
	body, err := readWhole(answer.Body, c.path.policy.MaxResponseBytes)
	if ctx.Err() != nil {
		c.expired(ctx, protocol.MayHaveRun)
		return final, true
	}
	if err != nil {
		c.fail(protocol.MayHaveRun, "the target's answer broke off")
		return again, false
	}
	c.firstByte()
	return c.deliver(Response{Status: answer.Status, Header: answer.Header, Body: body}), true
}

// deliver writes a whole answer.
func (c *call) deliver(answer Response) ending {
	if !c.keyActive(protocol.MayHaveRun) {
		return final
	}
	header := toCaller(c.req, answer.Header, protocol.Completed)
	if len(answer.Body) > 0 {
		// With a length the caller notices an answer that was cut on its way.
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	c.begin(answer.Status, header)
	if _, err := c.w.Write(answer.Body); err != nil {
		return c.gone()
	}
	if err := c.w.Flush(); err != nil {
		return c.gone()
	}
	c.result.Refusal = nil
	return delivered
}

var errTooLarge = errors.New("answer too large")

func readWhole(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errTooLarge
	}
	return data, err
}

func (c *call) begin(status int, header http.Header) {
	c.result.Started = true
	c.result.Status = status
	// An error shows at the first write.
	_ = c.w.Begin(status, header)
}
