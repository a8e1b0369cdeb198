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
	dropEvery = 5 * time.Second
	// dropMargin is added to the time for which a job can be read. It covers the
	// difference between the clocks of two instances.
	dropMargin = 30 * time.Second
	// dropRecords bounds the records of one append.
	dropRecords = 1000
)

var jobsDropped = metrics.NewCounter(`batch_jobs_dropped_total`)

// drop removes jobs that are closed and past their time from the store, a part of
// them at a time.
//
// What goes wrong without it: the store keeps the newest record of each key for
// good. After some days it is full and takes no job any more, and a new holder
// reads all jobs there ever were.
func (h *holding) drop(ctx context.Context) error {
	records, next, dropped := h.pastTime(time.Now())
	if dropped == 0 {
		return nil
	}
	_, err := h.opts.Log.Append(ctx, h.partition, records, next)
	var moved *external.MovedError
	if errors.As(err, &moved) {
		// Something new came. The next look finds the jobs again.
		return nil
	}
	if err != nil {
		return err
	}
	jobsDropped.Add(dropped)
	_ = level.Info(h.logger).Log("event", "jobs_dropped", "jobs", dropped, "records", len(records))
	return nil
}

// pastTime gives the records that remove jobs whose time is over, for a partition
// that ends as it is known here.
func (h *holding) pastTime(now time.Time) (records []external.KeyedRecord, next int64, dropped int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.state.Jobs() {
		if l.Open() || now.Before(l.Submitted.Add(h.opts.Readable+dropMargin)) {
			continue
		}
		more := jobs.EncodeDrop(l)
		if dropped > 0 && len(records)+len(more) > dropRecords {
			break
		}
		records = append(records, more...)
		dropped++
	}
	return records, h.state.Next(), dropped
}
