package batchjobs

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/state/jobs"
)

const (
	// retentionInterval is how often the owner looks for expired jobs. Jobs are kept
	// for minutes at least.
	retentionInterval = 5 * time.Second
	// retentionMargin is added to the time for which a job can be read. It covers the
	// difference between the clocks of two instances.
	retentionMargin = 30 * time.Second
	// maxRemovalRecords bounds the records of one append.
	maxRemovalRecords = 1000
)

var jobsRemoved = metrics.NewCounter(`batch_jobs_dropped_total`)

// removeExpired removes jobs that are closed and past their retention from the store,
// some of them in each call.
//
// The store keeps the newest record of each key forever. Without removal it would be
// full after some days and accept no more jobs, and a new owner would have to read
// every job ever submitted.
func (p *partitionReplica) removeExpired(ctx context.Context) error {
	records, next, removed := p.expiredJobRecords(time.Now())
	if removed == 0 {
		return nil
	}
	_, err := p.opts.Log.Append(ctx, p.partition, records, next)
	var moved *external.EndMismatchError
	if errors.As(err, &moved) {
		// The partition has new records. The next call finds the jobs again.
		return nil
	}
	if err != nil {
		return err
	}
	jobsRemoved.Add(removed)
	_ = level.Info(p.logger).Log("event", "jobs_dropped", "jobs", removed, "records", len(records))
	return nil
}

// expiredJobRecords returns the records that remove expired jobs, and the offset at
// which the partition must end when they are appended.
func (p *partitionReplica) expiredJobRecords(now time.Time) (records []external.KeyedRecord, next int64, removed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, job := range p.state.Jobs() {
		if job.Open() || now.Before(job.Submitted.Add(p.opts.Readable+retentionMargin)) {
			continue
		}
		more := jobs.EncodeRemoval(job)
		if removed > 0 && len(records)+len(more) > maxRemovalRecords {
			break
		}
		records = append(records, more...)
		removed++
	}
	return records, p.state.Next(), removed
}
