package burn

import (
	"context"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/member"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// BatchService is the service name under which batch items are counted, because the
// items of one job may request several models.
const BatchService protocol.ServiceName = "(batch)"

// jobPollInterval is the period of the check for ended jobs. It is short compared with
// the shortest window of five minutes.
const jobPollInterval = 15 * time.Second

// JobWatcher counts the items of ended jobs for the objective that batch items complete
// by their deadline. Every instance observes the end of every job. If all instances
// counted it, a merged report would contain each item many times, so only the instance
// chosen by rendezvous hashing counts a job. JobWatcher is a suture service.
type JobWatcher struct {
	Journal  coordination.Journal
	Recorder *Recorder

	// running holds the jobs that were running at the last poll.
	running map[protocol.JobID]bool
}

// String returns the name of the service for the supervisor.
func (w *JobWatcher) String() string { return "burn of batch jobs" }

// Serve polls for ended jobs until ctx is done.
func (w *JobWatcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(jobPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			w.poll()
		}
	}
}

// poll counts the jobs that were running at the last poll and have ended since.
func (w *JobWatcher) poll() {
	var ended []ledger.JobView
	running := map[protocol.JobID]bool{}
	w.Journal.View(func(state *replica.State) {
		for _, job := range state.Ledger.Running() {
			running[job.ID] = true
		}
		own, all := w.Journal.Session(), state.Sessions.All()
		sessions := make([]protocol.SessionID, len(all))
		for i, info := range all {
			sessions[i] = info.Session
		}
		for id := range w.running {
			if job, ok := state.Ledger.Job(id); ok && !running[id] && member.Rank("burn/"+string(id), own, sessions) == 0 {
				ended = append(ended, job)
			}
		}
	})
	w.running = running
	for _, job := range ended {
		onTime, late := itemsOnTime(job)
		w.Recorder.RecordBatch(job.Organisation, BatchService, onTime, late)
	}
}

// itemsOnTime returns the numbers of items that ended on time and late. A job ends at its
// deadline at the latest, so the items that it completed were on time, and the open items
// of an expired job are late. Items that a caller cancelled are neither.
func itemsOnTime(job ledger.JobView) (onTime, late int) {
	onTime = job.Completed + job.Failed
	if job.Status == ledger.Expired {
		late = job.Total - onTime
	}
	return onTime, late
}
