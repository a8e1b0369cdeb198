package limiter

import (
	"math"
	"math/bits"
	"time"

	"merlintiller/internal/protocol"
)

// Request is one decision in the making.
type Request struct {
	Organisation protocol.OrganisationID
	Tokens       float64
	// asked has a bit for each part that was asked for whole tokens, and
	// gathered for each that was asked for less than one.
	asked, gathered uint64
	// levelled says that a fuller slot was considered.
	levelled bool
	begun    bool
}

// Verdict is the state of a decision.
type Verdict struct {
	// Granted: the tokens are spent, the request may run.
	Granted bool
	// Call: another instance may have the tokens. Report the answer by Answered
	// and decide again.
	Call *TakeCall
	// Prefetch: tokens should be taken ahead of need; nobody waits for them.
	Prefetch *TakeCall
	// Unknown: the configuration has no such organisation.
	Unknown bool
	// Refused: RetryAfter says when to come back. Returns are to be sent; they
	// give back fractions that were not enough.
	Refused    bool
	RetryAfter time.Duration
	Returns    []*TakeCall
}

// Decide grants a request from the tokens at hand, or says whom to ask, or
// refuses it.
func (c *Core) Decide(now time.Time, r *Request) Verdict {
	a := c.account(now, r.Organisation)
	if a == nil {
		return Verdict{Unknown: true}
	}
	if !r.begun {
		r.begun = true
		a.demand.add(now, r.Tokens)
	}
	if ask := c.level(now, a, r); ask != nil {
		return Verdict{Call: ask}
	}
	missing := c.spend(now, a, r.Tokens)
	if missing == 0 {
		return Verdict{Granted: true, Prefetch: c.ahead(now, a)}
	}
	if ask := c.ask(now, a, r, missing); ask != nil {
		return Verdict{Call: ask}
	}
	if ask := c.gather(now, a, r, missing); ask != nil {
		return Verdict{Call: ask}
	}
	return Verdict{Refused: true, RetryAfter: c.retryAfter(now, a, r.Tokens), Returns: c.returns(now, a)}
}

// returns gives back the fractions at hand. They are debited here first, so
// that a lost message loses them and never doubles them.
func (c *Core) returns(now time.Time, a *account) []*TakeCall {
	var asks []*TakeCall
	kept := a.grants[:0]
	for _, g := range a.grants {
		if g.id == 0 || g.amount <= 0 || g.part >= len(a.sources) {
			kept = append(kept, g)
			continue
		}
		asks = append(asks, c.askPart(now, a, g.part, TakeArgs{GiveBack: g.id, Back: g.amount}))
	}
	a.grants = kept
	return asks
}

// spend uses tokens at hand if there are enough, and returns how many miss.
// Granted tokens go first: they are lost if they wait.
func (c *Core) spend(now time.Time, a *account, amount float64) float64 {
	granted := a.granted(now)
	have := granted
	for i := range a.sources {
		if b := c.bucketOf(now, a, &a.sources[i]); b != nil {
			have += b.tokens
		}
	}
	if have < amount {
		return amount - have
	}
	left := amount - a.spendGrants(min(granted, amount))
	for i := range a.sources {
		if left <= 0 {
			break
		}
		if b := c.bucketOf(now, a, &a.sources[i]); b != nil {
			used := min(left, b.tokens)
			b.tokens -= used
			left -= used
		}
	}
	return 0
}

// level asks a slot that is nearly full, and so is about to lose refill, before
// the slots held here are drained. It matters when callers gather in one place:
// their tokens would run out beside full slots elsewhere.
func (c *Core) level(now time.Time, a *account, r *Request) *TakeCall {
	if r.levelled {
		return nil
	}
	r.levelled = true
	have, burst := a.granted(now), 0.0
	for i := range a.sources {
		if b := c.bucketOf(now, a, &a.sources[i]); b != nil {
			have += b.tokens
			burst += b.burst
		}
	}
	if burst == 0 || have < r.Tokens || have > c.settings.NearlyFull*burst-c.settings.OwnBonus*burst {
		return nil
	}
	best := c.bestSource(now, a, 0)
	if best < 0 || a.sources[best].fullness(now) < c.settings.NearlyFull || a.sources[best].estimate(now) < r.Tokens+1 {
		return nil
	}
	r.asked |= 1 << uint(best)
	return c.askPart(now, a, best, TakeArgs{Now: math.Ceil(r.Tokens)})
}

// ask chooses the slot most likely to have the missing tokens.
func (c *Core) ask(now time.Time, a *account, r *Request, missing float64) *TakeCall {
	if c.askedEnough(r) {
		return nil
	}
	best := c.bestSource(now, a, r.asked)
	if best < 0 {
		return nil
	}
	r.asked |= 1 << uint(best)
	ahead := math.Floor(a.demand.over(c.settings.Ahead))
	return c.askPart(now, a, best, TakeArgs{Now: math.Ceil(missing), Ahead: ahead})
}

// gather puts a token together from slots that have less than one each. Without
// it an organisation with a small burst, cut over many slots, would be refused
// with more than a token left.
func (c *Core) gather(now time.Time, a *account, r *Request, missing float64) *TakeCall {
	if c.askedEnough(r) {
		return nil
	}
	best := -1
	sum := 0.0
	for i := range min(len(a.sources), maxParts) {
		s := &a.sources[i]
		if r.gathered&(1<<uint(i)) != 0 || s.failedUntil.After(now) || !c.elsewhere(s) {
			continue
		}
		level := s.estimate(now)
		sum += level
		if best < 0 || level > a.sources[best].estimate(now) {
			best = i
		}
	}
	if best < 0 || sum < missing {
		return nil
	}
	r.gathered |= 1 << uint(best)
	want := min(missing*(1+gatherMargin), a.sources[best].estimate(now))
	return c.askPart(now, a, best, TakeArgs{Now: want, Fraction: true})
}

