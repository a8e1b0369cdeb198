package burn

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// journal shows one replayed state under a session of its own.
type journal struct {
	coordination.Journal
	state   *replica.State
	session protocol.SessionID
}

func (j journal) View(read func(*replica.State)) { read(j.state) }
func (j journal) Session() protocol.SessionID    { return j.session }

// stream appends records to a state, each accepted.
type stream struct {
	t     *testing.T
	state *replica.State
	seq   uint64
}

func (s *stream) add(rec protocol.Record) {
	s.t.Helper()
	s.seq++
	rec.ID.Seq = s.seq
	if rec.ID.Session == 0 {
		rec.ID.Session = 1
	}
	at := s.state.Applied() + 1
	require.Equal(s.t, []protocol.Verdict{protocol.Accepted}, s.state.Apply(at, protocol.Frame{Records: []protocol.Record{rec}}))
}

// Three instances see the same jobs end. If each counted the items, a merged
// report would show three times as many; if none did, a job that missed its
// deadline would burn nothing. Each job is counted once, and what an expired
// one left is late.
func TestEndedJobsAreCountedOnceOverAllInstances(t *testing.T) {
	const jobs = 9
	c := newClock()
	s := &stream{t: t, state: replica.New()}
	var watchers []*JobWatcher
	for session := range protocol.SessionID(3) {
		id := protocol.RecordID{Session: session + 1}
		s.add(protocol.Record{ID: id, SessionOpen: &protocol.SessionOpen{Instance: protocol.InstanceID(fmt.Sprint(session))}})
		watchers = append(watchers, &JobWatcher{Journal: journal{state: s.state, session: session + 1}, Recorder: newTestRecorder(c)})
	}
	for i := range jobs {
		s.add(protocol.Record{JobSubmit: &protocol.JobSubmit{Job: protocol.JobID(fmt.Sprint(i)), Organisation: "ana", IdempotencyKey: fmt.Sprint(i),
			Endpoint: "/v1/completions", Chunks: []protocol.ChunkRef{{Items: 2}}, Deadline: time.Unix(1, 0)}})
	}
	look := func() {
		for _, w := range watchers {
			w.look()
		}
	}
	look()
	for i := range jobs {
		job := protocol.JobID(fmt.Sprint(i))
		s.add(protocol.Record{ChunkResult: &protocol.ChunkResult{Job: job, Items: []byte{1}}})
		switch {
		case i < 3:
			s.add(protocol.Record{ChunkResult: &protocol.ChunkResult{Job: job, Items: []byte{2}}})
		case i < 6:
			s.add(protocol.Record{JobExpire: &protocol.JobExpire{Job: job}})
		default:
			s.add(protocol.Record{JobCancel: &protocol.JobCancel{Job: job, Organisation: "ana"}})
		}
	}
	look()
	look()
	report := collect(t, c, watchers[0].Recorder, peers{"b": watchers[1].Recorder, "c": watchers[2].Recorder})
	line := find(t, report, BatchOnTime)
	require.EqualValues(t, 3*2+3+3, line.Windows[FiveMinutes].Good)
	require.EqualValues(t, 3, line.Windows[FiveMinutes].Bad)
}

func TestOnlyTheServicesOwnFailuresBurn(t *testing.T) {
	require.True(t, CountsTowardObjectives(nil))
	require.True(t, CountsTowardObjectives(protocol.Refuse(protocol.CodeOverloaded, 0, "")))
	require.False(t, CountsTowardObjectives(protocol.Refuse(protocol.CodeRateLimited, 0, "")))
}
