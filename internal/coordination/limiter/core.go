package limiter

import (
	"math"
	"time"

	"merlintiller/internal/protocol"
)

// tenure is this instance's hold of a slot.
type tenure struct {
	fence protocol.Offset
	// from is when the slot begins to fill: after every token that a former
	// holder gave away has ended.
	from time.Time
	// givenUp says that the slot is being released and is not used any more.
	givenUp bool
}

// Core is the limiter of one instance: which tokens it has, gives and asks for.
// It has no clock, no I/O and no goroutine, and is not safe for concurrent use.
type Core struct {
	settings Settings
	self     protocol.InstanceID
	domain   protocol.Domain

	fleet       *protocol.Fleet
	generations generations
	// settled counts changes that settled, so that accounts follow them.
	settled  int
	accounts map[protocol.OrganisationID]*account
	// held are the slots this instance holds; authority is the time until
	// which it may use them.
	held      map[SlotKey]tenure
	authority time.Time
	// holders says whom to ask. It is a hint: the asked instance decides.
	holders map[SlotKey]protocol.InstanceID
}

// NewCore returns a limiter that holds nothing.
func NewCore(self protocol.InstanceID, domain protocol.Domain, settings Settings) *Core {
	return &Core{
		settings: settings,
		self:     self,
		domain:   domain,
		fleet:    &protocol.Fleet{Version: protocol.NoOffset},
		accounts: map[protocol.OrganisationID]*account{},
		held:     map[SlotKey]tenure{},
		holders:  map[SlotKey]protocol.InstanceID{},
	}
}

// Configure puts a configuration in force. Accounts follow when next used.
func (c *Core) Configure(now time.Time, fleet *protocol.Fleet) {
	if fleet.Version <= c.fleet.Version {
		return
	}
	c.generations.replace(now, c.fleet, fleet)
	c.fleet = fleet
}

// Version is the configuration that this instance follows.
func (c *Core) Version() protocol.Offset { return c.fleet.Version }

// Unsettled reports whether some part waits for all holders to follow.
func (c *Core) Unsettled() bool { return len(c.generations.past) > 0 }

// Settle notes that every holder follows a version at least.
func (c *Core) Settle(version protocol.Offset) {
	if c.generations.settle(version) {
		c.settled++
	}
}

// Extend says until when the held slots may be used.
func (c *Core) Extend(until time.Time) {
	c.authority = until
}

// Hold notes that this instance won a slot at a fencing number. The slot starts
// empty, and fills only once the former holder's last tokens have ended.
func (c *Core) Hold(now time.Time, key SlotKey, fence protocol.Offset) {
	if t, ok := c.held[key]; ok && t.fence == fence {
		return
	}
	c.Drop(key)
	c.held[key] = tenure{fence: fence, from: now.Add(c.settings.longer(c.settings.GrantLife))}
}

// Drop notes that this instance no longer holds a slot. Its tokens are gone.
func (c *Core) Drop(key SlotKey) {
	if _, ok := c.held[key]; !ok {
		return
	}
	delete(c.held, key)
	for _, a := range c.accounts {
		for i := range a.sources {
			if a.sources[i].part.Key == key {
				a.sources[i].bucket = nil
			}
		}
	}
}

// DropAll notes that the session under which the slots were held is over.
func (c *Core) DropAll() {
	for key := range c.held {
		c.Drop(key)
	}
}

// Keep drops the slots that replay no longer gives to this instance.
func (c *Core) Keep(holds func(SlotKey) bool) {
	for key := range c.held {
		if !holds(key) {
			c.Drop(key)
		}
	}
}

// GiveUp stops the use of a slot that is about to be released.
func (c *Core) GiveUp(key SlotKey) {
	if t, ok := c.held[key]; ok {
		t.givenUp = true
		c.held[key] = t
	}
}

// GivenUp are the slots that are still to be released.
func (c *Core) GivenUp() []SlotKey {
	var keys []SlotKey
	for key, t := range c.held {
		if t.givenUp {
			keys = append(keys, key)
		}
	}
	return keys
}

