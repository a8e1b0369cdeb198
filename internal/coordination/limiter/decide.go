package limiter

import (
	"math"
	"math/bits"
	"time"

	"merlintiller/internal/protocol"
)

// Request is an admission request and the state of its decision.
type Request struct {
	Organisation protocol.OrganisationID
	Tokens       float64
	// OutOfTime: no calls may be made any more. The decision is made with the tokens at
	// hand.
	OutOfTime bool
	// granted is the call that granted tokens last. askedAgain is set once its slot may
	// be asked once more.
	granted    *TakeCall
	askedAgain bool
	// asked and gathered have one bit per slot. A bit in asked is set once the
	// slot was asked for whole tokens, and in gathered once it was asked for a
	// fraction.
	asked, gathered uint64
	// nearlyFullChecked is set once nearly full slots were considered, and
	// counted once the request was added to the demand forecast.
	nearlyFullChecked bool
	counted           bool
}

// Decision is the next step for a Request.
type Decision struct {
	// Granted: the tokens are spent and the request may run.
	Granted bool
	// Call: another instance may have the tokens. The caller sends the call,
	// passes the reply to HandleReply and calls Decide again.
	Call *TakeCall
	// Prefetch: a call to send in the background; the request does not wait for
	// it.
	Prefetch *TakeCall
	// Unknown: the configuration has no such organisation.
	Unknown bool
	// Refused: the request is rejected, and RetryAfter is the delay until
	// tokens are expected. NotReached: there may be tokens in slots that can't be
	// asked now. Returns are background calls that return fractions which did not
	// add up to a token.
	Refused    bool
	NotReached bool
	RetryAfter time.Duration
	Returns    []*TakeCall
}

// Decide grants a request from the available tokens, returns the next call to
// make for it, or rejects it.
func (c *Core) Decide(now time.Time, r *Request) Decision {
	a := c.account(now, r.Organisation)
	if a == nil {
		return Decision{Unknown: true}
	}
	if !r.counted {
		r.counted = true
		a.demand.add(now, r.Tokens)
	}
	c.askAgainIfExpired(now, r)
	if call := c.askNearlyFull(now, a, r); call != nil {
		return Decision{Call: call}
	}
	missing := c.spend(now, a, r.Tokens)
	if missing == 0 {
		return Decision{Granted: true, Prefetch: c.prefetch(now, a)}
	}
	if call := c.askForMissing(now, a, r, missing); call != nil {
		return Decision{Call: call}
	}
	if call := c.askForFraction(now, a, r, missing); call != nil {
		return Decision{Call: call}
	}
	return Decision{
		Refused: true, NotReached: c.anyNotReached(now, a),
		RetryAfter: c.retryAfter(now, a, r.Tokens), Returns: c.refundFractions(now, a),
	}
}

// anyNotReached reports whether some slot of an organisation has no usable holder, or one
// that did not answer.
func (c *Core) anyNotReached(now time.Time, a *account) bool {
	for i := range a.slots {
		s := &a.slots[i]
		if !c.MayUse(now, s.quota.Key) && (!c.heldByOther(s) || s.unreachableUntil.After(now)) {
			return true
		}
	}
	return false
}

// askAgainIfExpired lets a slot be asked once more if the tokens that it granted expired
// before they could be spent, because this process did not run meanwhile. An organisation
// may have a single slot.
func (c *Core) askAgainIfExpired(now time.Time, r *Request) {
	call := r.granted
	r.granted = nil
	if call == nil || r.askedAgain || now.Before(call.Sent.Add(c.settings.ExchangeTimeout)) {
		return
	}
	r.askedAgain = true
	r.asked &^= 1 << uint(call.slotIndex)
	r.gathered &^= 1 << uint(call.slotIndex)
}

// refundFractions returns the calls that give unused fractions back to their
// holders. The fractions are debited here first, so a lost message loses them
// and never doubles them.
func (c *Core) refundFractions(now time.Time, a *account) []*TakeCall {
	var calls []*TakeCall
	kept := a.grants[:0]
	for _, g := range a.grants {
		if g.id == 0 || g.amount <= 0 || g.slotIndex >= len(a.slots) {
			kept = append(kept, g)
			continue
		}
		calls = append(calls, c.newCall(now, a, g.slotIndex, TakeArgs{GiveBack: g.id, Back: g.amount}))
	}
	a.grants = kept
	return calls
}

