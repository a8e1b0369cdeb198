package limiter

import (
	"time"

	"merlintiller/internal/protocol"
)

// PromiseArgs asks a mate not to claim the slots of a session for a while.
type PromiseArgs struct {
	Session protocol.SessionID
}

// PromiseReply is the mate's answer.
type PromiseReply struct {
	// Given: the mate claims none of the session's slots for the promise time,
	// counted by the asker from the moment it sent the request.
	Given bool
}

// GoneArgs asks an instance whether it still uses the slots of a session.
type GoneArgs struct {
	Session protocol.SessionID
}

// GoneReply is its answer. The process at the instance's address is the only
// one that can have held slots as that instance, so its word is final.
type GoneReply struct {
	Gone bool
}

// promises are this instance's own promises not to claim.
type promises struct {
	life  time.Duration
	until map[protocol.SessionID]time.Time
	// refused are the sessions whose end this instance has acted upon: it
	// promises them nothing any more and waits out what it promised before.
	refused map[protocol.SessionID]bool
}

func newPromises(life time.Duration) *promises {
	return &promises{
		life:    life,
		until:   map[protocol.SessionID]time.Time{},
		refused: map[protocol.SessionID]bool{},
	}
}

// promise answers a holder.
func (p *promises) promise(now time.Time, session protocol.SessionID) bool {
	if p.refused[session] {
		return false
	}
	p.until[session] = now.Add(p.life)
	return true
}

// refuse makes no more promises to a session, and reports whether all that were
// made have run out.
func (p *promises) refuse(now time.Time, session protocol.SessionID) bool {
	p.refused[session] = true
	return !now.Before(p.until[session])
}

// forget drops sessions that hold nothing any more.
func (p *promises) forget(holds func(protocol.SessionID) bool, now time.Time) {
	for session, until := range p.until {
		if !holds(session) && now.After(until) {
			delete(p.until, session)
		}
	}
	for session := range p.refused {
		if !holds(session) {
			delete(p.refused, session)
		}
	}
}

// extension is the holder's side: how long its slots may be used although its
// session could not be renewed.
//
// The argument: a slot has one user at a time. While the session may hold, no
// other instance can have seen it expire. After that only instances of the
// slot's failure domain claim it (Claims), and each is of one of two kinds.
// Either the holder knows it, since it had an open session when the holder last
// read the stream to a confirmed renewal: then its promise is needed, and it
// claims only after it has refused and waited out every promise. Or the holder
// may not know it: then it claims only on the word of the process at the
// holder's address that the session is gone, or when the grace has passed since
// it read that the session expired. The holder stops a grace after its session
// could last hold, which is earlier, for nobody reads an expiry before.
type extension struct {
	settings Settings
	session  protocol.SessionID
	// heldAt is when the session could last hold by itself.
	heldAt time.Time
	// electorate are the mates whose promise is needed. It only grows until
	// the session holds by itself again.
	electorate map[protocol.InstanceID]bool
	// promised is, for each mate, the time its promise ends.
	promised map[protocol.InstanceID]time.Time
}

func newExtension(settings Settings) *extension {
	return &extension{settings: settings, promised: map[protocol.InstanceID]time.Time{}}
}

// renewed notes that the session holds by itself now.
func (e *extension) renewed(now time.Time, session protocol.SessionID, mates []Member) {
	if session != e.session {
		clear(e.promised)
	}
	e.session = session
	e.heldAt = now
	e.electorate = map[protocol.InstanceID]bool{}
	e.seen(mates)
}

// seen adds mates to the electorate.
func (e *extension) seen(mates []Member) {
	for _, m := range mates {
		if m.Session != e.session && e.electorate != nil {
			e.electorate[m.Instance] = true
		}
	}
}

// promise notes a mate's promise to a request that was sent at a time.
func (e *extension) promise(mate protocol.InstanceID, sent time.Time) {
	e.promised[mate] = sent.Add(e.settings.shorter(e.settings.Promise))
}

// end is the time until which the slots may be used by promises alone. It is
// zero if a promise is missing.
func (e *extension) end() time.Time {
	if e.electorate == nil {
		return time.Time{}
	}
	end := e.heldAt.Add(e.settings.shorter(e.settings.Grace))
	for mate := range e.electorate {
		until := e.promised[mate]
		if until.Before(end) {
			end = until
		}
	}
	return end
}
