package member

import (
	"time"

	"merlintiller/internal/protocol"
)

// Action is what the holder of a session has to do next.
type Action int

// The actions.
const (
	// Wait: nothing is due yet.
	Wait Action = iota
	// Open: the instance has no session and should open a new one.
	Open
	// Renew: a renewal is due.
	Renew
	// Leave: the session was closed for good.
	Leave
)

// Holder keeps the instance's own session. It is pure and not safe for
// concurrent use. Times come from time.Now, with both of its clocks.
type Holder struct {
	timings Timings
	session protocol.SessionID
	// sentAt is when the latest confirmed renewal was sent. The time of its
	// confirmation would be wrong: observers may have read it much earlier.
	sentAt  time.Time
	triedAt time.Time
	leaving bool
}

// NewHolder returns a holder without a session.
func NewHolder(timings Timings) *Holder {
	return &Holder{timings: timings}
}

// Session is the open session, zero if there is none.
func (h *Holder) Session() protocol.SessionID { return h.session }

// Next says what to do now and, for Wait, for how long to wait.
func (h *Holder) Next(now time.Time) (Action, time.Duration) {
	if h.leaving {
		return Leave, 0
	}
	if h.session == 0 {
		return Open, 0
	}
	due := h.triedAt.Add(h.timings.Renew)
	if now.Before(due) {
		return Wait, due.Sub(now)
	}
	return Renew, 0
}

// RenewalAttempted notes that a renewal is handed to the writer.
func (h *Holder) RenewalAttempted(now time.Time) { h.triedAt = now }

// Opened notes that replay accepted the open record sent at a time.
func (h *Holder) Opened(session protocol.SessionID, sentAt time.Time) {
	h.session = session
	h.sentAt = sentAt
	h.triedAt = sentAt
}

// Renewed notes that replay accepted a renewal sent at a time.
func (h *Holder) Renewed(session protocol.SessionID, sentAt time.Time) {
	if session == h.session && sentAt.After(h.sentAt) {
		h.sentAt = sentAt
	}
}

// Ended notes that replay ended a session. The next action is to open another.
func (h *Holder) Ended(session protocol.SessionID) {
	if session == h.session {
		h.session = 0
	}
}

// Closing notes that the instance is shutting down and wants no session again.
func (h *Holder) Closing() { h.leaving = true }

// MayHold reports whether exclusive work under the session may go on.
//
// An instance that was paused, or whose renewals no longer reach the log, does
// not know whether its session was expired and its work given to another. Two
// holders would show as items run twice and targets getting orders in turn. So
// it stops by its own clock before any observer may propose the expiry. It
// resumes under the same session if a later renewal is accepted, since that
// proves that the session never ended.
func (h *Holder) MayHold(now time.Time) bool {
	return h.session != 0 && elapsed(h.sentAt, now) < h.timings.Hold
}

// elapsed is the longer of the time by the monotonic clock and that by the wall
// clock. The monotonic clock of a virtual machine stands still while the whole
// machine is suspended, and the holder would take no notice of the pause. A
// wall clock that is set forward only makes the holder stop too early, until
// its next renewal.
func elapsed(since, now time.Time) time.Duration {
	monotonic := now.Sub(since)
	wall := now.Round(0).Sub(since.Round(0))
	return max(monotonic, wall)
}