// spend takes the amount from the available tokens. If there are too few it
// takes none and returns the missing amount. Granted tokens are spent first,
// because they expire.
func (c *Core) spend(now time.Time, a *account, amount float64) float64 {
	granted := a.availableGrants(now)
	available := granted
	for i := range a.slots {
		if b := c.bucketOf(now, a, &a.slots[i]); b != nil {
			available += b.tokens
		}
	}
	if available < amount {
		return amount - available
	}
	remaining := amount - a.spendGrants(min(granted, amount))
	for i := range a.slots {
		if remaining <= 0 {
			break
		}
		if b := c.bucketOf(now, a, &a.slots[i]); b != nil {
			used := min(remaining, b.tokens)
			b.tokens -= used
			remaining -= used
		}
	}
	return 0
}

// askNearlyFull asks a nearly full slot, whose refill is about to be lost,
// before the local slots are empty. This helps when all callers use one
// instance: its tokens would run out while slots held by other instances are
// full.
func (c *Core) askNearlyFull(now time.Time, a *account, r *Request) *TakeCall {
	if r.nearlyFullChecked || c.callLimitReached(r) {
		return nil
	}
	r.nearlyFullChecked = true
	available, burst := a.availableGrants(now), 0.0
	for i := range a.slots {
		if b := c.bucketOf(now, a, &a.slots[i]); b != nil {
			available += b.tokens
			burst += b.burst
		}
	}
	if burst == 0 || available < r.Tokens || available > c.settings.NearlyFull*burst-c.settings.LocalBonus*burst {
		return nil
	}
	best := c.bestSlot(now, a, 0)
	if best < 0 || a.slots[best].fullness(now) < c.settings.NearlyFull || a.slots[best].estimate(now) < r.Tokens+1 {
		return nil
	}
	r.asked |= 1 << uint(best)
	return c.newCall(now, a, best, TakeArgs{Now: math.Ceil(r.Tokens)})
}

// askForMissing asks the slot that is most likely to have the missing tokens.
func (c *Core) askForMissing(now time.Time, a *account, r *Request, missing float64) *TakeCall {
	if c.callLimitReached(r) {
		return nil
	}
	best := c.bestSlot(now, a, r.asked)
	if best < 0 {
		return nil
	}
	r.asked |= 1 << uint(best)
	ahead := math.Floor(a.demand.forecast(c.settings.PrefetchWindow))
	return c.newCall(now, a, best, TakeArgs{Now: math.Ceil(missing), Ahead: ahead})
}

// askForFraction collects one token from slots that have less than one each.
// Without it, an organisation whose small burst is divided among many slots
// would be rejected although more than one token is left in total.
func (c *Core) askForFraction(now time.Time, a *account, r *Request, missing float64) *TakeCall {
	if c.callLimitReached(r) {
		return nil
	}
	best := -1
	sum := 0.0
	for i := range min(len(a.slots), maxTrackedSlots) {
		s := &a.slots[i]
		if r.gathered&(1<<uint(i)) != 0 || s.unreachableUntil.After(now) || !c.heldByOther(s) {
			continue
		}
		level := s.estimate(now)
		sum += level
		if best < 0 || level > a.slots[best].estimate(now) {
			best = i
		}
	}
	if best < 0 || sum < missing {
		return nil
	}
	r.gathered |= 1 << uint(best)
	want := min(missing*(1+roundingMargin), a.slots[best].estimate(now))
	return c.newCall(now, a, best, TakeArgs{Now: want, Fraction: true})
}

// roundingMargin compensates for rounding errors when fractions are added up.
const roundingMargin = 1e-9

func (c *Core) callLimitReached(r *Request) bool {
	return r.OutOfTime || bits.OnesCount64(r.asked)+bits.OnesCount64(r.gathered) >= c.settings.MaxCalls
}

func (c *Core) newCall(now time.Time, a *account, slot int, args TakeArgs) *TakeCall {
	args.Organisation = a.id
	args.Slot = a.slots[slot].quota.Key
	return &TakeCall{Holder: c.holders[args.Slot], Args: args, Sent: now, slotIndex: slot}
}

// heldByOther reports whether another instance is known to hold a slot.
func (c *Core) heldByOther(s *slotState) bool {
	holder := c.holders[s.quota.Key]
	return holder != "" && holder != c.self
}

// maxTrackedSlots is the number of slots that the bit sets of a Request can
// represent.
const maxTrackedSlots = 64

