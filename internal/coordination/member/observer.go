package member

import (
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/session"
)

// StreamStatus is what an observer knows of its own view of the stream.
type StreamStatus struct {
	// ReadStartedAt is when the latest read that reached the end of the stream began.
	// The answer says nothing about later moments.
	ReadStartedAt time.Time
	// CaughtUpSince is since when the stream has been read to its end without
	// a break.
	CaughtUpSince time.Time
	// RenewalsAccepted says that the observer's own renewals are being accepted, so
	// the log takes appends.
	RenewalsAccepted bool
	// OwnSession is the observer's own session.
	OwnSession protocol.SessionID
}

type mark struct {
	lastRenewal protocol.Offset
	since       time.Time
	proposed    time.Time
}

// Observer finds sessions whose renewals stopped. It is pure and not safe for
// concurrent use.
type Observer struct {
	timings Timings
	marks   map[protocol.SessionID]*mark
}

// NewObserver returns an observer that has seen nothing.
func NewObserver(timings Timings) *Observer {
	return &Observer{timings: timings, marks: map[protocol.SessionID]*mark{}}
}

// Observe takes the open sessions as replayed now and returns the expiries to
// propose.
//
// When the whole log was down nobody could renew. Observers that counted that
// time would expire every session on its return, and all batch work would
// start over. So silence counts only while the observer reads the stream to
// its end without a break and its own renewals are accepted.
func (o *Observer) Observe(now time.Time, evidence StreamStatus, open []session.Info) []protocol.SessionExpire {
	if !evidence.RenewalsAccepted {
		clear(o.marks)
		return nil
	}
	o.forget(open)
	var proposals []protocol.SessionExpire
	for i := range open {
		info := &open[i]
		if info.Session == evidence.OwnSession {
			continue
		}
		if o.due(now, evidence, info, open) {
			proposals = append(proposals, protocol.SessionExpire{Session: info.Session, LastRenewal: info.LastRenewal})
		}
	}
	return proposals
}

// due notes a session's latest renewal and reports whether to propose its end.
func (o *Observer) due(now time.Time, evidence StreamStatus, info *session.Info, open []session.Info) bool {
	m, known := o.marks[info.Session]
	if !known || m.lastRenewal != info.LastRenewal {
		o.marks[info.Session] = &mark{lastRenewal: info.LastRenewal, since: now}
		return false
	}
	if m.since.Before(evidence.CaughtUpSince) {
		m.since = evidence.CaughtUpSince
	}
	silent := evidence.ReadStartedAt.Sub(m.since)
	if silent <= o.timings.Expire {
		return false
	}
	rank := rankOf(evidence.OwnSession, info.Session, open)
	if silent <= o.timings.Expire+time.Duration(rank)*o.timings.Stagger {
		return false
	}
	if !m.proposed.IsZero() && now.Sub(m.proposed) < o.timings.Expire {
		return false
	}
	m.proposed = now
	return true
}

// rankOf is the observer's place in the line of those who may propose the
// expiry of a session.
func rankOf(own, subject protocol.SessionID, open []session.Info) int {
	candidates := make([]protocol.SessionID, 0, len(open))
	for i := range open {
		if open[i].Session != subject {
			candidates = append(candidates, open[i].Session)
		}
	}
	return Rank("expire/"+subject.String(), own, candidates)
}

func (o *Observer) forget(open []session.Info) {
	if len(o.marks) == 0 {
		return
	}
	known := make(map[protocol.SessionID]bool, len(open))
	for i := range open {
		known[open[i].Session] = true
	}
	for id := range o.marks {
		if !known[id] {
			delete(o.marks, id)
		}
	}
}
