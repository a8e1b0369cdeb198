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

// journal provides a shared replayed state with its own session.
type journal struct {
	coordination.Journal
	state   *replica.State
	session protocol.SessionID
}

func (j journal) View(read func(*replica.State)) { read(j.state) }
func (j journal) Session() protocol.SessionID    { return j.session }

// stream appends records to a state and requires that each one is accepted.
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

// Three instances observe the end of the same jobs. If each counted the items, a merged
// report would contain three times as many. If none did, a job that missed its deadline
// would not use any error budget. Each job is counted once, and the open items of an
// expired job are late.
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
	pollAll := func() {
		for _, w := range watchers {
			w.poll()
		}
	}
	pollAll()
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
	pollAll()
	pollAll()
	report := collect(t, c, watchers[0].Recorder, peers{"b": watchers[1].Recorder, "c": watchers[2].Recorder})
	line := find(t, report, BatchOnTime)
	require.EqualValues(t, 3*2+3+3, line.Windows[FiveMinutes].Good)
	require.EqualValues(t, 3, line.Windows[FiveMinutes].Bad)
}

func TestOnlyFailuresOfTheServiceCountTowardObjectives(t *testing.T) {
	require.True(t, CountsTowardObjectives(nil))
	require.True(t, CountsTowardObjectives(protocol.Refuse(protocol.CodeOverloaded, 0, "")))
	require.False(t, CountsTowardObjectives(protocol.Refuse(protocol.CodeRateLimited, 0, "")))
}
