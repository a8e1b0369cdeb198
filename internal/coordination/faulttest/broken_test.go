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

// requireRed runs cells with a broken variant. Each must be red, and for the
// reason that the variant is broken.
func requireRed(t *testing.T, strike func(*testing.T, fault) []string, reason string, faults ...fault) {
	t.Helper()
	for _, f := range faults {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wrong := strings.Join(strike(t, f), "\n")
				require.Regexp(t, reason, wrong)
			})
		})
	}
}

func batchStrike(name string, broken variant) func(*testing.T, fault) []string {
	for _, s := range batchSteps {
		if s.name == name {
			return func(t *testing.T, f fault) []string { return s.strike(t, f, broken) }
		}
	}
	panic("no step " + name)
}

func callStrike(name string, broken variant) func(*testing.T, fault) []string {
	for _, s := range callSteps {
		if s.name == name {
			return func(t *testing.T, f fault) []string {
				wrong, _ := s.strike(t, f, broken)
				return wrong
			}
		}
	}
	panic("no step " + name)
}

func journalVariant(wrap func(coordination.Journal) coordination.Journal) variant {
	return variant{journal: wrap}
}

// hasty acknowledges a manifest before it is appended.
type hasty struct {
	coordination.Journal
	mu      sync.Mutex
	pending *protocol.Record
}

