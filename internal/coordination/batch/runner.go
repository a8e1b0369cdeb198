package batch

import (
	"context"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// Item is one item of a claimed chunk, with everything needed to run it.
type Item struct {
	ledger.ChunkID
	// Number is the item's number in its chunk.
	Number       int
	Organisation protocol.OrganisationID
	Endpoint     string
	CustomID     string
	Model        protocol.ModelName
	Body         []byte
	Deadline     time.Time
	// Attempt is the number of the attempt, counted from 1. Interrupted runs do
	// not count.
	Attempt int
	// Resume is the partial output of an interrupted run, nil if there is none.
	Resume *Resume
}

// Resume is the partial output of an item whose run was interrupted.
type Resume struct {
	// Tokens is the number of tokens of Output.
	Tokens int
	// Output is the partial output in an encoding that is private to the Runner.
	Output []byte
	// Target is the target that generated the output. Other targets of the same
	// software version can resume it as well.
	Target  protocol.TargetID
	Version string
}

// OutcomeKind is the way in which a run of an item ended.
type OutcomeKind int

// Kinds of outcome.
const (
	// Done: the result is final, whether successful or failed.
	Done OutcomeKind = iota
	// Interrupted: the run was cancelled. Resume contains the partial output.
	Interrupted
	// Retry: the run failed, and another attempt may succeed.
	Retry
	// NotStarted: no target accepted the item, so it certainly did not run. The
	// item is retried until the deadline, and the run does not count as an
	// attempt. Otherwise an outage of all targets would fail every item within a
	// minute.
	NotStarted
)

// ItemOutcome is the outcome of a run of an item.
type ItemOutcome struct {
	Kind OutcomeKind
	// Result is set if Kind is Done. If Kind is Retry, Result becomes the final
	// result if this was the last attempt. The Executor sets Item and CustomID.
	Result bulk.Result
	// Resume is set if Kind is Interrupted.
	Resume *Resume
	// RetryAfter is the minimum delay before the next attempt.
	RetryAfter time.Duration
	// Call reports the outcome of the call to the router.
	Call coordination.CallResult
}

// Runner runs an item at a target. When ctx ends, Run cancels the call at the
// target and promptly returns an Interrupted outcome. It does not release the
// slot.
type Runner interface {
	Run(ctx context.Context, slot coordination.BatchSlot, item Item) ItemOutcome
}
