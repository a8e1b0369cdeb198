package batch

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// JobReaper is the background service that expires jobs at their deadline and
// deletes ended jobs whose results have expired.
type JobReaper struct {
	journal coordination.Journal
	opts    Options
	logger  log.Logger
}

// NewJobReaper returns a JobReaper that uses the journal of an instance.
func NewJobReaper(journal coordination.Journal, opts Options, logger log.Logger) *JobReaper {
	return &JobReaper{journal: journal, opts: opts.withDefaults(), logger: logger}
}

// String returns the name of the service for the supervisor.
func (r *JobReaper) String() string { return "batch keeper" }

// rankDelay is the time between the moments at which instances of consecutive
// rank act on a job.
const rankDelay = 10 * time.Second

// expireGrace is the time between the deadline of a job and its expiry, so that
// results appended just before the deadline are accepted.
const expireGrace = 2 * time.Second

// forgetInterval is the time between two passes over all jobs. It is longer than
// ReapInterval because there are many times more ended jobs than running ones.
const forgetInterval = time.Minute

// Serve processes the jobs periodically until ctx ends.
func (r *JobReaper) Serve(ctx context.Context) error {
	ticker := time.NewTicker(r.opts.ReapInterval)
	defer ticker.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for {
		select {
		case <-ticker.C:
			r.pass(ctx, (*ledger.Ledger).Running)
		case <-forget.C:
			r.pass(ctx, (*ledger.Ledger).All)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pass acts on each listed job whose time has come.
func (r *JobReaper) pass(ctx context.Context, list func(*ledger.Ledger) []ledger.JobView) {
	session := r.journal.Session()
	if session == 0 || !r.journal.LogUp() {
		return
	}
	var jobs []ledger.JobView
	var open []protocol.SessionID
	r.journal.View(func(state *replica.State) {
		jobs = list(state.Ledger)
		open = openSessions(state)
	})
	now := time.Now()
	for _, job := range jobs {
		actAt := r.actionTime(job)
		if now.Before(actAt) {
			continue
		}
		wait := time.Duration(rank(open, session, job.ID)) * rankDelay
		if now.Before(actAt.Add(wait)) {
			continue
		}
		r.endOrForget(ctx, job)
	}
}

// actionTime is the time at which a running job must be expired or an ended job
// deleted.
func (r *JobReaper) actionTime(job ledger.JobView) time.Time {
	if job.Status == ledger.InProgress {
		return job.Deadline.Add(expireGrace)
	}
	return resultsExpireAt(job, r.opts.ResultTTL)
}

// endOrForget expires a running job or deletes an ended one.
func (r *JobReaper) endOrForget(ctx context.Context, job ledger.JobView) {
	record := protocol.Record{JobForget: &protocol.JobForget{Job: job.ID}}
	event := "job_forgotten"
	if job.Status == ledger.InProgress {
		record = protocol.Record{JobExpire: &protocol.JobExpire{Job: job.ID, At: time.Now().Unix()}}
		event = "job_expired"
	}
	outcome := r.journal.Submit(ctx, record)
	_ = r.logger.Log("event", event, "job", job.ID, "verdict", outcome.Verdict, "run", outcome.Run)
}
