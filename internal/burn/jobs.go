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

// BatchService is the service under which batch items are counted: the items
// of one job may ask for several models.
const BatchService protocol.ServiceName = "(batch)"

// jobsEvery is the period of looking for ended jobs. The shortest window is
// five minutes.
const jobsEvery = 15 * time.Second

// JobWatcher counts the items of jobs that ended, for the objective that batch
// items are done by their deadline. Every instance sees every job end, so each
// job is counted by the one that rendezvous hashing names: counted by all, a
// merged report would show each item many times over. It is a suture service.
type JobWatcher struct {
	Journal  coordination.Journal
	Recorder *Recorder

	running map[protocol.JobID]bool
}

// String names the service for the supervisor.
func (w *JobWatcher) String() string { return "burn of batch jobs" }

// Serve looks for ended jobs until ctx ends.
func (w *JobWatcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(jobsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			w.look()
		}
	}
}

// look counts the jobs that were running at the last look and are not now.
func (w *JobWatcher) look() {
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

// itemsOnTime: a job ends at its deadline at the latest, so what it completed
// was on time and what an expired job left is late. What a caller cancelled is
// neither.
func itemsOnTime(job ledger.JobView) (onTime, late int) {
	onTime = job.Completed + job.Failed
	if job.Status == ledger.Expired {
		late = job.Total - onTime
	}
	return onTime, late
}
