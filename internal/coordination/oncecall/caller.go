// Package oncecall dispatches calls that are not idempotent at most once in the
// whole fleet.
//
// A call with an idempotency key is reserved by a control record in the log. The
// instance whose record is read back as the first one sends the call. Every
// other instance that receives the same call responds from the reservation. A
// call whose reservation has no outcome is never sent again, even if the
// instance that reserved it has terminated: the call may have run, and the log
// cannot show that it did not.
//
// Known limitation: an instance that is paused between its last check and the
// send may send the call late, after its caller was told that the outcome is
// unknown. The call is still sent only once.
package oncecall

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"expvar"
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/defaults"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/ring"
	"merlintiller/internal/state/once"
	"merlintiller/internal/state/replica"
)

// counters counts calls that were not sent after a pause and outcomes that were
// lost before they were recorded.
var counters = expvar.NewMap("oncecall")

// Options holds the settings of a Caller. A zero field takes its default.
type Options struct {
	// ReserveTimeout bounds the wait for a reservation to be read back from the
	// log. Default 3 s: after that it is better to ask the caller to retry than
	// to keep it waiting.
	ReserveTimeout time.Duration
	// DispatchTimeout bounds a dispatch whose caller set no deadline. Default
	// 5 min.
	DispatchTimeout time.Duration
	// RecordTimeout bounds the wait for the outcome to be written to the log
	// before the caller gets the response. Default 1 s. After that the outcome
	// is recorded in the background.
	RecordTimeout time.Duration
	// ResendWait bounds how long a resend waits for the first dispatch to end.
	// Default 2 s.
	ResendWait time.Duration
	// RetryAfter is the retry delay stated in refusals, for example when the
	// log is down. Default 5 s.
	RetryAfter time.Duration
	// Retention is how long an idempotency key is remembered. Default 24 h,
	// less than the retention of the platform's log, because stored responses
	// are not copied to newer entries before the log is trimmed.
	Retention time.Duration
	// MaxCalls bounds the idempotency keys that are remembered. Default
	// 200,000, which take 25 MB. Beyond it, calls are refused as not run:
	// dropping a key early could let its call run twice.
	MaxCalls int
	// MaxUnrecorded bounds the queue of outcomes that could not be recorded yet.
	// Default 1024.
	MaxUnrecorded int
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.ReserveTimeout, 3*time.Second)
	defaults.Set(&o.DispatchTimeout, 5*time.Minute)
	defaults.Set(&o.RecordTimeout, time.Second)
	defaults.Set(&o.ResendWait, 2*time.Second)
	defaults.Set(&o.RetryAfter, 5*time.Second)
	defaults.Set(&o.Retention, 24*time.Hour)
	defaults.Set(&o.MaxCalls, 200_000)
	defaults.Set(&o.MaxUnrecorded, 1024)
	return o
}

// runningRetryAfter is the retry delay stated for a call that is still running.
const runningRetryAfter = time.Second

// maxKeyBytes bounds an idempotency key, in bytes. Every instance keeps all keys
// in memory.
const maxKeyBytes = 256

// Caller implements online.AtMostOnceCaller.
type Caller struct {
	journal coordination.Journal
	opts    Options
	logger  log.Logger
	// unrecorded is the queue of outcomes that could not be recorded at once.
	// The Recorder writes them.
	unrecorded *ring.Ring[outcomeNote]
}

var _ online.AtMostOnceCaller = (*Caller)(nil)

// New returns a Caller. name identifies its queue of unrecorded outcomes in
// expvar. If name is empty, the queue is not published.
func New(name string, journal coordination.Journal, opts Options, logger log.Logger) *Caller {
	opts = opts.withDefaults()
	return &Caller{
		journal:    journal,
		opts:       opts,
		logger:     logger,
		unrecorded: ring.New[outcomeNote](name, opts.MaxUnrecorded),
	}
}

// newCallID returns a random ID of 128 bits for a dispatch.
func newCallID() protocol.CallID {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return protocol.CallID("call_" + hex.EncodeToString(random[:]))
}

// CallAtMostOnce implements online.AtMostOnceCaller. After the call has been sent,
// it continues when the caller disconnects, so that a resend finds the response.
func (c *Caller) CallAtMostOnce(ctx context.Context, call online.AtMostOnceCall, dispatch online.Dispatch) (online.Response, *protocol.Refusal) {
	if len(call.Key.Key) > maxKeyBytes {
		return online.Response{}, protocol.Refuse(protocol.CodeBadRequest, 0, "the idempotency key must have at most %d bytes", maxKeyBytes)
	}
	for range maxReserveAttempts {
		if earlier, found := c.lookup(call.Key); found {
			response, refusal, released := c.awaitOutcome(ctx, call, earlier)
			if !released {
				return response, refusal
			}
		}
		response, refusal, reservedByOther := c.reserveAndSend(ctx, call, dispatch)
		if !reservedByOther {
			return response, refusal
		}
	}
	return online.Response{}, stillRunning("other instances are trying the call; retry later")
}

// maxReserveAttempts bounds how often the reservation of a call is attempted,
// for example after another instance won the reservation or released it.
const maxReserveAttempts = 3

