package limiter

import (
	"time"

	"merlintiller/internal/protocol"
)

// PromiseArgs asks a peer to promise not to claim the slots of a session for
// PromiseDuration.
type PromiseArgs struct {
	Session protocol.SessionID
}

// PromiseReply is the reply to PromiseArgs.
type PromiseReply struct {
	// Given is true if the peer promises not to claim any of the session's
	// slots. The caller counts PromiseDuration from the time at which it sent
	// the request.
	Given bool
	// Address is the peer address of the process that answers. A process with
	// the peer's id at another address cannot promise for the peer.
	Address string
}

// GoneArgs asks an instance whether it still uses the slots of a session.
type GoneArgs struct {
	Session protocol.SessionID
}

// GoneReply is the reply to GoneArgs. Only the process at the instance's
// address can have held slots as that instance, so its reply is authoritative.
type GoneReply struct {
	// Gone is true if the process no longer uses any slot of the session.
	Gone bool
	// Address is the peer address of the process that answers.
	Address string
}

// givenPromises records the promises that this instance gave to holders not to
// claim their slots.
type givenPromises struct {
	duration time.Duration
	// retention is how long a refusal is kept: until no holder can continue on
	// promises any more.
	retention time.Duration
	until     map[protocol.SessionID]time.Time
	// refused holds the sessions whose expiry this instance has acted upon,
	// with the time at which it first did. It gives them no more promises, and
	// waits until earlier promises have expired before it claims. A refusal is
	// kept after the session's last slot was claimed: the old holder may ask
	// again, and with a new promise it would use the slots at the same time as
	// the new holder.
	refused map[protocol.SessionID]time.Time
}

func newGivenPromises(duration, retention time.Duration) *givenPromises {
	return &givenPromises{
		duration:  duration,
		retention: retention,
		until:     map[protocol.SessionID]time.Time{},
		refused:   map[protocol.SessionID]time.Time{},
	}
}

// give answers a holder's request for a promise.
func (p *givenPromises) give(now time.Time, session protocol.SessionID) bool {
	if _, ok := p.refused[session]; ok {
		return false
	}
	p.until[session] = now.Add(p.duration)
	return true
}

// refuse stops giving promises to a session, and reports whether all earlier
// ones have expired.
func (p *givenPromises) refuse(now time.Time, session protocol.SessionID) bool {
	if _, ok := p.refused[session]; !ok {
		p.refused[session] = now
	}
	return !now.Before(p.until[session])
}

// prune removes expired promises and refusals older than the retention.
func (p *givenPromises) prune(now time.Time) {
	for session, until := range p.until {
		if now.After(until) {
			delete(p.until, session)
		}
	}
	for session, at := range p.refused {
		if now.Sub(at) > p.retention {
			delete(p.refused, session)
		}
	}
}

// extension is the holder's side of promises. It decides how long the holder
// may use its slots although it could not renew its session.
//
// A slot has only one user at a time, for the following reasons. While the
// holder's session may be valid, no other instance can have read that it
// expired. After that, only instances of the slot's failure domain claim the
// slot (ClaimPolicy). There are two cases:
//
//   - The claiming instance opened its session before a record that the holder
//     must have read back. Then it is one of the holder's required peers. The
//     holder needs its promise, and it claims only after it has stopped giving
//     promises and all earlier ones have expired.
//   - Otherwise it claims only if the process at the holder's address confirms
//     that it no longer uses the session's slots, or once the grace period has
//     passed since it read that the session expired. The holder stops using its
//     slots one grace period after its session was last valid. That is earlier,
//     because no instance reads the expiry before that time.
//
// An extension that has lapsed remains lapsed until the session is valid again.
// A peer that claimed slots may since have been replaced by a process that
// knows nothing of the claim and would give a new promise.
type extension struct {
	settings Settings
	session  protocol.SessionID
	// lastHeldAt is when the session was last valid by itself.
	lastHeldAt time.Time
	// requiredPeers are the peers whose promise is needed. Peers are only added
	// to it until the session is valid again.
	requiredPeers map[peer]bool
	// coveredRenewal is the renewal of this session up to which requiredPeers
	// is complete.
	coveredRenewal protocol.Offset
	// promisedUntil is when the promise of each peer expires.
	promisedUntil map[peer]time.Time
	lapsed        bool
}

// peer is an instance at an address. Another process of the same instance at
// another address is a different peer.
type peer struct {
	instance protocol.InstanceID
	address  string
}

func newExtension(settings Settings) *extension {
	return &extension{
		settings:       settings,
		promisedUntil:  map[peer]time.Time{},
		coveredRenewal: protocol.NoOffset,
		lapsed:         true,
	}
}

// reset records that the session is valid now, so that no promises are needed.
func (e *extension) reset(now time.Time, session protocol.SessionID) {
	if session != e.session {
		clear(e.promisedUntil)
	}
	e.session = session
	e.lastHeldAt = now
	e.requiredPeers = map[peer]bool{}
	e.lapsed = false
}

// addRequired adds the peers whose sessions opened before the record at
// readBack, which this instance has read back. renewed is the session's latest
// renewal in the same view.
func (e *extension) addRequired(members []Member, renewed, readBack protocol.Offset) {
	e.coveredRenewal = renewed
	if e.requiredPeers == nil {
		return
	}
	for _, m := range members {
		if m.Session != e.session && m.Opened < readBack {
			e.requiredPeers[peer{instance: m.Instance, address: m.Address}] = true
		}
	}
}

// recordPromise records a peer's promise to a request sent at the given time.
// holding is true if the session is still valid.
func (e *extension) recordPromise(now time.Time, from peer, sent time.Time, holding bool) {
	if !holding && !now.Before(e.validUntil(now)) {
		return
	}
	e.promisedUntil[from] = sent.Add(e.settings.trimForDrift(e.settings.PromiseDuration))
}

// validUntil returns the time until which the slots may be used on promises
// alone. It is zero if a promise is missing or has expired.
func (e *extension) validUntil(now time.Time) time.Time {
	if e.lapsed {
		return time.Time{}
	}
	end := e.lastHeldAt.Add(e.settings.trimForDrift(e.settings.GracePeriod))
	for p := range e.requiredPeers {
		if promised := e.promisedUntil[p]; promised.Before(end) {
			end = promised
		}
	}
	if !now.Before(end) {
		e.lapsed = true
		return time.Time{}
	}
	return end
}
