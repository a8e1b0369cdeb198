package oncecall

import (
	"context"
	"errors"
	"time"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/once"
	"merlintiller/internal/state/replica"
)

// awaitOutcome answers a resend from the reservation of the first call. If the
// first call is still running, it waits for the outcome for up to
// Options.ResendWait. released reports that the first dispatch did not run, so
// that the call may be reserved again.
func (c *Caller) awaitOutcome(ctx context.Context, call online.AtMostOnceCall, earlier once.Call) (response online.Response, refusal *protocol.Refusal, released bool) {
	if earlier.BodyHash != call.BodyHash {
		return response, protocol.Refuse(protocol.CodeConflict, 0, "the idempotency key was used for another request"), false
	}
	timer := time.NewTimer(c.opts.ResendWait)
	defer timer.Stop()
	for {
		changed := c.journal.Changed()
		earlier, found := c.lookup(call.Key)
		switch {
		case !found:
			return response, nil, true
		case earlier.Settled:
			response, refusal = c.storedResponse(ctx, earlier)
			return response, refusal, false
		case !c.ownerSessionOpen(earlier):
			return response, unknownOutcome(), false
		}
		select {
		case <-changed:
		case <-timer.C:
			return response, stillRunning("the call is still running; retry later"), false
		case <-ctx.Done():
			return response, stillRunning("the call is still running; retry later"), false
		}
	}
}

func stillRunning(message string) *protocol.Refusal {
	return &protocol.Refusal{Code: protocol.CodeConflict, Message: message, Run: protocol.MayHaveRun, RetryAfter: runningRetryAfter}
}

// ownerSessionOpen reports whether the session that reserved a call is open.
func (c *Caller) ownerSessionOpen(earlier once.Call) (open bool) {
	c.journal.View(func(state *replica.State) { open = state.Sessions.Open(earlier.Session) })
	return open
}

// storedResponse returns the response of the first dispatch.
func (c *Caller) storedResponse(ctx context.Context, earlier once.Call) (online.Response, *protocol.Refusal) {
	if earlier.Status == 0 {
		return online.Response{}, unknownOutcome()
	}
	if earlier.Data == protocol.NoOffset {
		return online.Response{}, responseNotKept()
	}
	payload, err := c.journal.ReadData(ctx, earlier.Data)
	if errors.Is(err, external.ErrTrimmed) {
		return online.Response{}, responseNotKept()
	}
	if err != nil {
		return online.Response{}, &protocol.Refusal{
			Code:       protocol.CodePlatformDown,
			Message:    "the call ran; its response cannot be read from the platform's log at present",
			Run:        protocol.Completed,
			RetryAfter: c.opts.RetryAfter,
		}
	}
	entry, err := bulk.Decode(payload)
	if err != nil || entry.Answer == nil {
		return online.Response{}, responseNotKept()
	}
	return online.Response{
		Status: entry.Answer.Status,
		Header: entry.Answer.Header,
		Body:   entry.Answer.Body,
		Stored: true,
	}, nil
}

// responseNotKept returns the refusal of a resend of a call that ran and whose
// response was too large to store or has been removed from the log.
func responseNotKept() *protocol.Refusal {
	return &protocol.Refusal{
		Code:    protocol.CodeGone,
		Message: "the call ran; its response is no longer stored",
		Run:     protocol.Completed,
	}
}
