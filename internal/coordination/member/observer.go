package member

import (
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/session"
)

// StreamStatus describes how current the observer's view of the control stream is.
type StreamStatus struct {
	// ReadStartedAt is the start time of the latest read that reached the end of
	// the stream. The read shows nothing that was appended later.
	ReadStartedAt time.Time
	// CaughtUpSince is the time since which every read has reached the end of the
	// stream without interruption.
	CaughtUpSince time.Time
	// RenewalsAccepted reports whether the observer's own renewals are being
	// accepted, which shows that the log accepts appends.
	RenewalsAccepted bool
	// OwnSession is the observer's own session.
	OwnSession protocol.SessionID
}

// trackedSession is the observer's record of another session.
type trackedSession struct {
	// lastRenewal is the offset of the session's latest renewal.
	lastRenewal protocol.Offset
	// unchangedSince is the time from which silence counts.
	unchangedSince time.Time
	// proposedAt is the time of the latest proposal, zero if there was none.
	proposedAt time.Time
}

// Observer detects sessions whose renewals have stopped. It does no I/O and is not
// safe for concurrent use.
type Observer struct {
	timings Timings
	tracked map[protocol.SessionID]*trackedSession
}

// NewObserver returns an observer that tracks no sessions yet.
func NewObserver(timings Timings) *Observer {
	return &Observer{timings: timings, tracked: map[protocol.SessionID]*trackedSession{}}
}

// Observe returns the expiries to propose, given the sessions that are open in the
// replayed state at now.
//
// While the log is down, no instance can renew its session. Observers that counted
// an outage as silence would expire every session when the log returns, and all
// batch work would start over. Silence therefore counts only while the observer
// reads the stream to its end without interruption and its own renewals are
// accepted.
func (o *Observer) Observe(now time.Time, status StreamStatus, open []session.Info) []protocol.SessionExpire {
	if !status.RenewalsAccepted {
		clear(o.tracked)
		return nil
	}
	o.dropEndedSessions(open)
	var proposals []protocol.SessionExpire
	for i := range open {
		info := &open[i]
		if info.Session == status.OwnSession {
			continue
		}
		if o.shouldPropose(now, status, info, open) {
			proposals = append(proposals, protocol.SessionExpire{Session: info.Session, LastRenewal: info.LastRenewal})
		}
	}
	return proposals
}

// shouldPropose updates the record of a session with its latest renewal and
// reports whether to propose its expiry now.
func (o *Observer) shouldPropose(now time.Time, status StreamStatus, info *session.Info, open []session.Info) bool {
	s, known := o.tracked[info.Session]
	if !known || s.lastRenewal != info.LastRenewal {
		o.tracked[info.Session] = &trackedSession{lastRenewal: info.LastRenewal, unchangedSince: now}
		return false
	}
	if s.unchangedSince.Before(status.CaughtUpSince) {
		s.unchangedSince = status.CaughtUpSince
	}
	silent := status.ReadStartedAt.Sub(s.unchangedSince)
	if silent <= o.timings.Expire {
		return false
	}
	rank := proposalRank(status.OwnSession, info.Session, open)
	if silent <= o.timings.Expire+time.Duration(rank)*o.timings.Stagger {
		return false
	}
	if !s.proposedAt.IsZero() && now.Sub(s.proposedAt) < o.timings.Expire {
		return false
	}
	s.proposedAt = now
	return true
}

// proposalRank returns the observer's rank among the sessions that may propose the
// expiry of subject.
func proposalRank(own, subject protocol.SessionID, open []session.Info) int {
	candidates := make([]protocol.SessionID, 0, len(open))
	for i := range open {
		if open[i].Session != subject {
			candidates = append(candidates, open[i].Session)
		}
	}
	return Rank("expire/"+subject.String(), own, candidates)
}

func (o *Observer) dropEndedSessions(open []session.Info) {
	if len(o.tracked) == 0 {
		return
	}
	known := make(map[protocol.SessionID]bool, len(open))
	for i := range open {
		known[open[i].Session] = true
	}
	for id := range o.tracked {
		if !known[id] {
			delete(o.tracked, id)
		}
	}
}
