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
	// dropEvery is how often it is looked for jobs that may go. They stay for
	// minutes at least.
	retentionInterval = 5 * time.Second
	// dropMargin is added to the time for which a job can be read. It covers the
	// difference between the clocks of two instances.
	retentionMargin = 30 * time.Second
	// dropRecords bounds the records of one append.
	maxRemovalRecords = 1000
)

var jobsRemoved = metrics.NewCounter(`batch_jobs_dropped_total`)

// drop removes jobs that are closed and past their time from the store, a part of
// them at a time.
//
// What goes wrong without it: the store keeps the newest record of each key for
// good. After some days it is full and takes no job any more, and a new holder
// reads all jobs there ever were.
func (p *partitionReplica) removeExpired(ctx context.Context) error {
	records, next, dropped := p.expiredJobRecords(time.Now())
	if dropped == 0 {
		return nil
	}
	_, err := p.opts.Log.Append(ctx, p.partition, records, next)
	var moved *external.MovedError
	if errors.As(err, &moved) {
		// Something new came. The next look finds the jobs again.
		return nil
	}
	if err != nil {
		return err
	}
	jobsRemoved.Add(dropped)
	_ = level.Info(p.logger).Log("event", "jobs_dropped", "jobs", dropped, "records", len(records))
	return nil
}

// pastTime gives the records that remove jobs whose time is over, for a partition
// that ends as it is known here.
func (p *partitionReplica) expiredJobRecords(now time.Time) (records []external.KeyedRecord, next int64, dropped int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.state.Jobs() {
		if l.Open() || now.Before(l.Submitted.Add(p.opts.Readable+retentionMargin)) {
			continue
		}
		more := jobs.EncodeRemoval(l)
		if dropped > 0 && len(records)+len(more) > maxRemovalRecords {
			break
		}
		records = append(records, more...)
		dropped++
	}
	return records, p.state.Next(), dropped
}
