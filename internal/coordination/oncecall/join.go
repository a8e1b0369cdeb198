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

// join answers a resend from the reservation of the first call, and waits for
// its outcome for a little while if it still runs. released says that the first
// dispatch did not run and the call may be reserved again.
func (c *Caller) join(ctx context.Context, call online.AtMostOnceCall, known once.Call) (answer online.Response, refusal *protocol.Refusal, released bool) {
	if known.BodyHash != call.BodyHash {
		return answer, protocol.Refuse(protocol.CodeConflict, 0, "the idempotency key was used for another request"), false
	}
	limit := time.NewTimer(c.opts.JoinTimeout)
	defer limit.Stop()
	for {
		changed := c.journal.Changed()
		known, found := c.lookup(call.Key)
		switch {
		case !found:
			return answer, nil, true
		case known.Settled:
			answer, refusal = c.stored(ctx, known)
			return answer, refusal, false
		case !c.holderLives(known):
			return answer, unknownOutcome(), false
		}
		select {
		case <-changed:
		case <-limit.C:
			return answer, running("the call is running; ask again"), false
		case <-ctx.Done():
			return answer, running("the call is running; ask again"), false
		}
	}
}

func running(message string) *protocol.Refusal {
	return &protocol.Refusal{Code: protocol.CodeConflict, Message: message, Run: protocol.MayHaveRun, RetryAfter: joinRetry}
}

func (c *Caller) holderLives(known once.Call) (open bool) {
	c.journal.View(func(state *replica.State) { open = state.Sessions.Open(known.Session) })
	return open
}

// stored gives the answer of the first dispatch.
func (c *Caller) stored(ctx context.Context, known once.Call) (online.Response, *protocol.Refusal) {
	if known.Status == 0 {
		return online.Response{}, unknownOutcome()
	}
	if known.Data == protocol.NoOffset {
		return online.Response{}, gone()
	}
	payload, err := c.journal.ReadData(ctx, known.Data)
	if errors.Is(err, external.ErrTrimmed) {
		return online.Response{}, gone()
	}
	if err != nil {
		return online.Response{}, &protocol.Refusal{
			Code:       protocol.CodePlatformDown,
			Message:    "the call ran; the platform's log does not give its answer now",
			Run:        protocol.Completed,
			RetryAfter: c.opts.RetryAfter,
		}
	}
	entry, err := bulk.Decode(payload)
	if err != nil || entry.Answer == nil {
		return online.Response{}, gone()
	}
	return online.Response{
		Status: entry.Answer.Status,
		Header: entry.Answer.Header,
		Body:   entry.Answer.Body,
		Stored: true,
	}, nil
}

// gone is the answer to a resend of a call that ran and whose answer was too
// large to keep or is past its time.
func gone() *protocol.Refusal {
	return &protocol.Refusal{
		Code:    protocol.CodeGone,
		Message: "the call ran; its answer is not kept any more",
		Run:     protocol.Completed,
	}
}
