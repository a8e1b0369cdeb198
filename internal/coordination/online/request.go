package online

import (
	"net/http"
	"time"

	"merlintiller/internal/coordination/access"
	"merlintiller/internal/protocol"
)

// Request is one online call whose caller is known.
type Request struct {
	// ID is given back to the caller as X-Request-Id.
	ID     string
	Caller access.Caller
	// Secret is the caller's key. It is held only to keep it from targets.
	Secret  string
	Service protocol.ServiceName
	Method  string
	// Path is the path at the target, with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Stream says that the caller asked for server-sent events.
	Stream bool
	// Prefix is the hash of the prompt's prefix, 0 if there is none.
	Prefix uint64
	// Deadline is when the answer is of no more use; zero if not said.
	Deadline time.Time
	// IdempotencyKey makes a call that may not be repeated safe to resend.
	IdempotencyKey string
}

// Writer takes the answer. Its errors mean that the caller is gone or does not
// read.
type Writer interface {
	// Begin starts the answer. It is called at most once.
	Begin(status int, header http.Header) error
	// Write adds bytes of the body.
	Write(p []byte) (int, error)
	// Flush sends what was written.
	Flush() error
}

// Result says how a call ended.
type Result struct {
	// Refusal is nil if the caller got the whole answer.
	Refusal *protocol.Refusal
	// Started says that the answer had begun: a Refusal can be told only
	// within it.
	Started bool
	// Status is the answer's HTTP status, 0 if it was refused before one.
	Status   int
	Target   protocol.TargetID
	Attempts int
	// Resumed counts the attempts that went on with a begun stream.
	Resumed int
	// TimeToFirstByte is the time from the request to the first byte, 0 if none.
	TimeToFirstByte time.Duration
	// Events counts the delivered events of a stream, BetweenEvents is the
	// mean gap between them.
	Events       int
	MeanEventGap time.Duration
}

// Observation is a finished call as the burn report sees it.
type Observation struct {
	Organisation protocol.OrganisationID
	Service      protocol.ServiceName
	Result       Result
	Took         time.Duration
}
