package relay

import (
	"net/http"
	"time"

	"merlintiller/internal/coordination/routed/origin"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quarantine"
)

// Reason is the cause of a request's outcome.
type Reason string

// The reasons. Their values appear in logs and metrics.
const (
	// Relayed: the complete answer was forwarded to the caller.
	Relayed Reason = "relayed"
	// NoTarget: the service has no known target. The request did not run.
	NoTarget Reason = "no_target"
	// VersionUnknown: the caller takes up a stream, and it is not known at which software
	// version the stream began. The request did not run.
	VersionUnknown Reason = "version_unknown"
	// VersionGone: no target has the software version at which the stream began. The request
	// did not run.
	VersionGone Reason = "version_gone"
	// PartClosed: parts of the prompt are closed, since targets crash when they begin to answer
	// requests with them.
	PartClosed Reason = "part_closed"
	// RequestClosed: three targets ended while they ran this request.
	RequestClosed Reason = "request_closed"
	// AllFull: no target had a free slot in time. The request did not run.
	AllFull Reason = "all_full"
	// NotAccepted: each target that was tried rejected the request or could not
	// be reached. The request did not run.
	NotAccepted Reason = "not_taken"
	// AnswerLost: the request was sent and no answer could be forwarded. The
	// request may have run.
	AnswerLost Reason = "answer_lost"
	// TimedOut: the deadline set by the route or the caller passed.
	TimedOut Reason = "timed_out"
	// Truncated: the answer had started and could not be completed.
	Truncated Reason = "cut_off"
	// CallerDisconnected: the caller closed its connection.
	CallerDisconnected Reason = "caller_left"
	// Interrupted: the instance exits and can't wait for the answer.
	Interrupted Reason = "interrupted"
)

// Outcome is the result of a request.
type Outcome struct {
	Reason Reason
	// Status is the HTTP status for the caller: the target's if the answer
	// started, otherwise that of the error response. 0 if the caller disconnected
	// before.
	Status int
	// RetryAfter is the time after which the caller may retry. 0: no
	// Retry-After is sent.
	RetryAfter time.Duration
	// Target is the id of the last target that was chosen, empty if none was.
	Target string
	// Attempts is the number of targets that were tried, PossibleRuns the
	// number of those that may have run the request.
	Attempts, PossibleRuns int
	// PlacementTime is the time from receiving the request until the last
	// target was chosen.
	PlacementTime time.Duration
	// Broker is the broker that chose the target, empty if this instance chose
	// it.
	Broker string
	// Busy and Slots are the target's occupied slots and all its slots when it
	// was chosen.
	Busy, Slots int
	// TimeToFirstByte is the time from receiving the request to the first bytes
	// of its answer, 0 if there was no answer.
	TimeToFirstByte time.Duration
	// Events is the number of stream events that were sent to the caller or taken over for
	// delivery.
	Events int
	// HeldBytes is the largest number of bytes of the answer that were held for the caller,
	// CallerLag the longest time until it had read a part, and ReadStopped the time for which
	// the target was not read, since the bound of held bytes was reached.
	HeldBytes              int
	CallerLag, ReadStopped time.Duration
	// Origin is what is known about the beginning of a stream.
	Origin origin.Origin
	// Closure is what is known of the closed parts of the prompt, nil if none are closed.
	Closure *quarantine.Closure
	// Expected is what the time by which the request had to be sent was based on.
	Expected ExpectedTimes
	// Queue is what a broker knew while the request waited for a slot, zero if it did not
	// wait.
	Queue placement.QueueState
}

// Completed reports whether the caller received the complete answer.
func (o *Outcome) Completed() bool { return o.Reason == Relayed }

// AnswerStarted reports whether the caller received at least a part of an
// answer.
func (o *Outcome) AnswerStarted() bool { return o.TimeToFirstByte > 0 }

// errorStatus returns the HTTP status of an outcome without an answer.
func (o *Outcome) errorStatus() int {
	switch o.Reason {
	case NoTarget, AllFull, NotAccepted, VersionUnknown, VersionGone:
		return http.StatusServiceUnavailable
	case TimedOut:
		if o.PossibleRuns == 0 {
			return http.StatusServiceUnavailable
		}
		return http.StatusGatewayTimeout
	case Interrupted, PartClosed, RequestClosed:
		if o.PossibleRuns == 0 {
			return http.StatusServiceUnavailable
		}
		return http.StatusBadGateway
	default:
		return http.StatusBadGateway
	}
}
