// Package exchange holds one request on its way from a caller to a target and
// the answer on its way back, in the words of this project. The names that they
// have on the wire are known to the adapter alone.
package exchange

import (
	"net/http"
	"time"
)

// FromStart is the position of a stream of which the reader has nothing.
const FromStart = -1

// Request is one attempt of a caller, with its whole body.
type Request struct {
	// ID is the attempt's own id; a repeat has another one.
	ID string
	// Secret is the key that was shown, empty if none was.
	Secret string
	Method string
	Host   string
	// Path and Query are as they came, still escaped.
	Path, Query string
	// Timeout is how long the caller waits from now on. 0: it did not say.
	Timeout time.Duration
	// After is the last event that the caller has of a stream, FromStart if
	// none.
	After int
	// Prompt says what a model has to read.
	Prompt Prompt
	// Header holds what is passed on to a target unchanged.
	Header http.Header
	Body   []byte
}

// Prompt is the size of a request to a model.
type Prompt struct {
	// Parts are the shared parts of the prompt in order, the own part last.
	Parts []PromptPart
	// InputTokens are read, MaxOutputTokens at most are produced.
	InputTokens, MaxOutputTokens int
}

// PromptPart is a piece of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Dispatch is a request on its way to one target.
type Dispatch struct {
	// ID is the request's or the item's id, which the answer echoes.
	ID     string
	Method string
	Host   string
	Path   string
	Query  string
	// Target is the only target that may run the request. Another one that has
	// its address by now refuses it.
	Target string
	// Organisation is who the request runs for.
	Organisation string
	// TimeLeft is how long the target may work on it. 0: no bound.
	TimeLeft time.Duration
	// After is the last event that is there already, FromStart if none.
	After  int
	Header http.Header
	Body   []byte
}

// Load is what a target says of itself with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Report is what a target says of itself when it is asked.
type Report struct {
	Load Load
	// Runs are the ids of the requests that it works on.
	Runs []string
}

// Health is a target's answer to the question how it is.
type Health struct {
	// Target is who answered.
	Target  string
	Healthy bool
	// WarmUp is how much longer it warms up, 0 if it does not.
	WarmUp time.Duration
}

// Reply is the head of a target's answer.
type Reply struct {
	Status int
	// ID is the request that the answer is for.
	ID string
	// NotRun says that the target did not and will not run the request.
	NotRun bool
	// WrongTarget says that another target has this address.
	WrongTarget bool
	// Load is nil if the target did not tell it.
	Load *Load
	// IdleTimeout is how long the target keeps the connection open unused. 0: it
	// did not say.
	IdleTimeout time.Duration
	// Header holds what is passed on to the caller unchanged.
	Header http.Header
}

// Success says that the target did what was asked.
func (r *Reply) Success() bool { return r.Status >= 200 && r.Status < 300 }

// JobKind is what a call on a batch job asks for.
type JobKind int

// The calls on a batch job.
const (
	// JobResults reads results from a position on.
	JobResults JobKind = iota
	// JobItem reads the body of an item.
	JobItem
	// JobEnd ends the job.
	JobEnd
)

// JobCall is a call on a batch job that was submitted before.
type JobCall struct {
	Kind JobKind
	Job  string
	// Item is set for JobItem.
	Item string
	// After and Wait are set for JobResults: the first position wanted, and how
	// long the caller lets itself be kept waiting for a result there.
	After int
	Wait  time.Duration
}
