// Package exchange defines the requests from callers to targets and the answers, as used
// within this project. Only the adapter knows their names on the wire.
package exchange

import (
	"net/http"
	"time"
)

// FromStart is the position of a reader that has received no event of a stream.
const FromStart = -1

// Request is one attempt of a caller, with its complete body.
type Request struct {
	// ID identifies the attempt. A retry has a different id.
	ID string
	// Secret is the secret of the caller's key, empty if none was sent.
	Secret string
	Method string
	Host   string
	// Path and Query are as received, still escaped. ForceQuery reports that the path is
	// followed by a question mark, also if the query is empty.
	Path, Query string
	ForceQuery  bool
	// Timeout is how much longer the caller waits, 0 if not specified.
	Timeout time.Duration
	// After is the position of the last event of a stream that the caller has
	// received, FromStart if none.
	After int
	// Resumes is the id of the attempt that brought the first event of the stream, empty
	// if not specified.
	Resumes string
	// Prompt describes the size of the model's input and output.
	Prompt Prompt
	// Header contains the headers that are forwarded to the target unchanged.
	Header http.Header
	Body   []byte
}

// Prompt is the size of a request to a model.
type Prompt struct {
	// Parts are the parts of the prompt in order: first those that other requests may
	// share, last the part of this request alone.
	Parts []PromptPart
	// InputTokens is the number of tokens in the prompt, MaxOutputTokens the maximum
	// number that the model generates.
	InputTokens, MaxOutputTokens int
}

// SharedParts returns the ids of the parts that other requests may share: all but the last one.
func (p *Prompt) SharedParts() []string {
	var out []string
	for i := range len(p.Parts) - 1 {
		out = append(out, p.Parts[i].ID)
	}
	return out
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Dispatch is a request that is being sent to one target.
type Dispatch struct {
	// ID is the id of the request or batch item. The answer echoes it.
	ID     string
	Method string
	Host   string
	// Path, Query and ForceQuery are those of Request.
	Path, Query string
	ForceQuery  bool
	// Target is the only target that may run the request. If the address now belongs
	// to another target, that target rejects the request.
	Target string
	// Organisation is the organisation that the request runs for.
	Organisation string
	// TimeLeft is how long the target may work on the request, 0 if not limited.
	TimeLeft time.Duration
	// After is the position of the last event that has been received, FromStart if
	// none.
	After  int
	Header http.Header
	Body   []byte
}

// Load is the load that a target reports with an answer.
type Load struct {
	// Running and Waiting count requests at the target. Slots is the number that the
	// target can run at the same time, 0 if not reported.
	Running, Waiting, Slots int
	// Pace is how long work takes at the target at this moment, in percent of the usual time:
	// 250 is two and a half times as long. 0: not reported.
	Pace int
}

// Report is a target's answer to a status query.
type Report struct {
	Load Load
	// Runs are the ids of the requests that the target is working on. Progress has a number for each that changes
	// while it does.
	Runs     []string
	Progress []uint64
	// Started is when the target's process started, in Unix milliseconds. 0: it does not tell.
	Started int64
}

// Health is a target's answer to a health check.
type Health struct {
	// Target is the target that answered.
	Target  string
	Healthy bool
	// WarmUp is the remaining warm-up time, 0 if the target is not warming up.
	WarmUp time.Duration
}

// Reply is a target's answer without its body.
type Reply struct {
	Status int
	// ID is the id of the request that the answer belongs to.
	ID string
	// NotRun reports that the target did not and will not run the request.
	NotRun bool
	// WrongTarget reports that the address now belongs to another target.
	WrongTarget bool
	// Load is nil if the target did not report its load, or not readably.
	Load *Load
	// MalformedLoad is a report of the load that could not be read, or not all of it; it may be
	// cut short. Empty: there is none.
	MalformedLoad string
	// EndsWithConnection reports that the body has neither a length nor chunks, so that the end of
	// the connection is its end.
	EndsWithConnection bool
	// IdleTimeout is how long the target keeps an idle connection open, 0 if not
	// specified.
	IdleTimeout time.Duration
	// Header contains the headers that are forwarded to the caller unchanged.
	Header http.Header
}

// Success reports whether the status is 2xx.
func (r *Reply) Success() bool { return r.Status >= 200 && r.Status < 300 }

// JobKind is the operation of a call on a batch job.
type JobKind int

// Operations on a batch job.
const (
	// JobResults reads results, starting at a position.
	JobResults JobKind = iota
	// JobItem reads the body of an item.
	JobItem
	// JobEnd ends the job.
	JobEnd
)

// JobCall is a call on an existing batch job.
type JobCall struct {
	Kind JobKind
	Job  string
	// Item is set for JobItem.
	Item string
	// After and Wait are set for JobResults. After is the first position to read and
	// Wait is how long the caller waits for a result at that position.
	After int
	Wait  time.Duration
}