// Holds reports whether this instance may use a slot now.
func (c *Core) Holds(now time.Time, key SlotKey) bool {
	t, ok := c.held[key]
	return ok && !t.givenUp && now.Before(c.authority)
}

// SetHolders says whom to ask for the slots that others hold.
func (c *Core) SetHolders(holders map[SlotKey]protocol.InstanceID) {
	c.holders = holders
}

// account returns the account of an organisation, as the configuration in force
// has it, or nil if there is no such organisation.
func (c *Core) account(now time.Time, id protocol.OrganisationID) *account {
	a := c.accounts[id]
	if a != nil && a.version == c.fleet.Version && a.settled == c.settled {
		a.used = now
		return a
	}
	org, ok := c.fleet.Organisations[id]
	if !ok {
		delete(c.accounts, id)
		return nil
	}
	a = c.follow(now, a, org)
	a.used = now
	c.accounts[id] = a
	return a
}

// follow brings an account to the configuration in force.
func (c *Core) follow(now time.Time, old *account, org protocol.Organisation) *account {
	parts, _ := c.generations.parts(org, c.fleet.Domains)
	a := &account{id: org.ID, version: c.fleet.Version, settled: c.settled, rate: org.Rate}
	a.sources = make([]source, len(parts))
	for i, part := range parts {
		a.sources[i].part = part
	}
	if old == nil {
		return a
	}
	a.demand, a.grants, a.fetching = old.demand, old.grants, old.fetching
	for i := range old.sources {
		a.keepBucket(now, &old.sources[i], c.settings)
	}
	return a
}

func (a *account) keepBucket(now time.Time, old *source, settings Settings) {
	if old.bucket == nil {
		return
	}
	for i := range a.sources {
		s := &a.sources[i]
		if s.part.Key == old.part.Key {
			s.bucket = old.bucket
			s.bucket.resize(now, settings.slower(s.part.Rate), s.part.Burst)
		}
	}
}

// bucketOf returns the bucket of a slot that this instance holds, or nil.
func (c *Core) bucketOf(now time.Time, a *account, s *source) *bucket {
	if !c.Holds(now, s.part.Key) {
		return nil
	}
	if s.bucket == nil {
		// Nothing of this organisation was used since the slot was won or the
		// rate changed, so it has been filling since then.
		from := c.held[s.part.Key].from
		if changed := c.generations.fillsFrom(a.id); changed.After(from) {
			from = changed
		}
		s.bucket = newBucket(c.settings.slower(s.part.Rate), s.part.Burst, from)
	}
	s.bucket.advance(now)
	return s.bucket
}

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

// Take gives tokens of a held slot to another instance.
func (c *Core) Take(now time.Time, args TakeArgs) TakeReply {
	reply := TakeReply{Version: c.fleet.Version}
	if !c.Holds(now, args.Slot) {
		return reply
	}
	a := c.account(now, args.Organisation)
	if a == nil {
		return reply
	}
	for i := range a.sources {
		s := &a.sources[i]
		if s.part.Key != args.Slot {
			continue
		}
		b := c.bucketOf(now, a, s)
		reply.Holder = true
		reply.Now = b.lend(now, args.Now, now.Add(c.settings.longer(c.settings.ExchangeTimeout)))
		reply.Ahead = b.lend(now, c.spare(b, args.Ahead), now.Add(c.settings.longer(c.settings.GrantLife)))
		reply.Level = b.tokens
		reply.Wait = b.wait(1)
	}
	return reply
}

// spare bounds what one asker may take ahead of need: half of what is there, so
// that the last tokens stay where everybody finds them.
func (c *Core) spare(b *bucket, want float64) float64 {
	return min(want, math.Floor(b.tokens/2))
}

// Tidy forgets organisations that were not used for long. Their tokens go with
// them, except in held slots, which must be remembered: a forgotten bucket
// would come back filled.
func (c *Core) Tidy(now time.Time) {
	for id, a := range c.accounts {
		if now.Sub(a.used) > c.settings.Idle && !a.holdsBucket() {
			delete(c.accounts, id)
		}
	}
}

func (a *account) holdsBucket() bool {
	for i := range a.sources {
		if a.sources[i].bucket != nil {
			return true
		}
	}
	return false
}
