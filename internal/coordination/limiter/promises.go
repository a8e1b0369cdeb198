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
	// Address is the peer address of the process that answers. A process with
	// the mate's id at another address does not speak for the mate.
	Address string
}

// GoneArgs asks an instance whether it still uses the slots of a session.
type GoneArgs struct {
	Session protocol.SessionID
}

// GoneReply is its answer. The process at the instance's address is the only
// one that can have held slots as that instance, so its word is final.
type GoneReply struct {
	Gone bool
	// Address is the peer address of the process that answers.
	Address string
}

// promises are this instance's own promises not to claim.
type promises struct {
	life time.Duration
	// memory is how long a refusal is remembered: until no holder may go on by
	// promises any more.
	memory time.Duration
	until  map[protocol.SessionID]time.Time
	// refused are the sessions whose end this instance has acted upon, with
	// the time of it. It promises them nothing any more and waits out what it
	// promised before. A refusal outlives the claim of the session's last slot:
	// the old holder may ask again, and a promise would let it go on beside the
	// new one.
	refused map[protocol.SessionID]time.Time
}

func newPromises(life, memory time.Duration) *promises {
	return &promises{
		life:    life,
		memory:  memory,
		until:   map[protocol.SessionID]time.Time{},
		refused: map[protocol.SessionID]time.Time{},
	}
}

// promise answers a holder.
func (p *promises) promise(now time.Time, session protocol.SessionID) bool {
	if _, ok := p.refused[session]; ok {
		return false
	}
	p.until[session] = now.Add(p.life)
	return true
}

// refuse makes no more promises to a session, and reports whether all that were
// made have run out.
func (p *promises) refuse(now time.Time, session protocol.SessionID) bool {
	if _, ok := p.refused[session]; !ok {
		p.refused[session] = now
	}
	return !now.Before(p.until[session])
}

// forget drops what can't matter any more.
func (p *promises) forget(now time.Time) {
	for session, until := range p.until {
		if now.After(until) {
			delete(p.until, session)
		}
	}
	for session, at := range p.refused {
		if now.Sub(at) > p.memory {
			delete(p.refused, session)
		}
	}
}

// extension is the holder's side: how long its slots may be used although its
// session could not be renewed.
//
// The argument: a slot has one user at a time. While the session may hold, no
// other instance can have read that it expired. After that only instances of
// the slot's failure domain claim it (Claims), and each is of one of two kinds.
// Either its session opened before a record that the holder has surely read
// back: then it is in the holder's electorate, the holder needs its promise,
// and it claims only after it has refused and waited out every promise. Or it
// is not: then it claims only on the word of the process at the holder's
// address that the session is gone, or when the grace has passed since it read
// that the session expired. The holder stops a grace after its session could
// last hold, which is earlier, for nobody reads an expiry before.
//
// An extension that ran out once stays over until the session holds by itself
// again: a mate that claimed may since have been replaced by a process that
// knows nothing of it and would promise again.
type extension struct {
	settings Settings
	session  protocol.SessionID
	// heldAt is when the session could last hold by itself.
	heldAt time.Time
	// electorate are the mates whose promise is needed. It only grows until
	// the session holds by itself again.
	electorate map[mate]bool
	// settled is the own renewal up to which the electorate is complete.
	settled protocol.Offset
	// promised is, for each mate, the time its promise ends.
	promised map[mate]time.Time
	lapsed   bool
}

// mate is an instance at an address.
type mate struct {
	instance protocol.InstanceID
	address  string
}

func newExtension(settings Settings) *extension {
	return &extension{
		settings: settings,
		promised: map[mate]time.Time{},
		settled:  protocol.NoOffset,
		lapsed:   true,
	}
}

// renewed notes that the session holds by itself now.
func (e *extension) renewed(now time.Time, session protocol.SessionID) {
	if session != e.session {
		clear(e.promised)
	}
	e.session = session
	e.heldAt = now
	e.electorate = map[mate]bool{}
	e.lapsed = false
}

// seen adds the mates whose session opened before what this one has read back.
// renewed is the own latest renewal in the same view.
func (e *extension) seen(mates []Member, renewed, readBack protocol.Offset) {
	e.settled = renewed
	if e.electorate == nil {
		return
	}
	for _, m := range mates {
		if m.Session != e.session && m.Opened < readBack {
			e.electorate[mate{instance: m.Instance, address: m.Address}] = true
		}
	}
}

// promise notes a mate's promise to a request that was sent at a time. holding
// says that the session still holds by itself.
func (e *extension) promise(now time.Time, from mate, sent time.Time, holding bool) {
	if !holding && !now.Before(e.until(now)) {
		return
	}
	e.promised[from] = sent.Add(e.settings.shorter(e.settings.Promise))
}

// until is the time until which the slots may be used by promises alone. It is
// zero if a promise is missing or ran out.
func (e *extension) until(now time.Time) time.Time {
	if e.lapsed {
		return time.Time{}
	}
	end := e.heldAt.Add(e.settings.shorter(e.settings.Grace))
	for m := range e.electorate {
		if promised := e.promised[m]; promised.Before(end) {
			end = promised
		}
	}
	if !now.Before(end) {
		e.lapsed = true
		return time.Time{}
	}
	return end
}
