package online

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/sse"
)

// once serves a call that may not be repeated. It goes on when the caller
// leaves: half a call is worse than an answer that nobody waits for, and with
// an idempotency key the caller can fetch the answer later.
func (c *call) once(ctx context.Context) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline)
	defer cancel()
	answer, refusal := c.onceAnswer(ctx)
	if refusal != nil {
		c.result.Refusal = refusal
		return
	}
	c.firstByte()
	c.deliver(answer)
}

func (c *call) onceAnswer(ctx context.Context) (Response, *protocol.Refusal) {
	if c.req.IdempotencyKey == "" {
		answer, err := c.dispatch(ctx, c.path.nextID())
		if err != nil {
			return Response{}, c.onceRefusal(ctx, err)
		}
		return answer, nil
	}
	if c.path.opts.AtMostOnce == nil {
		return Response{}, protocol.Refuse(protocol.CodePlatformDown, c.path.policy.RetryAfter, "calls that may not be repeated can't be reserved now")
	}
	return c.path.opts.AtMostOnce.CallAtMostOnce(ctx, AtMostOnceCall{
		Key:      protocol.CallKey{Organisation: c.req.Caller.Organisation, Key: c.req.IdempotencyKey},
		BodyHash: c.bodyHash(),
	}, c.dispatch)
}

// onceRefusal words a failed dispatch.
func (c *call) onceRefusal(ctx context.Context, err error) *protocol.Refusal {
	run := runOf(err)
	switch {
	case errors.Is(err, external.ErrPathClosed):
		return pathClosed()
	case run == protocol.NotRun && errors.Is(err, errNoTarget):
		return protocol.Refuse(protocol.CodeNoTarget, c.path.policy.RetryAfter, "no target of %q may be used now", c.req.Service)
	case run == protocol.NotRun:
		return protocol.Refuse(protocol.CodeTargetFailed, c.path.policy.RetryAfter, "no target took the call")
	case ctx.Err() != nil:
		return protocol.Uncertain(protocol.CodeDeadline, "the deadline passed and the outcome is unknown")
	default:
		return protocol.Uncertain(protocol.CodeOutcomeUnknown, "the target's answer was lost; the call may have run and is not sent again")
	}
}

// bodyHash covers all that makes two requests the same one.
func (c *call) bodyHash() uint64 {
	digest := xxhash.New()
	for _, part := range []string{string(c.req.Service), c.req.Method, c.req.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(c.req.Body)
	return digest.Sum64()
}

// errNoTarget: there is no target to send to.
var errNoTarget = errors.New("no target")

// dispatch sends the call until a byte of it has left, and never again after.
func (c *call) dispatch(ctx context.Context, id protocol.CallID) (Response, error) {
	c.path.called(c.req.Service)
	var last error = &external.CallError{Run: protocol.NotRun, Err: errNoTarget}
	for {
		pick, done, ok := c.pick()
		if !ok {
			return Response{}, last
		}
		c.result.Attempts++
		c.result.Target = pick.Target
		answer, seen, err := c.dispatchTo(ctx, pick, id)
		done(seen)
		if err == nil || runOf(err) != protocol.NotRun {
			return answer, err
		}
		if errors.Is(err, external.ErrPathClosed) {
			return Response{}, err
		}
		last = err
		c.failed = append(c.failed, pick.Target)
		if !c.mayRetry(ctx) {
			return Response{}, last
		}
	}
}

func (c *call) dispatchTo(ctx context.Context, pick coordination.Pick, id protocol.CallID) (Response, coordination.CallResult, error) {
	begun := time.Now()
	answer, err := c.path.opts.AtMostOnceTarget.Do(ctx, pick.Address, c.message(id))
	if err != nil {
		return Response{}, c.judge(ctx, begun, err), err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := readWhole(answer.Body, c.path.policy.MaxResponseBytes)
	if err == nil && isEventStream(answer.Header) {
		err = wholeStream(body)
	}
	if err != nil {
		return Response{}, c.judge(ctx, begun, err), &external.CallError{Run: protocol.MayHaveRun, Err: err}
	}
	return Response{Status: answer.Status, Header: keptHeader(answer.Header), Body: body}, coordination.CallResult{}, nil
}

// wholeStream checks that a stream has its end mark.
func wholeStream(body []byte) error {
	events := sse.NewReader(bytes.NewReader(body))
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if event.Done {
			return nil
		}
	}
}

// keptHeader is what is kept of a target's header with its answer.
func keptHeader(header http.Header) http.Header {
	out := http.Header{}
	for _, name := range answerHeaders {
		if values := header[name]; len(values) > 0 {
			out[name] = values
		}
	}
	return out
}
