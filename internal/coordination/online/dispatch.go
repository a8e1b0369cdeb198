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

// serveAtMostOnce serves a call that is not idempotent. The call continues when
// the caller disconnects: a half-finished call is worse than a response that is
// not read, and with an idempotency key the caller can fetch the response later.
func (c *call) serveAtMostOnce(ctx context.Context) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline)
	defer cancel()
	response, refusal := c.callAtMostOnce(ctx)
	if refusal != nil {
		c.result.Refusal = refusal
		return
	}
	c.recordFirstByte()
	c.writeResponse(response)
}

func (c *call) callAtMostOnce(ctx context.Context) (Response, *protocol.Refusal) {
	if c.req.IdempotencyKey == "" {
		response, err := c.dispatch(ctx, c.handler.nextID())
		if err != nil {
			return Response{}, c.dispatchRefusal(ctx, err)
		}
		return response, nil
	}
	if c.handler.opts.AtMostOnce == nil {
		return Response{}, protocol.Refuse(protocol.CodePlatformDown, c.handler.policy.RetryAfter, "calls with an idempotency key cannot be reserved at present")
	}
	return c.handler.opts.AtMostOnce.CallAtMostOnce(ctx, AtMostOnceCall{
		Key:      protocol.CallKey{Organisation: c.req.Caller.Organisation, Key: c.req.IdempotencyKey},
		BodyHash: c.requestHash(),
	}, c.dispatch)
}

// dispatchRefusal returns the refusal for a failed dispatch.
func (c *call) dispatchRefusal(ctx context.Context, err error) *protocol.Refusal {
	run := runStateOf(err)
	switch {
	case errors.Is(err, external.ErrPathNotAllowed):
		return closedPathRefusal()
	case run == protocol.NotRun && errors.Is(err, errNoTarget):
		return protocol.Refuse(protocol.CodeNoTarget, c.handler.policy.RetryAfter, "no target of service %q is available", c.req.Service)
	case run == protocol.NotRun:
		return protocol.Refuse(protocol.CodeTargetFailed, c.handler.policy.RetryAfter, "no target accepted the call")
	case ctx.Err() != nil:
		return protocol.Uncertain(protocol.CodeDeadline, "the deadline passed; the outcome of the call is unknown")
	default:
		return protocol.Uncertain(protocol.CodeOutcomeUnknown, "the target's response was lost; the call may have run and is not sent again")
	}
}

// requestHash covers everything that must be equal for two requests to be the
// same: service, method, path and body.
func (c *call) requestHash() uint64 {
	digest := xxhash.New()
	for _, part := range []string{string(c.req.Service), c.req.Method, c.req.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(c.req.Body)
	return digest.Sum64()
}

var errNoTarget = errors.New("no target available")

// dispatch tries targets until bytes of the call have been sent. After that it
// never sends the call again.
func (c *call) dispatch(ctx context.Context, id protocol.CallID) (Response, error) {
	c.handler.recordCall(c.req.Service)
	var lastErr error = &external.CallError{Run: protocol.NotRun, Err: errNoTarget}
	for {
		pick, done, ok := c.pick()
		if !ok {
			return Response{}, lastErr
		}
		c.result.Attempts++
		c.result.Target = pick.Target
		response, callResult, err := c.dispatchToTarget(ctx, pick, id)
		done(callResult)
		if err == nil || runStateOf(err) != protocol.NotRun {
			return response, err
		}
		if errors.Is(err, external.ErrPathNotAllowed) {
			return Response{}, err
		}
		lastErr = err
		c.excluded = append(c.excluded, pick.Target)
		if !c.mayRetry(ctx) {
			return Response{}, lastErr
		}
	}
}

// dispatchToTarget sends the call to one target and reads the complete response.
func (c *call) dispatchToTarget(ctx context.Context, pick coordination.Pick, id protocol.CallID) (Response, coordination.CallResult, error) {
	started := time.Now()
	response, err := c.handler.opts.AtMostOnceTarget.Do(ctx, pick.Address, c.targetCall(id))
	if err != nil {
		return Response{}, c.classifyFailure(ctx, started, err), err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readAtMost(response.Body, c.handler.policy.MaxResponseBytes)
	if err == nil && isEventStream(response.Header) {
		err = checkStreamComplete(body)
	}
	if err != nil {
		return Response{}, c.classifyFailure(ctx, started, err), &external.CallError{Run: protocol.MayHaveRun, Err: err}
	}
	return Response{Status: response.Status, Header: storedHeader(response.Header), Body: body}, coordination.CallResult{}, nil
}

// checkStreamComplete returns an error if the stream in body has no end marker.
func checkStreamComplete(body []byte) error {
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

// storedHeader returns the part of a target's header that is stored with the
// response.
func storedHeader(header http.Header) http.Header {
	out := http.Header{}
	for _, name := range returnedHeaders {
		if values := header[name]; len(values) > 0 {
			out[name] = values
		}
	}
	return out
}
