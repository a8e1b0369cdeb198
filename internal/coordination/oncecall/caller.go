// Package oncecall dispatches calls that may not be repeated, at most once over
// the whole fleet.
//
// A call with an idempotency key is reserved by a control record, and the
// instance that reads its record back as the first one sends it. Everyone else
// that gets the same call answers from the reservation. A reservation without
// an outcome is never sent again, whatever became of its holder: that a call
// did run can't be excluded, and nothing in the log could say so.
//
// What remains is stated, not hidden: an instance that is stopped between its
// last check and the send may send late, after its caller was told that the
// outcome is unknown. It is still the only send.
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

var counters = expvar.NewMap("oncecall")

// Options are the settings. The zero value of a field takes its default.
type Options struct {
	// ReserveTimeout bounds the wait for a reservation to be read back. Default
	// 3 s: the caller is better told to come back than kept.
	ReserveTimeout time.Duration
	// DispatchTimeout bounds a dispatch whose caller set no deadline. Default
	// 5 min.
	DispatchTimeout time.Duration
	// RecordTimeout bounds the wait for the outcome to stand in the log before
	// the caller gets the answer. Default 1 s. Later it is recorded in the
	// background.
	RecordTimeout time.Duration
	// JoinTimeout bounds how long a resend waits for the first dispatch to end.
	// Default 2 s.
	JoinTimeout time.Duration
	// RetryAfter is what callers are told when the log is down. Default 5 s.
	RetryAfter time.Duration
	// Retention is how long a key is remembered. Default 24 h, less than the
	// platform's retention, since stored answers are not carried forward.
	Retention time.Duration
	// MaxCalls bounds the keys that are remembered. Default 200,000, which take
	// 25 MB. Beyond it calls are refused as not run: forgetting one early could
	// run it twice.
	MaxCalls int
	// Unrecorded bounds the outcomes that wait for the log. Default 1024.
	Unrecorded int
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.ReserveTimeout, 3*time.Second)
	defaults.Set(&o.DispatchTimeout, 5*time.Minute)
	defaults.Set(&o.RecordTimeout, time.Second)
	defaults.Set(&o.JoinTimeout, 2*time.Second)
	defaults.Set(&o.RetryAfter, 5*time.Second)
	defaults.Set(&o.Retention, 24*time.Hour)
	defaults.Set(&o.MaxCalls, 200_000)
	defaults.Set(&o.Unrecorded, 1024)
	return o
}

// joinRetry is when a caller is told to ask again for a call that runs.
const joinRetry = time.Second

// maxKey bounds an idempotency key, which every instance remembers, in bytes.
const maxKey = 256

// Caller implements online.OnceCaller.
type Caller struct {
	journal coordination.Journal
	opts    Options
	logger  log.Logger
	// unrecorded joins the callers and the duty that records what could not be
	// recorded at once.
	unrecorded *ring.Ring[note]
}

var _ online.AtMostOnceCaller = (*Caller)(nil)

// New returns a Caller. name distinguishes its ring in expvar; empty publishes
// nothing.
func New(name string, journal coordination.Journal, opts Options, logger log.Logger) *Caller {
	opts = opts.withDefaults()
	return &Caller{
		journal:    journal,
		opts:       opts,
		logger:     logger,
		unrecorded: ring.New[note](name, opts.Unrecorded),
	}
}

// newCallID draws the id of a dispatch: 128 random bits.
func newCallID() protocol.CallID {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return protocol.CallID("call_" + hex.EncodeToString(random[:]))
}

// CallAtMostOnce implements online.OnceCaller. Once the call is under way it goes on
// when the caller leaves, so that a resend finds the answer.
func (c *Caller) CallAtMostOnce(ctx context.Context, call online.AtMostOnceCall, dispatch online.Dispatch) (online.Response, *protocol.Refusal) {
	if len(call.Key.Key) > maxKey {
		return online.Response{}, protocol.Refuse(protocol.CodeBadRequest, 0, "the idempotency key must have at most %d bytes", maxKey)
	}
	for range maxTurns {
		if known, found := c.lookup(call.Key); found {
			answer, refusal, released := c.join(ctx, call, known)
			if !released {
				return answer, refusal
			}
		}
		answer, refusal, lost := c.attempt(ctx, call, dispatch)
		if !lost {
			return answer, refusal
		}
	}
	return online.Response{}, running("the call is tried through other instances; ask again")
}

