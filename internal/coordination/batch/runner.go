package batch

import (
	"context"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// Item is one item of a claimed chunk, ready to run.
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
	// Attempt counts from 1. Interrupted runs do not count.
	Attempt int
	// Resume is what an interrupted run kept, nil at first.
	Resume *Resume
}

// Resume is the partial output of an item whose place was taken back.
type Resume struct {
	// Tokens is the number of tokens of Output.
	Tokens int
	// Output is the text so far, in the Runner's own form.
	Output []byte
	// Target gave the output. Another one can resume it as well.
	Target protocol.TargetID
}

// OutcomeKind says how a run of an item ended.
type OutcomeKind int

// The ways a run can end.
const (
	// Done: the result is final, good or failed.
	Done OutcomeKind = iota
	// Interrupted: the run was cancelled. Resume holds what there is.
	Interrupted
	// Retry: the run failed in a way that another attempt may mend.
	Retry
	// NotStarted: no target took the item, so it certainly did not run. It is
	// tried again until the deadline and does not count as an attempt: a dead
	// pool of targets would otherwise fail every item within a minute.
	NotStarted
)

// ItemOutcome is how a run of an item ended.
type ItemOutcome struct {
	Kind OutcomeKind
	// Result is set if Kind is Done; for Retry it holds what will stand if
	// this was the last attempt. Item and CustomID are filled in.
	Result bulk.Result
	// Resume is set if Kind is Interrupted.
	Resume *Resume
	// RetryAfter is the least wait before the next attempt.
	RetryAfter time.Duration
	// Call tells the router how the call went.
	Call coordination.CallResult
}

// Runner runs an item at a target. When ctx ends it cancels the call there and
// returns soon, as Interrupted. It does not release the slot.
type Runner interface {
	Run(ctx context.Context, slot coordination.BatchSlot, item Item) ItemOutcome
}
