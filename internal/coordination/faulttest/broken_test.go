package faulttest

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
	"merlintiller/internal/state/session"
)

// requireDetected runs cells with a broken variant. Each must report a violation
// that matches reason, the defect of the variant.
func requireDetected(t *testing.T, runCell func(*testing.T, fault) []string, reason string, faults ...fault) {
	t.Helper()
	for _, f := range faults {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wrong := strings.Join(runCell(t, f), "\n")
				require.Regexp(t, reason, wrong)
			})
		})
	}
}

func batchScenario(name string, broken variant) func(*testing.T, fault) []string {
	for _, s := range batchSteps {
		if s.name == name {
			return func(t *testing.T, f fault) []string { return s.runWithFault(t, f, broken) }
		}
	}
	panic("no step " + name)
}

func callScenario(name string, broken variant) func(*testing.T, fault) []string {
	for _, s := range callSteps {
		if s.name == name {
			return func(t *testing.T, f fault) []string {
				wrong, _ := s.runWithFault(t, f, broken)
				return wrong
			}
		}
	}
	panic("no step " + name)
}

func journalVariant(wrap func(coordination.Journal) coordination.Journal) variant {
	return variant{journal: wrap}
}

// ackBeforeAppend acknowledges a manifest before it is appended.
type ackBeforeAppend struct {
	coordination.Journal
	mu      sync.Mutex
	pending *protocol.Record
}

