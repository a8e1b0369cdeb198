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

// JobReaper is the duty that ends jobs at their deadline and drops those whose
// results are past their readable time.
type JobReaper struct {
	journal coordination.Journal
	opts    Options
	logger  log.Logger
}

// NewJobReaper returns a Keeper.
func NewJobReaper(journal coordination.Journal, opts Options, logger log.Logger) *JobReaper {
	return &JobReaper{journal: journal, opts: opts.withDefaults(), logger: logger}
}

// String names the duty.
func (k *JobReaper) String() string { return "batch keeper" }

// rankDelay is how long each instance leaves a duty to the one before it.
const rankDelay = 10 * time.Second

// expireGrace after a deadline lets in the results that were appended just
// before it.
const expireGrace = 2 * time.Second

// forgetEvery is the time between two passes over the jobs that have ended,
// which are many times those that run.
const forgetEvery = time.Minute

// Serve passes over the jobs until ctx ends.
func (k *JobReaper) Serve(ctx context.Context) error {
	ticker := time.NewTicker(k.opts.KeepEvery)
	defer ticker.Stop()
	forget := time.NewTicker(forgetEvery)
	defer forget.Stop()
	for {
		select {
		case <-ticker.C:
			k.pass(ctx, (*ledger.Ledger).Running)
		case <-forget.C:
			k.pass(ctx, (*ledger.Ledger).All)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (k *JobReaper) pass(ctx context.Context, list func(*ledger.Ledger) []ledger.JobView) {
	session := k.journal.Session()
	if session == 0 || !k.journal.LogUp() {
		return
	}
	var jobs []ledger.JobView
	var open []protocol.SessionID
	k.journal.View(func(state *replica.State) {
		jobs = list(state.Ledger)
		open = openIDs(state)
	})
	now := time.Now()
	for _, job := range jobs {
		due := k.dueAt(job)
		if now.Before(due) {
			continue
		}
		wait := time.Duration(rank(open, session, job.ID)) * rankDelay
		if now.Before(due.Add(wait)) {
			continue
		}
		k.end(ctx, job)
	}
}

// dueAt is when something must be done about a job.
func (k *JobReaper) dueAt(job ledger.JobView) time.Time {
	if job.Status == ledger.InProgress {
		return job.Deadline.Add(expireGrace)
	}
	return readableUntil(job, k.opts.ResultTTL)
}

func (k *JobReaper) end(ctx context.Context, job ledger.JobView) {
	record := protocol.Record{JobForget: &protocol.JobForget{Job: job.ID}}
	event := "job_forgotten"
	if job.Status == ledger.InProgress {
		record = protocol.Record{JobExpire: &protocol.JobExpire{Job: job.ID, At: time.Now().Unix()}}
		event = "job_expired"
	}
	outcome := k.journal.Submit(ctx, record)
	_ = k.logger.Log("event", event, "job", job.ID, "verdict", outcome.Verdict, "run", outcome.Run)
}