// reserveAndSend reserves the call and sends it. reservedByOther reports that
// the call is already reserved, usually by another instance; it was not sent.
func (c *Caller) reserveAndSend(ctx context.Context, call online.AtMostOnceCall, dispatch online.Dispatch) (response online.Response, refusal *protocol.Refusal, reservedByOther bool) {
	if c.rememberedCalls() >= c.opts.MaxCalls {
		return response, protocol.Refuse(protocol.CodeOverloaded, overloadRetryAfter, "the limit of remembered calls with an idempotency key is reached"), false
	}
	id := newCallID()
	outcome := c.reserve(ctx, call, id)
	if outcome.Run == protocol.NotRun {
		return response, c.logDownRefusal(), false
	}
	if outcome.Run != protocol.Completed {
		// The reservation may have been written to the log. The call was not
		// sent and never will be under this ID, so the reservation must be
		// released. Otherwise every resend would be told that the outcome is
		// unknown.
		c.enqueue(outcomeNote{release: true, key: call.Key, id: id})
		return response, c.logDownRefusal(), false
	}
	switch outcome.Verdict {
	case protocol.Accepted:
		response, refusal = c.send(ctx, call.Key, id, dispatch)
		return response, refusal, false
	case protocol.AlreadyHeld:
		return response, nil, true
	case protocol.NoSession:
		return response, protocol.Refuse(protocol.CodeInstanceStarting, c.opts.RetryAfter, "this instance has no open session"), false
	}
	return response, protocol.Refuse(protocol.CodeInternal, 0, "the call could not be reserved: %s", outcome.Verdict), false
}

// overloadRetryAfter is the retry delay stated while MaxCalls is reached: old
// reservations are dropped every minute.
const overloadRetryAfter = time.Minute

// rememberedCalls returns the number of calls that the replicated state holds.
func (c *Caller) rememberedCalls() (count int) {
	c.journal.View(func(state *replica.State) { count = state.Once.Len() })
	return count
}

func (c *Caller) logDownRefusal() *protocol.Refusal {
	return protocol.Refuse(protocol.CodePlatformDown, c.opts.RetryAfter, "the platform's log did not confirm the reservation of the call; it was not sent")
}

func (c *Caller) reserve(ctx context.Context, call online.AtMostOnceCall, id protocol.CallID) coordination.Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReserveTimeout)
	defer cancel()
	return c.journal.Submit(ctx, protocol.Record{CallReserve: &protocol.CallReserve{
		Call:     call.Key,
		ID:       id,
		BodyHash: call.BodyHash,
		At:       time.Now().UTC(),
	}})
}

func (c *Caller) lookup(key protocol.CallKey) (call once.Call, found bool) {
	c.journal.View(func(state *replica.State) { call, found = state.Once.Call(key) })
	return call, found
}

// send performs the only dispatch of a reserved call and records its outcome.
func (c *Caller) send(ctx context.Context, key protocol.CallKey, id protocol.CallID, dispatch online.Dispatch) (online.Response, *protocol.Refusal) {
	if ctx.Err() != nil || !c.ownsReservation(key, id) {
		// Without this check, an instance that was paused after the reservation
		// would send a call long after the caller was told another outcome.
		counters.Add("not_sent_after_pause", 1)
		c.record(ctx, outcomeNote{release: true, key: key, id: id})
		return online.Response{}, protocol.Refuse(protocol.CodeInstanceStarting, c.opts.RetryAfter, "this instance lost its session before it could send the call")
	}
	sendCtx, cancel := c.detachFromCaller(ctx)
	defer cancel()
	response, err := dispatch(sendCtx, id)
	if err != nil {
		return online.Response{}, c.dispatchFailed(sendCtx, key, id, err)
	}
	c.record(sendCtx, outcomeNote{key: key, id: id, response: &response})
	return response, nil
}

// ownsReservation is the last check before the send. It reports whether the
// session under which the call was reserved is still this instance's session
// and may hold exclusive work.
func (c *Caller) ownsReservation(key protocol.CallKey, id protocol.CallID) bool {
	if !c.journal.MayHold() {
		return false
	}
	call, found := c.lookup(key)
	return found && call.ReservedFor(id) && call.Session == c.journal.Session()
}

// detachFromCaller returns a context that keeps the caller's deadline but is not
// cancelled when the caller disconnects.
func (c *Caller) detachFromCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithTimeout(detached, c.opts.DispatchTimeout)
}

// dispatchFailed records the outcome of a failed dispatch and returns the
// refusal. The reservation is released only if the call certainly did not run.
func (c *Caller) dispatchFailed(ctx context.Context, key protocol.CallKey, id protocol.CallID, err error) *protocol.Refusal {
	var callError *external.CallError
	if errors.As(err, &callError) && callError.Run == protocol.NotRun {
		c.record(ctx, outcomeNote{release: true, key: key, id: id})
		return protocol.Refuse(protocol.CodeNoTarget, c.opts.RetryAfter, "no target accepted the call")
	}
	c.record(ctx, outcomeNote{key: key, id: id})
	return unknownOutcome()
}

func unknownOutcome() *protocol.Refusal {
	return protocol.Uncertain(protocol.CodeOutcomeUnknown, "the call was sent and no complete response was received; it will not be sent again")
}
