package batchjobs

import (
	"time"

	"merlintiller/internal/state/jobs"
)

// Verdict is how a call ended.
type Verdict int

// The verdicts. Only NotDone promises that the call had no effect.
const (
	// Done: the call took effect, or had done so before.
	Done Verdict = iota
	// Unknown: there is no such job, or the item is listed already.
	Missing
	// NotDone: the call had no effect and never will.
	NotDone
	// Unsure: the call may have taken effect, or may do so later.
	Unsure
	// NotHeld: the instance that was asked does not hold the partition.
	NotHeld
)

// String names a verdict in logs.
func (v Verdict) String() string {
	return [...]string{"done", "missing", "not_done", "unsure", "not_held"}[v]
}

// ResultsCall asks for a job's results.
type ResultsCall struct {
	Job          string
	Organisation string
	// After is the first position wanted, Wait how long to wait for a result
	// there.
	After int
	Wait  time.Duration
}

// ResultsReply is a part of a job's results.
type ResultsReply struct {
	Verdict Verdict
	// Total is the number of the job's items.
	Total   int
	Results []jobs.Result
}

// BodyCall asks for the body of an item that is not listed yet.
type BodyCall struct {
	Job, Item    string
	Organisation string
}

// BodyReply is the body.
type BodyReply struct {
	Verdict Verdict
	Body    []byte
}

// JobCall names a job of an organisation.
type JobCall struct {
	Job          string
	Organisation string
}

// JobReply is the end of a call without content.
type JobReply struct {
	Verdict Verdict
}

// AcceptCall hands a job to an instance that reaches the store.
type AcceptCall struct {
	Job jobs.Job
}

// ResultOf is a result on its way to the holder of its partition.
type ItemResult jobs.Result

// YieldCall asks for the slot back that was given under a number.
type YieldCall struct {
	Number uint64
}