// gatherMargin covers the rounding of sums.
const gatherMargin = 1e-9

func (c *Core) askedEnough(r *Request) bool {
	return bits.OnesCount64(r.asked)+bits.OnesCount64(r.gathered) >= c.settings.Asks
}

func (c *Core) askPart(now time.Time, a *account, part int, args TakeArgs) *TakeCall {
	args.Organisation = a.id
	args.Slot = a.sources[part].part.Key
	return &TakeCall{Holder: c.holders[args.Slot], Args: args, Sent: now, part: part}
}

// elsewhere reports whether another instance is known to hold a slot.
func (c *Core) elsewhere(s *source) bool {
	holder := c.holders[s.part.Key]
	return holder != "" && holder != c.self
}

// maxParts is the number of parts a Request can remember to have asked.
const maxParts = 64

// bestSource returns the index of the slot to ask, or -1: the fullest by the
// level last heard of, with a bonus for the own failure domain.
func (c *Core) bestSource(now time.Time, a *account, asked uint64) int {
	best := -1
	bestScore := 0.0
	for i := range min(len(a.sources), maxParts) {
		s := &a.sources[i]
		if asked&(1<<uint(i)) != 0 || s.quietUntil.After(now) || !c.elsewhere(s) {
			continue
		}
		score := s.fullness(now)
		if s.part.Key.Domain == c.domain {
			score += c.settings.OwnBonus
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// fullness is the part of the burst that a slot may hold by now.
func (s *source) fullness(now time.Time) float64 {
	return s.estimate(now) / s.part.Burst
}

// estimate is the level a slot may have by now.
func (s *source) estimate(now time.Time) float64 {
	if s.levelAt.IsZero() {
		return s.part.Burst
	}
	return min(s.part.Burst, s.level+s.part.Rate*now.Sub(s.levelAt).Seconds())
}

// ahead decides whether tokens are to be taken ahead of need: when less than
// half of the forecast is at hand.
func (c *Core) ahead(now time.Time, a *account) *TakeCall {
	forecast := math.Floor(a.demand.over(c.settings.Ahead))
	if forecast < 1 || a.fetching || c.holdsAny(now, a) {
		return nil
	}
	if at := a.granted(now); at > forecast/2 {
		return nil
	}
	best := c.bestSource(now, a, 0)
	if best < 0 {
		return nil
	}
	a.fetching = true
	return c.askPart(now, a, best, TakeArgs{Ahead: forecast})
}

// holdsAny reports whether the instance holds a slot of the organisation that
// still has tokens, so that nothing need be fetched.
func (c *Core) holdsAny(now time.Time, a *account) bool {
	for i := range a.sources {
		if b := c.bucketOf(now, a, &a.sources[i]); b != nil && b.tokens >= 1 {
			return true
		}
	}
	return false
}

// HandleReply takes in the answer to an ask. Failed says that none came.
func (c *Core) HandleReply(now time.Time, ask *TakeCall, reply TakeReply, failed bool) {
	a := c.accounts[ask.Args.Organisation]
	if a == nil {
		return
	}
	if ask.Args.Now == 0 && ask.Args.GiveBack == 0 {
		a.fetching = false
	}
	if failed || !reply.Holder {
		c.quiet(now, ask.Holder, failed, a, ask)
		return
	}
	// Lives count from the sending, so they end here before the holder stops
	// counting the tokens as out.
	a.add(lent{until: ask.Sent.Add(c.settings.ExchangeTimeout), amount: reply.Now, id: reply.Fraction, part: ask.part})
	a.add(lent{until: ask.Sent.Add(c.settings.GrantLife), amount: reply.Ahead})
	if ask.part < len(a.sources) && a.sources[ask.part].part.Key == ask.Args.Slot {
		s := &a.sources[ask.part]
		s.level, s.levelAt = reply.Level, now
		if reply.Now < ask.Args.Now && !ask.Args.Fraction {
			s.quietUntil = now.Add(reply.Wait)
		}
	}
}

// notHolderBackoff is how long a slot is left alone whose holder is not known
// rightly; the log tells the right one within that time.
const notHolderBackoff = 100 * time.Millisecond

// quiet leaves a holder alone for a while.
func (c *Core) quiet(now time.Time, holder protocol.InstanceID, failed bool, a *account, ask *TakeCall) {
	if !failed {
		if ask.part < len(a.sources) {
			a.sources[ask.part].quietUntil = now.Add(notHolderBackoff)
		}
		return
	}
	for _, other := range c.accounts {
		for i := range other.sources {
			if c.holders[other.sources[i].part.Key] == holder {
				until := now.Add(c.settings.PeerBackoff)
				other.sources[i].quietUntil, other.sources[i].failedUntil = until, until
			}
		}
	}
}

// retryAfter is the time in which the missing tokens come in, at the
// organisation's rate and not before some slot has one.
func (c *Core) retryAfter(now time.Time, a *account, amount float64) time.Duration {
	if a.rate <= 0 {
		return time.Hour
	}
	wait := time.Duration(amount / a.rate * float64(time.Second))
	next := time.Duration(math.MaxInt64)
	for i := range a.sources {
		s := &a.sources[i]
		if b := c.bucketOf(now, a, s); b != nil {
			next = min(next, b.wait(amount))
		} else if s.quietUntil.After(now) {
			next = min(next, s.quietUntil.Sub(now))
		}
	}
	if next == time.Duration(math.MaxInt64) {
		return wait
	}
	return max(wait, next)
}
