package batchjobs

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/wait"
)

const (
	// hedgeDelay is how long one path of writing a job may take before the other is
	// tried as well. It is many times the usual latency of the store, and a fraction
	// of the time within which callers want a job accepted.
	hedgeDelay = 150 * time.Millisecond
	// appendBackoff is the delay before an append is retried. It doubles with each
	// of the maxAppendRetries retries, to about a second in all.
	appendBackoff    = 60 * time.Millisecond
	maxAppendRetries = 4
	// viaPeerTimeout bounds a call that another instance carries out for this one.
	viaPeerTimeout = 1200 * time.Millisecond
)

var (
	jobsAccepted = metrics.NewCounter(`batch_jobs_total{outcome="accepted"}`)
	jobsRefused  = metrics.NewCounter(`batch_jobs_total{outcome="refused"}`)
	jobsUnsure   = metrics.NewCounter(`batch_jobs_total{outcome="unsure"}`)
)

// Submit stores a job. Done means that the job is durable.
func (s *JobService) Submit(ctx context.Context, job *jobs.Job) Verdict {
	verdict := s.submit(ctx, job)
	switch verdict {
	case Done:
		jobsAccepted.Inc()
	case NotDone, Taken:
		jobsRefused.Inc()
	default:
		jobsUnsure.Inc()
	}
	_ = level.Info(s.opts.Logger).Log("event", "job_submitted", "job", job.ID, "organisation", job.Organisation,
		"items", len(job.Items), "partition", s.opts.partitionOf(job.ID).Number, "outcome", verdict,
		"store_age_ms", s.opts.StoreAge().Milliseconds())
	return verdict
}

// submit writes a job, here or through another instance, and returns the first
// success. Writing a job twice has no effect.
//
// The second path is needed when the store rejects some instances and serves others.
// Otherwise a caller whose attempts reach two rejected instances would have its job
// rejected, or would wait for the store although the store is available.
func (s *JobService) submit(ctx context.Context, job *jobs.Job) Verdict {
	if verdict := s.lookUp(ctx, job.ID, job.Organisation); verdict == Done || verdict == Taken {
		return verdict
	}
	first, second := s.writeJob, s.submitViaPeer
	if s.opts.StoreAge() >= storeUnreachableAfter {
		first, second = second, first
	}
	return hedged(ctx, hedgeDelay,
		func(ctx context.Context) Verdict { return first(ctx, job) },
		func(ctx context.Context) Verdict { return second(ctx, job) })
}

// hedged makes a call that may be repeated safely on two paths. The second path
// starts when the first has taken longer than a delay, or has ended without success.
func hedged(ctx context.Context, after time.Duration, first, second func(context.Context) Verdict) Verdict {
	verdicts := make(chan Verdict, 2)
	running, secondStarted := 1, false
	go func() { verdicts <- first(ctx) }()
	slow := time.NewTimer(after)
	defer slow.Stop()
	verdict := NotDone
	for running > 0 {
		select {
		case v := <-verdicts:
			running--
			if v == Done {
				return Done
			}
			if v != NotDone {
				verdict = Unsure
			}
		case <-slow.C:
		}
		if !secondStarted && ctx.Err() == nil {
			secondStarted = true
			running++
			go func() { verdicts <- second(ctx) }()
		}
	}
	return verdict
}

// writeJob appends a job's records. Writing a job a second time changes nothing.
func (s *JobService) writeJob(ctx context.Context, job *jobs.Job) Verdict {
	records, err := jobs.EncodeJob(job, s.opts.RecordBytes)
	if err != nil {
		_ = level.Warn(s.opts.Logger).Log("event", "job_not_encoded", "job", job.ID, "err", err)
		return NotDone
	}
	return s.appendRecords(ctx, s.opts.partitionOf(job.ID), records)
}

// appendRecords appends records in as many calls as the store's limits require. The
// last record makes the others take effect.
func (s *JobService) appendRecords(ctx context.Context, p external.Partition, records []external.KeyedRecord) Verdict {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) {
			size += len(records[n].Key) + len(records[n].Value) + recordOverhead
			if n > 0 && size > s.opts.CallBytes {
				break
			}
			n++
		}
		if verdict := s.appendWithRetry(ctx, p, records[:n]); verdict != Done {
			return verdict
		}
		records = records[n:]
	}
	return Done
}

// recordOverhead is what the store counts for a record beyond its key and value.
const recordOverhead = 8

// appendWithRetry makes one append, with retries, until it is acknowledged or ctx ends.
func (s *JobService) appendWithRetry(ctx context.Context, p external.Partition, records []external.KeyedRecord) Verdict {
	verdict := NotDone
	for attempt := 0; ; attempt++ {
		_, err := s.opts.Log.Append(ctx, p, records, external.AnyEnd)
		if err == nil {
			s.opts.StoreAnswered()
			return Done
		}
		_ = level.Warn(s.opts.Logger).Log("event", "job_append_failed", "partition", p.Number, "err", err)
		if errors.Is(err, external.ErrUnavailable) {
			verdict = Unsure
		}
		if errors.Is(err, external.ErrLogFull) || attempt == maxAppendRetries {
			return verdict
		}
		wait.For(ctx, appendBackoff<<attempt)
		if ctx.Err() != nil {
			return verdict
		}
	}
}

// submitViaPeer writes a job through another instance that reaches the store.
func (s *JobService) submitViaPeer(ctx context.Context, job *jobs.Job) Verdict {
	verdict := NotDone
	s.tryPeersWithStore(ctx, func(ctx context.Context, address string) bool {
		var reply JobReply
		err := s.opts.Caller.Call(ctx, address, methodAccept, &AcceptCall{Job: *job}, &reply)
		switch {
		case err == nil && reply.Verdict == Done:
			verdict = Done
		case err != nil || reply.Verdict != NotDone:
			verdict = Unsure
		}
		return verdict == Done
	})
	return verdict
}
