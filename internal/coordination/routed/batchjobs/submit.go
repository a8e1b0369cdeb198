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
	// hedgeAfter is how long one way of writing a job may take until the other is
	// tried beside it: many times what the store takes, and a part of the time in which
	// callers want a job accepted.
	hedgeDelay = 150 * time.Millisecond
	// appendRetry is the wait before an append is tried again, doubled each time,
	// appendTries how often that is done: about a second in all.
	appendBackoff    = 60 * time.Millisecond
	maxAppendRetries = 4
	// handOverTimeout bounds the writing through another instance.
	viaPeerTimeout = 1200 * time.Millisecond
)

var (
	jobsAccepted = metrics.NewCounter(`batch_jobs_total{outcome="accepted"}`)
	jobsRefused  = metrics.NewCounter(`batch_jobs_total{outcome="refused"}`)
	jobsUnsure   = metrics.NewCounter(`batch_jobs_total{outcome="unsure"}`)
)

// Submit has a job kept. Done means that it lasts.
func (s *JobService) Submit(ctx context.Context, job *jobs.Job) Verdict {
	verdict := s.submit(ctx, job)
	switch verdict {
	case Done:
		jobsAccepted.Inc()
	case NotDone:
		jobsRefused.Inc()
	default:
		jobsUnsure.Inc()
	}
	_ = level.Info(s.opts.Logger).Log("event", "job_submitted", "job", job.ID, "organisation", job.Organisation,
		"items", len(job.Items), "partition", s.opts.partitionOf(job.ID).Number, "outcome", verdict,
		"store_age_ms", s.opts.StoreAge().Milliseconds())
	return verdict
}

// submit writes a job, here or through another instance, whichever is answered
// first. Writing it twice does no harm.
//
// What goes wrong without the second way: the store turns some instances away
// and serves the others. A caller whose attempts meet two of those has its job
// refused, or waits for a store that does not answer, though the store is there.
func (s *JobService) submit(ctx context.Context, job *jobs.Job) Verdict {
	if s.jobExists(ctx, job.ID) {
		return Done
	}
	first, second := s.writeJob, s.submitViaPeer
	if s.opts.StoreAge() >= storeUnreachableAfter {
		first, second = second, first
	}
	return hedged(ctx, hedgeDelay,
		func(ctx context.Context) Verdict { return first(ctx, job) },
		func(ctx context.Context) Verdict { return second(ctx, job) })
}

// hedged tries a call that may be done twice in two ways: the second one begins
// when the first has taken a while, or has ended without being done.
func hedged(ctx context.Context, after time.Duration, first, second func(context.Context) Verdict) Verdict {
	ways := make(chan Verdict, 2)
	running, both := 1, false
	go func() { ways <- first(ctx) }()
	slow := time.NewTimer(after)
	defer slow.Stop()
	verdict := NotDone
	for running > 0 {
		select {
		case way := <-ways:
			running--
			if way == Done {
				return Done
			}
			if way != NotDone {
				verdict = Unsure
			}
		case <-slow.C:
		}
		if !both && ctx.Err() == nil {
			both = true
			running++
			go func() { ways <- second(ctx) }()
		}
	}
	return verdict
}

// write appends a job's records. A job may be written twice: the second time
// changes nothing.
func (s *JobService) writeJob(ctx context.Context, job *jobs.Job) Verdict {
	records, err := jobs.EncodeJob(job, s.opts.RecordBytes)
	if err != nil {
		_ = level.Warn(s.opts.Logger).Log("event", "job_not_encoded", "job", job.ID, "err", err)
		return NotDone
	}
	return s.appendRecords(ctx, s.opts.partitionOf(job.ID), records)
}

// append writes records in as many calls as the store's bound wants, the last of
// which makes them count.
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

// recordHead is what the store counts beside a record's key and value.
const recordOverhead = 8

// appendOnce repeats one append a few times until it is answered or ctx ends.
func (s *JobService) appendWithRetry(ctx context.Context, p external.Partition, records []external.KeyedRecord) Verdict {
	verdict := NotDone
	for try := 0; ; try++ {
		_, err := s.opts.Log.Append(ctx, p, records, external.AnyEnd)
		if err == nil {
			s.opts.StoreAnswered()
			return Done
		}
		_ = level.Warn(s.opts.Logger).Log("event", "job_append_failed", "partition", p.Number, "err", err)
		if errors.Is(err, external.ErrUnavailable) {
			verdict = Unsure
		}
		if errors.Is(err, external.ErrFull) || try == maxAppendRetries {
			return verdict
		}
		wait.For(ctx, appendBackoff<<try)
		if ctx.Err() != nil {
			return verdict
		}
	}
}

// handOver has another instance write a job, one that the store answers.
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
