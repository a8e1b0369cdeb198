package limiter

import (
	"math"
	"time"

	"merlintiller/internal/protocol"
)

// Request is one decision in the making.
type Request struct {
	Organisation protocol.OrganisationID
	Tokens       float64
	// asked has a bit for each part that was asked.
	asked uint64
	begun bool
}

// Verdict is the state of a decision.
type Verdict struct {
	// Granted: the tokens are spent, the request may run.
	Granted bool
	// Ask: another instance may have the tokens. Report the answer by Answered
	// and decide again.
	Ask *Ask
	// Ahead: tokens should be taken ahead of need; nobody waits for them.
	Ahead *Ask
	// Unknown: the configuration has no such organisation.
	Unknown bool
	// RetryAfter says when to come back, if nothing else is set.
	RetryAfter time.Duration
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
	missing := c.spend(now, a, r.Tokens)
	if missing == 0 {
		return Verdict{Granted: true, Ahead: c.ahead(now, a)}
	}
	if ask := c.ask(now, a, r, missing); ask != nil {
		return Verdict{Ask: ask}
	}
	return Verdict{RetryAfter: c.retryAfter(now, a, r.Tokens)}
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

// ask chooses the slot most likely to have the missing tokens.
func (c *Core) ask(now time.Time, a *account, r *Request, missing float64) *Ask {
	if c.askedEnough(r) {
		return nil
	}
	best := c.bestSource(now, a, r.asked)
	if best < 0 {
		return nil
	}
	r.asked |= 1 << uint(best)
	want := math.Ceil(missing)
	ahead := math.Floor(a.demand.over(c.settings.Ahead))
	return c.askPart(now, a, best, want, ahead)
}

func (c *Core) askedEnough(r *Request) bool {
	count := 0
	for bits := r.asked; bits != 0; bits &= bits - 1 {
		count++
	}
	return count >= c.settings.Asks
}

func (c *Core) askPart(now time.Time, a *account, part int, want, ahead float64) *Ask {
	key := a.sources[part].part.Key
	return &Ask{
		Holder: c.holders[key],
		Args:   TakeArgs{Organisation: a.id, Slot: key, Now: want, Ahead: ahead},
		Sent:   now,
		part:   part,
	}
}

// maxParts is the number of parts a Request can remember to have asked.
const maxParts = 64

// bestSource returns the index of the slot to ask, own failure domain first,
// then by the level last heard of, or -1.
func (c *Core) bestSource(now time.Time, a *account, asked uint64) int {
	best := -1
	bestLevel := 0.0
	bestOwn := false
	for i := range min(len(a.sources), maxParts) {
		s := &a.sources[i]
		if asked&(1<<uint(i)) != 0 || s.quietUntil.After(now) {
			continue
		}
		if holder := c.holders[s.part.Key]; holder == "" || holder == c.self {
			continue
		}
		own := s.part.Key.Domain == c.domain
		level := s.estimate(now)
		if best < 0 || (own && !bestOwn) || (own == bestOwn && level > bestLevel) {
			best, bestLevel, bestOwn = i, level, own
		}
	}
	return best
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
func (c *Core) ahead(now time.Time, a *account) *Ask {
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
	return c.askPart(now, a, best, 0, forecast)
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

// Answered takes in the answer to an ask. Failed says that none came.
func (c *Core) Answered(now time.Time, ask *Ask, reply TakeReply, failed bool) {
	a := c.accounts[ask.Args.Organisation]
	if a == nil {
		return
	}
	if ask.Args.Now == 0 {
		a.fetching = false
	}
	if failed || !reply.Holder {
		c.quiet(now, ask.Holder, failed, a, ask)
		return
	}
	// Lives count from the sending, so they end here before the holder stops
	// counting the tokens as out.
	a.add(lent{until: ask.Sent.Add(c.settings.ExchangeTimeout), amount: reply.Now})
	a.add(lent{until: ask.Sent.Add(c.settings.GrantLife), amount: reply.Ahead})
	if ask.part < len(a.sources) && a.sources[ask.part].part.Key == ask.Args.Slot {
		s := &a.sources[ask.part]
		s.level, s.levelAt = reply.Level, now
		if reply.Now+reply.Ahead < ask.Args.Now {
			s.quietUntil = now.Add(reply.Wait)
		}
	}
}

// notHolderBackoff is how long a slot is left alone whose holder is not known
// rightly; the log tells the right one within that time.
const notHolderBackoff = 100 * time.Millisecond

// quiet leaves a holder alone for a while.
func (c *Core) quiet(now time.Time, holder protocol.InstanceID, failed bool, a *account, ask *Ask) {
	if !failed {
		if ask.part < len(a.sources) {
			a.sources[ask.part].quietUntil = now.Add(notHolderBackoff)
		}
		return
	}
	for _, other := range c.accounts {
		for i := range other.sources {
			if c.holders[other.sources[i].part.Key] == holder {
				other.sources[i].quietUntil = now.Add(c.settings.PeerBackoff)
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