func (h *ackBeforeAppend) Submit(ctx context.Context, rec protocol.Record) coordination.Outcome {
	if rec.JobSubmit == nil {
		return h.Journal.Submit(ctx, rec)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	own := rec
	own.ID.Session = h.Session()
	h.pending = &own
	go func() {
		// The acknowledgement must be sent before the fault is injected into
		// the append. Otherwise the caller resends, which hides the defect.
		<-time.After(time.Millisecond)
		h.Journal.Submit(context.WithoutCancel(ctx), rec)
	}()
	return coordination.Outcome{Verdict: protocol.Accepted, Run: protocol.Completed}
}

// View presents the pending manifest as accepted.
func (h *ackBeforeAppend) View(read func(*replica.State)) {
	h.mu.Lock()
	pending := h.pending
	h.mu.Unlock()
	h.Journal.View(func(state *replica.State) {
		if pending == nil {
			read(state)
			return
		}
		ahead := copyState(state)
		ahead.Ledger.Apply(state.Applied(), pending, ahead.Sessions)
		read(ahead)
	})
}

// copyState copies the parts of a state that batch jobs use.
func copyState(state *replica.State) *replica.State {
	return &replica.State{
		Sessions: session.Restore(state.Sessions.Snapshot()),
		Ledger:   ledger.Restore(state.Ledger.Snapshot()),
	}
}

// If a job is acknowledged before its manifest is in the log, the job is lost
// when the instance crashes in between. The cells of the accept step must
// detect this.
func TestBrokenAcknowledgeBeforeAppendIsDetected(t *testing.T) {
	broken := journalVariant(func(j coordination.Journal) coordination.Journal { return &ackBeforeAppend{Journal: j} })
	requireDetected(t, batchScenario("accept", broken), "the job did not end", killBefore)
}

// The first result of an item counts. Without this rule a caller gets every
// result that was appended: two for an item that ran on a paused instance and on
// the instance that took over its chunk.
func TestBrokenFirstResultRuleIsDetected(t *testing.T) {
	broken := variant{lines: allResults}
	requireDetected(t, batchScenario("result-append", broken), "has [23] lines", answerLost, pausePastLease)
}

// allResults returns a line for every result in the data stream.
func allResults(tf *testFleet, id protocol.JobID) []line {
	page, err := tf.log.Read(tf.ctx, protocol.DataStream, 0, 1<<20, 0)
	if err != nil {
		panic(err)
	}
	var lines []line
	for _, entry := range page.Entries {
		decoded, err := bulk.Decode(entry.Payload)
		if err != nil {
			panic(err)
		}
		for _, section := range decoded.Results {
			for _, result := range section.Results {
				if section.Job == id {
					lines = append(lines, line{batch.OutputLine{
						CustomID: result.CustomID,
						Response: &batch.OutputResponse{Body: result.Body},
					}, false})
				}
			}
		}
	}
	return lines
}

// staleLedger presents to the executor the ledger as it was when the instance
// had claimed its first chunks.
type staleLedger struct {
	coordination.Journal
	mu    sync.Mutex
	stale *replica.State
}

func (f *staleLedger) View(read func(*replica.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale != nil {
		read(f.stale)
		return
	}
	own := f.Session()
	f.Journal.View(func(state *replica.State) {
		read(state)
		if len(state.Ledger.HeldBy(own)) > 0 {
			f.stale = copyState(state)
		}
	})
}

// If executors do not follow the ledger, a cancelled job keeps running.
func TestBrokenCancelIsDetected(t *testing.T) {
	broken := variant{executor: func(j coordination.Journal) coordination.Journal { return &staleLedger{Journal: j} }}
	requireDetected(t, batchScenario("cancel", broken), "items began more than a second after the cancel", delayed, answerLost)
}

// assumeAppended treats an append of data that got no answer as successful.
type assumeAppended struct{ coordination.Journal }

func (t assumeAppended) AppendData(ctx context.Context, payload []byte) (protocol.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	at, err := t.Journal.AppendData(ctx, payload)
	if err != nil {
		return 0, nil
	}
	return at, nil
}

// If a result is reported before its data is in the log, its items count as
// completed although their results cannot be read.
func TestBrokenDataOrderIsDetected(t *testing.T) {
	broken := journalVariant(func(j coordination.Journal) coordination.Journal { return assumeAppended{j} })
	requireDetected(t, batchScenario("result-append", broken), "has 0 lines|has the answer of another item", answerLost)
}

// resendOnError sends a call again when it got no answer.
type resendOnError struct{ online.AtMostOnceCaller }

func (r resendOnError) CallAtMostOnce(ctx context.Context, call online.AtMostOnceCall, dispatch online.Dispatch) (online.Response, *protocol.Refusal) {
	return r.AtMostOnceCaller.CallAtMostOnce(ctx, call, func(ctx context.Context, id protocol.CallID) (online.Response, error) {
		answer, err := dispatch(ctx, id)
		if err != nil {
			return dispatch(ctx, id)
		}
		return answer, nil
	})
}

// If a non-idempotent call is sent again after its answer was lost, it runs
// twice.
func TestBrokenRetryOfACallIsDetected(t *testing.T) {
	broken := variant{caller: func(c online.AtMostOnceCaller) online.AtMostOnceCaller { return resendOnError{c} }}
	requireDetected(t, callScenario("call-answer", broken), "the call ran 2 times", answerLost, interleaved)
}

// skipReservation sends a call without a reservation.
type skipReservation struct{}

func (skipReservation) CallAtMostOnce(ctx context.Context, _ online.AtMostOnceCall, dispatch online.Dispatch) (online.Response, *protocol.Refusal) {
	answer, err := dispatch(ctx, "call")
	if err == nil {
		return answer, nil
	}
	return online.Response{}, protocol.Uncertain(protocol.CodeOutcomeUnknown, "no answer")
}

// If the reservation is not decided for the whole fleet, two instances that
// receive the same call both send it.
func TestBrokenReservationIsDetected(t *testing.T) {
	broken := variant{caller: func(online.AtMostOnceCaller) online.AtMostOnceCaller { return skipReservation{} }}
	requireDetected(t, callScenario("call-dispatch", broken), "the call ran [23] times", interleaved, answerLost)
}

// reportNotRun reports that a call did not run whenever it got no answer.
type reportNotRun struct{ online.AtMostOnceCaller }

func (b reportNotRun) CallAtMostOnce(ctx context.Context, call online.AtMostOnceCall, dispatch online.Dispatch) (online.Response, *protocol.Refusal) {
	answer, refusal := b.AtMostOnceCaller.CallAtMostOnce(ctx, call, dispatch)
	if refusal != nil && refusal.Run == protocol.MayHaveRun {
		return answer, protocol.Refuse(protocol.CodeNoTarget, retryAfter, "not run")
	}
	return answer, refusal
}

const retryAfter = 1e9

// If a call without an answer is rejected as not run, the caller makes it again
// under another key.
func TestBrokenRunStateIsDetected(t *testing.T) {
	broken := variant{caller: func(c online.AtMostOnceCaller) online.AtMostOnceCaller { return reportNotRun{c} }}
	requireDetected(t, callScenario("call-answer", broken), "ran and was rejected as not run", answerLost)
}