// bestSlot returns the index of the slot to ask, or -1. It is the slot with the
// highest estimated level, with a bonus for slots of the local failure domain.
func (c *Core) bestSlot(now time.Time, a *account, exclude uint64) int {
	best := -1
	bestScore := 0.0
	for i := range min(len(a.slots), maxTrackedSlots) {
		s := &a.slots[i]
		if exclude&(1<<uint(i)) != 0 || s.skipUntil.After(now) || !c.heldByOther(s) {
			continue
		}
		score := s.fullness(now)
		if s.quota.Key.Domain == c.domain {
			score += c.settings.LocalBonus
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// fullness returns the estimated level of a slot as a fraction of its burst.
func (s *slotState) fullness(now time.Time) float64 {
	return s.estimate(now) / s.quota.Burst
}

// estimate returns the expected level of a slot in tokens: its last known level
// plus the refill since then.
func (s *slotState) estimate(now time.Time) float64 {
	if s.levelAt.IsZero() {
		return s.quota.Burst
	}
	return min(s.quota.Burst, s.level+s.quota.Rate*now.Sub(s.levelAt).Seconds())
}

// prefetch returns a call for more tokens if less than half of the forecast use
// is available, or nil.
func (c *Core) prefetch(now time.Time, a *account) *TakeCall {
	forecast := math.Floor(a.demand.forecast(c.settings.PrefetchWindow))
	if forecast < 1 || a.prefetching || c.hasLocalToken(now, a) {
		return nil
	}
	if available := a.availableGrants(now); available > forecast/2 {
		return nil
	}
	best := c.bestSlot(now, a, 0)
	if best < 0 {
		return nil
	}
	a.prefetching = true
	return c.newCall(now, a, best, TakeArgs{Ahead: forecast})
}

// hasLocalToken reports whether this instance holds a slot of the organisation
// with at least one token, so that no prefetch is needed.
func (c *Core) hasLocalToken(now time.Time, a *account) bool {
	for i := range a.slots {
		if b := c.bucketOf(now, a, &a.slots[i]); b != nil && b.tokens >= 1 {
			return true
		}
	}
	return false
}

// HandleReply applies the reply to a call. failed is true if no reply arrived.
func (c *Core) HandleReply(now time.Time, call *TakeCall, reply TakeReply, failed bool) {
	a := c.accounts[call.Args.Organisation]
	if a == nil {
		return
	}
	if call.isPrefetch() {
		a.prefetching = false
	}
	if failed || !reply.Holder {
		c.backOff(now, call.Holder, failed, a, call)
		return
	}
	// The lifetimes are counted from the time of sending, so a grant expires
	// here before the holder stops counting it as outstanding.
	a.addGrant(grant{expiresAt: call.Sent.Add(c.settings.ExchangeTimeout), amount: reply.Now, id: reply.Fraction, slotIndex: call.slotIndex})
	a.addGrant(grant{expiresAt: call.Sent.Add(c.settings.GrantLifetime), amount: reply.Ahead})
	if call.slotIndex < len(a.slots) && a.slots[call.slotIndex].quota.Key == call.Args.Slot {
		s := &a.slots[call.slotIndex]
		s.level, s.levelAt = reply.Level, now
		if reply.Now < call.Args.Now && !call.Args.Fraction {
			s.skipUntil = now.Add(reply.Wait)
		}
	}
}

// DropCall records that a call was not sent, or that its reply is not awaited any more.
func (c *Core) DropCall(call *TakeCall) {
	a := c.accounts[call.Args.Organisation]
	if a != nil && call.isPrefetch() {
		a.prefetching = false
	}
}

// notHolderBackoff is how long a slot is not asked again after the instance
// asked was not its holder. The log shows the new holder within that time.
const notHolderBackoff = 100 * time.Millisecond

// backOff suspends calls to a slot whose known holder was wrong, or to all
// slots of a holder that did not answer.
func (c *Core) backOff(now time.Time, holder protocol.InstanceID, failed bool, a *account, call *TakeCall) {
	if !failed {
		if call.slotIndex < len(a.slots) {
			a.slots[call.slotIndex].skipUntil = now.Add(notHolderBackoff)
		}
		return
	}
	for _, other := range c.accounts {
		for i := range other.slots {
			if c.holders[other.slots[i].quota.Key] == holder {
				until := now.Add(c.settings.PeerBackoff)
				other.slots[i].skipUntil, other.slots[i].unreachableUntil = until, until
			}
		}
	}
}

// retryAfter returns the time in which the missing tokens accrue at the
// organisation's rate, and at least until one slot is expected to have enough.
func (c *Core) retryAfter(now time.Time, a *account, amount float64) time.Duration {
	if a.rate <= 0 {
		return time.Hour
	}
	wait := time.Duration(amount / a.rate * float64(time.Second))
	next := time.Duration(math.MaxInt64)
	for i := range a.slots {
		s := &a.slots[i]
		if b := c.bucketOf(now, a, s); b != nil {
			next = min(next, b.timeUntil(amount))
		} else if s.skipUntil.After(now) {
			next = min(next, s.skipUntil.Sub(now))
		}
	}
	if next == time.Duration(math.MaxInt64) {
		return wait
	}
	return max(wait, next)
}
