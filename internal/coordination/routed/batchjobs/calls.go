package batchjobs

import (
	"time"

	"merlintiller/internal/state/jobs"
)

// Verdict says how a call ended.
type Verdict int

// The verdicts. Only NotDone promises that the call had no effect.
const (
	// Done: the call took effect, or an earlier one had.
	Done Verdict = iota
	// Missing: there is no such job, or the item has a result already.
	Missing
	// NotDone: the call had no effect and never will.
	NotDone
	// Unsure: the call may have taken effect, or may do so later.
	Unsure
	// NotHeld: the called instance does not own the partition, or does not read it.
	NotHeld
	// Taken: the job has the id of another organisation's job. The call had no effect.
	Taken
)

// String is the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"done", "missing", "not_done", "unsure", "not_held", "taken"}[v]
}

// isFinal says that a further attempt would not change the outcome.
func (v Verdict) isFinal() bool { return v == Done || v == Missing }

// then is the verdict on a call whose first attempt ended with v and whose next one ended
// with other. What was unsure stays so, unless the next attempt settles it.
func (v Verdict) then(other Verdict) Verdict {
	if v == Unsure && !other.isFinal() {
		return Unsure
	}
	return other
}

// ResultsCall asks for a job's results.
type ResultsCall struct {
	Job          string
	Organisation string
	// Host is the only host whose jobs count, "" for any. An earlier release ignores it.
	Host string
	// After is the first position wanted, Wait how long to wait for a result at
	// that position.
	After int
	Wait  time.Duration
	// CountOnly asks for the size of the page in place of the results. An earlier release
	// ignores it.
	CountOnly bool
}

// ResultsReply is a page of a job's results.
type ResultsReply struct {
	Verdict Verdict
	// NotLoaded, with NotHeld: the instance owns the partition and does not read it.
	NotLoaded bool
	// Total is the number of the job's items.
	Total   int
	Results []jobs.Result
	// PageResults is the number of results that CountOnly has left out, PageBytes the size of
	// their texts.
	PageResults, PageBytes int
}

// BodyCall asks for the body of an item that has no published result.
type BodyCall struct {
	Job, Item    string
	Organisation string
	// Host is the only host whose jobs count, "" for any. An earlier release ignores it.
	Host string
}

// BodyReply carries the body.
type BodyReply struct {
	Verdict Verdict
	// NotLoaded, with NotHeld: the instance owns the partition and does not read it.
	NotLoaded bool
	Body      []byte
}

// JobCall names a job of an organisation.
type JobCall struct {
	Job          string
	Organisation string
	// Host is the only host whose jobs count, "" for any. An earlier release ignores it.
	Host string
}

// JobReply is the reply to a call that returns nothing else.
type JobReply struct {
	Verdict Verdict
}

// AcceptCall passes a job to an instance that reaches the store.
type AcceptCall struct {
	Job jobs.Job
}

// ItemResult is a result that is sent to the owner of its partition.
type ItemResult jobs.Result

// YieldCall asks for the slot that was granted under a number.
type YieldCall struct {
	Number uint64
}
