package limiter

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/protocol"
)

// callOutcome is how a Take call for a waiting request ended.
type callOutcome int

const (
	// callGranted: the holder granted tokens.
	callGranted callOutcome = iota
	// callEmpty: the holder had no token.
	callEmpty
	// callNotHolder: the instance did not hold the slot.
	callNotHolder
	// callUnanswered: no reply arrived in time.
	callUnanswered
	// callAbandoned: the caller left, or this instance stops.
	callAbandoned
	callOutcomes
)

func outcomeOf(ctx context.Context, call *TakeCall, reply *TakeReply, err error) callOutcome {
	switch {
	case err != nil && ctx.Err() != nil:
		return callAbandoned
	case err != nil:
		return callUnanswered
	case !reply.Holder:
		return callNotHolder
	case reply.Now < call.Args.Now:
		return callEmpty
	default:
		return callGranted
	}
}

// endedCall describes how a Take call ended.
type endedCall struct {
	outcome callOutcome
	// used is the part of its limit that the call used. stalled is the time for which this
	// process did not run meanwhile, which is not part of it.
	used, stalled time.Duration
}

// attempt is the course of a decision: the time that is left for its calls, and what the log
// line of a refusal shows.
type attempt struct {
	requestID string
	startedAt time.Time
	timeLeft  time.Duration
	// caughtUp is set once the replayed state was applied for an unknown organisation.
	caughtUp bool
	// calls counts the calls by outcome.
	calls [callOutcomes]int
	// stalled is the time during calls for which this process did not run, and lockWait
	// the time for which the decision waited for the lock.
	stalled, lockWait time.Duration
}

func newAttempt(ctx context.Context, settings Settings) *attempt {
	return &attempt{requestID: protocol.RequestID(ctx), startedAt: time.Now(), timeLeft: settings.ExchangeTimeout}
}

func (a *attempt) add(ended endedCall) {
	a.calls[ended.outcome]++
	a.timeLeft -= ended.used
	a.stalled += ended.stalled
}

// outOfTime reports whether no more calls may be made for the request.
func (a *attempt) outOfTime(ctx context.Context) bool {
	return a.timeLeft <= 0 || ctx.Err() != nil
}

// logRefusal logs a refusal with what it is based on. With outcome no_tokens every slot had too
// few. With not_reached that holds for the slots that can be asked, and with out_of_time there
// may be slots left to ask.
func (l *Limiter) logRefusal(request *Request, attempt *attempt, decision Decision) {
	outcome := "no_tokens"
	switch {
	case request.OutOfTime:
		outcome = "out_of_time"
	case decision.NotReached:
		outcome = "not_reached"
	}
	known := l.holdings(request.Organisation)
	_ = level.Info(l.Logger).Log("event", "rate_refused", "outcome", outcome,
		"request", attempt.requestID, "organisation", request.Organisation,
		"took_ms", time.Since(attempt.startedAt).Milliseconds(), "limit_ms", l.Settings.ExchangeTimeout.Milliseconds(),
		"stalled_ms", attempt.stalled.Milliseconds(), "lock_wait_ms", attempt.lockWait.Milliseconds(),
		"granted", attempt.calls[callGranted], "empty", attempt.calls[callEmpty],
		"not_holder", attempt.calls[callNotHolder], "unanswered", attempt.calls[callUnanswered], "abandoned", attempt.calls[callAbandoned],
		"own_slots", known.ownSlots, "own_tokens", known.tokens, "other_slots", known.otherSlots,
		"skipped", known.skipped, "no_holder", known.noHolder, "level_age_ms", known.levelAge.Milliseconds(),
		"retry_ms", decision.retryAfter().Milliseconds())
}

func (l *Limiter) holdings(org protocol.OrganisationID) holdings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.holdings(time.Now(), org)
}

// holdings is what an instance knows of the tokens of an organisation.
type holdings struct {
	// ownSlots are the slots that this instance may use, and tokens what is left in them
	// and in grants.
	ownSlots int
	tokens   float64
	// otherSlots are held by other instances. skipped are those of them that are not asked
	// now, because they were empty or their holder did not answer.
	otherSlots, skipped int
	// noHolder are the slots that no instance is known to hold, or only this one, which
	// may not use them.
	noHolder int
	// levelAge is the age of the oldest level that is known of another instance's slot.
	levelAge time.Duration
}

func (c *Core) holdings(now time.Time, org protocol.OrganisationID) holdings {
	var known holdings
	a := c.accounts[org]
	if a == nil {
		return known
	}
	known.tokens = a.availableGrants(now)
	for i := range a.slots {
		s := &a.slots[i]
		b := c.bucketOf(now, a, s)
		switch {
		case b != nil:
			known.ownSlots++
			known.tokens += b.tokens
		case !c.heldByOther(s):
			known.noHolder++
		default:
			known.otherSlots++
			known.countOther(now, s)
		}
	}
	return known
}

func (h *holdings) countOther(now time.Time, s *slotState) {
	if s.skipUntil.After(now) {
		h.skipped++
	}
	if !s.levelAt.IsZero() {
		h.levelAge = max(h.levelAge, now.Sub(s.levelAt))
	}
}