func (h *hasty) Submit(ctx context.Context, rec protocol.Record) coordination.Outcome {
	if rec.JobSubmit == nil {
		return h.Journal.Submit(ctx, rec)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	own := rec
	own.ID.Session = h.Session()
	h.pending = &own
	go func() {
		// The acknowledgement must be out before the fault can strike the
		// append, or the caller resends and the defect hides.
		<-time.After(time.Millisecond)
		h.Journal.Submit(context.WithoutCancel(ctx), rec)
	}()
	return coordination.Outcome{Verdict: protocol.Accepted, Run: protocol.Completed}
}

// View shows the manifest as if it had been accepted.
func (h *hasty) View(read func(*replica.State)) {
	h.mu.Lock()
	pending := h.pending
	h.mu.Unlock()
	h.Journal.View(func(state *replica.State) {
		if pending == nil {
			read(state)
			return
		}
		ahead := past(state)
		ahead.Ledger.Apply(state.Applied(), pending, ahead.Sessions)
		read(ahead)
	})
}

// past copies the parts of a state that batch jobs use.
func past(state *replica.State) *replica.State {
	return &replica.State{
		Sessions: session.Restore(state.Sessions.Snapshot()),
		Ledger:   ledger.Restore(state.Ledger.Snapshot()),
	}
}

// If a job were acknowledged before its manifest stands in the log, the
// instance could die in between and the job be lost. The cells of acceptance
// must notice.
func TestBrokenAcknowledgeBeforeAppendIsNoticed(t *testing.T) {
	broken := journalVariant(func(j coordination.Journal) coordination.Journal { return &hasty{Journal: j} })
	requireRed(t, batchStrike("accept", broken), "the job did not end", killBefore)
}

// Without the rule that the first result of an item stands, a caller would get
// every result that was ever appended: two of an item that ran at a paused
// instance and at the one that took over.
func TestBrokenFirstResultRuleIsNoticed(t *testing.T) {
	broken := variant{lines: allResults}
	requireRed(t, batchStrike("result-append", broken), "has [23] lines", answerLost, pauseLong)
}

// allResults delivers all results in the data stream.
func allResults(w *world, id protocol.JobID) []line {
	page, err := w.log.Read(w.ctx, protocol.DataStream, 0, 1<<20, 0)
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

// frozen shows its executor the ledger as it was when its instance had claimed
// its first chunks.
type frozen struct {
	coordination.Journal
	mu   sync.Mutex
	past *replica.State
}

func (f *frozen) View(read func(*replica.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.past != nil {
		read(f.past)
		return
	}
	own := f.Session()
	f.Journal.View(func(state *replica.State) {
		read(state)
		if len(state.Ledger.HeldBy(own)) > 0 {
			f.past = past(state)
		}
	})
}

// If executors did not follow the ledger, a cancelled job would go on.
func TestBrokenCancelIsNoticed(t *testing.T) {
	broken := variant{executor: func(j coordination.Journal) coordination.Journal { return &frozen{Journal: j} }}
	requireRed(t, batchStrike("cancel", broken), "items began more than a second after the cancel", late, answerLost)
}

// trusting takes an append of data that got no answer for done.
type trusting struct{ coordination.Journal }

func (t trusting) AppendData(ctx context.Context, payload []byte) (protocol.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	at, err := t.Journal.AppendData(ctx, payload)
	if err != nil {
		return 0, nil
	}
	return at, nil
}

// If a result were reported before its data stands in the log, its items would
// count as completed and nobody could read them.
func TestBrokenDataOrderIsNoticed(t *testing.T) {
	broken := journalVariant(func(j coordination.Journal) coordination.Journal { return trusting{j} })
	requireRed(t, batchStrike("result-append", broken), "has 0 lines|has a foreign answer", answerLost)
}

// retrying sends a call again when its answer did not come.
type retrying struct{ online.AtMostOnceCaller }

func (r retrying) CallAtMostOnce(ctx context.Context, call online.AtMostOnceCall, dispatch online.Dispatch) (online.Response, *protocol.Refusal) {
	return r.AtMostOnceCaller.CallAtMostOnce(ctx, call, func(ctx context.Context, id protocol.CallID) (online.Response, error) {
		answer, err := dispatch(ctx, id)
		if err != nil {
			return dispatch(ctx, id)
		}
		return answer, nil
	})
}

// If a call that may not be repeated were sent again after its answer was lost,
// it would run twice.
func TestBrokenRetryOfACallIsNoticed(t *testing.T) {
	broken := variant{caller: func(c online.AtMostOnceCaller) online.AtMostOnceCaller { return retrying{c} }}
	requireRed(t, callStrike("call-answer", broken), "the call ran 2 times", answerLost, crossed)
}

// greedy sends without asking who won the reservation.
type greedy struct{}

func (greedy) CallAtMostOnce(ctx context.Context, _ online.AtMostOnceCall, dispatch online.Dispatch) (online.Response, *protocol.Refusal) {
	answer, err := dispatch(ctx, "call")
	if err == nil {
		return answer, nil
	}
	return online.Response{}, protocol.Uncertain(protocol.CodeOutcomeUnknown, "no answer")
}

// If the reservation were not decided over the whole fleet, two instances that
// get the same call would both send it.
func TestBrokenReservationIsNoticed(t *testing.T) {
	broken := variant{caller: func(online.AtMostOnceCaller) online.AtMostOnceCaller { return greedy{} }}
	requireRed(t, callStrike("call-dispatch", broken), "the call ran [23] times", crossed, answerLost)
}

// boastful says that a call did not run whenever it has no answer.
type boastful struct{ online.AtMostOnceCaller }

func (b boastful) CallAtMostOnce(ctx context.Context, call online.AtMostOnceCall, dispatch online.Dispatch) (online.Response, *protocol.Refusal) {
	answer, refusal := b.AtMostOnceCaller.CallAtMostOnce(ctx, call, dispatch)
	if refusal != nil && refusal.Run == protocol.MayHaveRun {
		return answer, protocol.Refuse(protocol.CodeNoTarget, joinAgain, "not run")
	}
	return answer, refusal
}

const joinAgain = 1e9

// If a call without an answer were refused as not run, the caller would make it
// again under another key.
func TestBrokenRunStateIsNoticed(t *testing.T) {
	broken := variant{caller: func(c online.AtMostOnceCaller) online.AtMostOnceCaller { return boastful{c} }}
	requireRed(t, callStrike("call-answer", broken), "ran and was refused as not run", answerLost)
}
