package online

import (
	"net/http"
	"time"

	"merlintiller/internal/coordination/access"
	"merlintiller/internal/protocol"
)

// Request is one online call whose caller has been authenticated.
type Request struct {
	// ID is returned to the caller as X-Request-Id.
	ID     string
	Caller access.Caller
	// Secret is the caller's API key. It is used only to check that the request
	// does not pass the key on to a target.
	Secret  string
	Service protocol.ServiceName
	Method  string
	// Path is the URL path at the target, including the query.
	Path   string
	Header http.Header
	Body   []byte
	// Stream reports whether the caller asked for server-sent events.
	Stream bool
	// Prefix is the hash of the prompt's prefix, or 0 if there is none.
	Prefix uint64
	// Deadline is the time after which the response is of no use, or zero if
	// the caller set none.
	Deadline time.Time
	// IdempotencyKey makes a call that is not idempotent safe to resend.
	IdempotencyKey string
}

// Writer receives the response. An error means that the caller has disconnected
// or does not read.
type Writer interface {
	// Begin starts the response. It is called at most once.
	Begin(status int, header http.Header) error
	// Write appends p to the body.
	Write(p []byte) (int, error)
	// Flush sends the data written so far.
	Flush() error
}

// Result is the outcome of a call.
type Result struct {
	// Refusal is nil if the caller received the complete response.
	Refusal *protocol.Refusal
	// Started reports whether the response had started. A Refusal can then be
	// sent only within the body.
	Started bool
	// Status is the HTTP status of the response, or 0 if the call was refused
	// before the response started.
	Status   int
	Target   protocol.TargetID
	Attempts int
	// Resumed is the number of attempts that resumed a started stream.
	Resumed int
	// TimeToFirstByte is the time from the request to the first byte of the
	// response, or 0 if no byte was received.
	TimeToFirstByte time.Duration
	// Events is the number of stream events sent to the caller. MeanEventGap is
	// the mean time between two of them.
	Events       int
	MeanEventGap time.Duration
}

// Observation describes a finished call for the burn report.
type Observation struct {
	Organisation protocol.OrganisationID
	Service      protocol.ServiceName
	Result       Result
	Duration     time.Duration
}
