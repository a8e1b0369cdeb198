package relay

import (
	"net/http"
	"time"
)

// Reason says why a request ended as it did.
type Reason string

// The reasons, as they stand in logs and metrics.
const (
	// Relayed: the target's answer was passed on to its end.
	Relayed Reason = "relayed"
	// NoTarget: no target of the service is known. The request did not run.
	NoTarget Reason = "no_target"
	// AllFull: no target has a place. The request did not run.
	AllFull Reason = "all_full"
	// NotTaken: every target that was tried refused it. It did not run.
	NotTaken Reason = "not_taken"
	// Lost: the answer was lost; the request may have run.
	Lost Reason = "answer_lost"
	// TimedOut: the time that the route or the caller gives is over.
	TimedOut Reason = "timed_out"
	// CutOff: the answer had begun and can't be finished.
	CutOff Reason = "cut_off"
	// CallerDisconnected: the caller closed its connection.
	CallerDisconnected Reason = "caller_left"
)

// Outcome is how a request ended.
type Outcome struct {
	Reason Reason
	// Status is what the caller gets, 0 if its answer had begun.
	Status int
	// RetryAfter is when the caller may come back. 0: nothing is said.
	RetryAfter time.Duration
	// Target had the request last, empty if none had it.
	Target string
	// Attempts are the targets that the request was sent to, PossibleRuns those of them
	// that may have begun it.
	Attempts, PossibleRuns int
	// PlacementTime is the time until the last target was chosen, Broker who chose it,
	// empty for this instance itself, Busy and Slots what it was chosen by.
	PlacementTime      time.Duration
	Broker      string
	Busy, Slots int
	// TimeToFirstByte is the time to the answer's first bytes, 0 if there were none.
	TimeToFirstByte time.Duration
	// Events counts the events of a stream that were passed on.
	Events int
}

// Completed says that the caller has a whole answer.
func (o *Outcome) Completed() bool { return o.Reason == Relayed }

// AnswerStarted says that the caller has a part of an answer.
func (o *Outcome) AnswerStarted() bool { return o.TimeToFirstByte > 0 }

// refusal gives the status of an outcome without an answer.
func (o *Outcome) refusal() int {
	switch o.Reason {
	case NoTarget, AllFull, NotTaken:
		return http.StatusServiceUnavailable
	case TimedOut:
		if o.PossibleRuns == 0 {
			return http.StatusServiceUnavailable
		}
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
