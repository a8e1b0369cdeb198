package member

import (
	"time"

	"merlintiller/internal/protocol"
)

// Action is the next step in the life cycle of the instance's own session.
type Action int

// Actions that Holder.Next returns.
const (
	// Wait: nothing is due yet.
	Wait Action = iota
	// Open: the instance has no session and should open a new one.
	Open
	// Renew: a renewal is due.
	Renew
	// Leave: the instance is shutting down and opens no further session.
	Leave
)

// Holder tracks the instance's own session. It does no I/O and is not safe for
// concurrent use. Its time arguments must come from time.Now, so that they
// contain both a monotonic and a wall clock reading.
type Holder struct {
	timings Timings
	session protocol.SessionID
	// sentAt is the time when the latest confirmed renewal was sent. The time of
	// the confirmation would be too late: observers may have read the renewal
	// much earlier.
	sentAt time.Time
	// attemptedAt is the time when the latest renewal was passed to the writer.
	attemptedAt time.Time
	leaving     bool
}

// NewHolder returns a holder without a session.
func NewHolder(timings Timings) *Holder {
	return &Holder{timings: timings}
}

// Session returns the open session, or zero if there is none.
func (h *Holder) Session() protocol.SessionID { return h.session }

// Next returns the action that is due now and, for Wait, how long to wait.
func (h *Holder) Next(now time.Time) (Action, time.Duration) {
	if h.leaving {
		return Leave, 0
	}
	if h.session == 0 {
		return Open, 0
	}
	due := h.attemptedAt.Add(h.timings.Renew)
	if now.Before(due) {
		return Wait, due.Sub(now)
	}
	return Renew, 0
}

// RenewalAttempted records that a renewal was passed to the writer at now.
func (h *Holder) RenewalAttempted(now time.Time) { h.attemptedAt = now }

// Opened records that replay accepted the SessionOpen record sent at sentAt.
func (h *Holder) Opened(session protocol.SessionID, sentAt time.Time) {
	h.session = session
	h.sentAt = sentAt
	h.attemptedAt = sentAt
}

// Renewed records that replay accepted the renewal sent at sentAt.
func (h *Holder) Renewed(session protocol.SessionID, sentAt time.Time) {
	if session == h.session && sentAt.After(h.sentAt) {
		h.sentAt = sentAt
	}
}

// Ended records that replay ended a session. If it is the instance's own, the
// next action is Open.
func (h *Holder) Ended(session protocol.SessionID) {
	if session == h.session {
		h.session = 0
	}
}

// Closing records that the instance is shutting down and must not open another
// session.
func (h *Holder) Closing() { h.leaving = true }

// MayHold reports whether exclusive work under the session may continue.
//
// An instance that was paused, or whose renewals no longer reach the log, does
// not know whether its session has expired and its work has been assigned to
// another instance. With two holders, items would run twice and targets would
// get conflicting orders from both. The instance therefore stops by its own clock
// before any observer may propose the expiry. It resumes under the same session if
// a later renewal is accepted, because acceptance proves that the session never
// ended.
func (h *Holder) MayHold(now time.Time) bool {
	return h.session != 0 && elapsed(h.sentAt, now) < h.timings.Hold
}

// elapsed returns the longer of the durations measured by the monotonic clock and
// by the wall clock. The monotonic clock of a virtual machine stops while the
// machine is suspended, so it alone would hide the pause from the holder. A wall
// clock that is set forward only makes the holder stop too early, until its next
// renewal.
func elapsed(since, now time.Time) time.Duration {
	monotonic := now.Sub(since)
	wall := now.Round(0).Sub(since.Round(0))
	return max(monotonic, wall)
}