// maxTurns bounds how often a call is reserved after another instance released
// it or won the reservation.
const maxTurns = 3

// attempt reserves the call and sends it. lost says that another instance has
// the reservation.
func (c *Caller) attempt(ctx context.Context, call online.AtMostOnceCall, dispatch online.Dispatch) (answer online.Response, refusal *protocol.Refusal, lost bool) {
	if c.remembered() >= c.opts.MaxCalls {
		return answer, protocol.Refuse(protocol.CodeOverloaded, fullRetry, "too many calls with an idempotency key are remembered"), false
	}
	id := newCallID()
	outcome := c.reserve(ctx, call, id)
	if outcome.Run == protocol.NotRun {
		return answer, c.refuseLog(), false
	}
	if outcome.Run != protocol.Completed {
		// The reservation may stand. The call was not sent and never will be
		// under this id, so it must be withdrawn, or every resend would be told
		// that the outcome is unknown.
		c.later(note{release: true, key: call.Key, id: id})
		return answer, c.refuseLog(), false
	}
	switch outcome.Verdict {
	case protocol.Accepted:
		answer, refusal = c.send(ctx, call.Key, id, dispatch)
		return answer, refusal, false
	case protocol.AlreadyHeld:
		return answer, nil, true
	case protocol.NoSession:
		return answer, protocol.Refuse(protocol.CodeInstanceStarting, c.opts.RetryAfter, "this instance has no session now"), false
	}
	return answer, protocol.Refuse(protocol.CodeInternal, 0, "the call could not be reserved: %s", outcome.Verdict), false
}

// fullRetry is when a caller is told to come back while too many calls are
// remembered: some are forgotten every minute.
const fullRetry = time.Minute

func (c *Caller) remembered() (count int) {
	c.journal.View(func(state *replica.State) { count = state.Once.Len() })
	return count
}

func (c *Caller) refuseLog() *protocol.Refusal {
	return protocol.Refuse(protocol.CodePlatformDown, c.opts.RetryAfter, "the platform's log does not confirm that this call is the only one; it was not sent")
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

// send makes the only dispatch of a reserved call.
func (c *Caller) send(ctx context.Context, key protocol.CallKey, id protocol.CallID, dispatch online.Dispatch) (online.Response, *protocol.Refusal) {
	if ctx.Err() != nil || !c.stillHolds(key, id) {
		// An instance that was paused here would send a call whose caller has
		// long been told something else.
		counters.Add("not_sent_after_pause", 1)
		c.record(ctx, note{release: true, key: key, id: id})
		return online.Response{}, protocol.Refuse(protocol.CodeInstanceStarting, c.opts.RetryAfter, "this instance lost its session before it sent the call")
	}
	sendCtx, cancel := c.detach(ctx)
	defer cancel()
	answer, err := dispatch(sendCtx, id)
	if err != nil {
		return online.Response{}, c.failed(sendCtx, key, id, err)
	}
	c.record(sendCtx, note{key: key, id: id, answer: &answer})
	return answer, nil
}

// stillHolds is the last check before the send: the session under which the
// call was reserved is open and may be used.
func (c *Caller) stillHolds(key protocol.CallKey, id protocol.CallID) bool {
	if !c.journal.MayHold() {
		return false
	}
	call, found := c.lookup(key)
	return found && call.Is(id) && call.Session == c.journal.Session()
}

// detach keeps the deadline of a caller and not its leaving.
func (c *Caller) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	free := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(free, deadline)
	}
	return context.WithTimeout(free, c.opts.DispatchTimeout)
}

func (c *Caller) failed(ctx context.Context, key protocol.CallKey, id protocol.CallID, err error) *protocol.Refusal {
	var callError *external.CallError
	if errors.As(err, &callError) && callError.Run == protocol.NotRun {
		c.record(ctx, note{release: true, key: key, id: id})
		return protocol.Refuse(protocol.CodeNoTarget, c.opts.RetryAfter, "no target took the call")
	}
	c.record(ctx, note{key: key, id: id})
	return unknownOutcome()
}

func unknownOutcome() *protocol.Refusal {
	return protocol.Uncertain(protocol.CodeOutcomeUnknown, "the call was sent and no whole answer came back; it will not be sent again")
}
