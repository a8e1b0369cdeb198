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

// publishDelay lets results accumulate, so that one append publishes several. Callers
// poll twice a second.
const publishDelay = 100 * time.Millisecond

var (
	itemsPublished   = metrics.NewCounter(`batch_items_listed_total`)
	publishConflicts = metrics.NewCounter(`batch_listing_conflicts_total`)
)

// publishLoop publishes results and removes expired jobs until ctx ends.
func (p *partitionReplica) publishLoop(ctx context.Context) {
	retry := minRetryDelay
	retention := time.NewTicker(retentionInterval)
	defer retention.Stop()
	for {
		select {
		case <-p.publishNow:
		case <-retention.C:
			if err := p.removeExpired(ctx); err != nil {
				_ = level.Warn(p.logger).Log("event", "jobs_not_dropped", "err", err)
			}
			continue
		case <-ctx.Done():
			return
		}
		wait.For(ctx, publishDelay)
		for ctx.Err() == nil {
			more, err := p.publishOnce(ctx)
			if err == nil {
				retry = minRetryDelay
				if !more {
					break
				}
				continue
			}
			_ = level.Warn(p.logger).Log("event", "results_append_failed", "retry_ms", retry.Milliseconds(), "err", err)
			wait.For(ctx, retry)
			retry = min(2*retry, maxRetryDelay)
		}
	}
}

// wakePublisher makes publishLoop publish the waiting results.
func (p *partitionReplica) wakePublisher() {
	select {
	case p.publishNow <- struct{}{}:
	default:
	}
}

// publishBatch is the content of one append.
type publishBatch struct {
	records []external.KeyedRecord
	// next is the offset at which the partition must end.
	next  int64
	count int
}

// publishOnce appends waiting results, on the condition that the partition ends where
// this instance expects. more says that further results may wait.
//
// Without the condition, an instance that was paused while its partition was reassigned
// would write a result at a position that the new owner has used. A caller that reads
// twice would see two different results there.
func (p *partitionReplica) publishOnce(ctx context.Context) (more bool, err error) {
	b, err := p.nextBatch()
	if err != nil {
		return false, err
	}
	if b.count == 0 {
		return false, nil
	}
	end, err := p.opts.Log.Append(ctx, p.partition, b.records, b.next)
	var moved *external.EndMismatchError
	switch {
	case errors.As(err, &moved):
		publishConflicts.Inc()
		_ = level.Info(p.logger).Log("event", "results_append_moved", "expected", b.next, "end", moved.End)
		return true, p.readToEnd(ctx)
	case errors.Is(err, external.ErrUnavailable):
		// The append may have happened, or may happen later. Reading reveals the first;
		// in the second case the condition rejects it once anything else is appended.
		return true, errors.Join(err, p.readToEnd(ctx))
	case err != nil:
		return true, err
	}
	p.opts.StoreAnswered()
	for i := range b.records {
		b.records[i].Offset = b.next + int64(i)
	}
	p.apply(external.KeyedPage{Records: b.records, Next: end, End: end})
	itemsPublished.Add(b.count)
	_ = level.Info(p.logger).Log("event", "results_listed", "results", b.count, "end", end)
	return true, nil
}

// nextBatch collects unpublished results and assigns their positions.
func (p *partitionReplica) nextBatch() (publishBatch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := publishBatch{next: p.state.Next()}
	if !p.loaded {
		return b, nil
	}
	remaining := p.unpublished[:0]
	positions := map[string]int{}
	size := 0
	for _, f := range p.unpublished {
		job, known := p.state.Job(f.job)
		if !known || job.Cancelled || job.HasResult(f.result.Item) {
			continue
		}
		remaining = append(remaining, f)
		size += len(f.result.Text)
		if b.count > 0 && size > p.opts.CallBytes/2 {
			continue
		}
		position := len(job.Results) + positions[f.job]
		records, err := jobs.EncodeResult(f.job, position, f.result, p.opts.RecordBytes)
		if err != nil {
			return b, err
		}
		positions[f.job]++
		if _, index, ok := job.Item(f.result.Item); ok {
			records = append(records, job.EncodeProgressRemoval(index)...)
		}
		b.records = append(b.records, records...)
		b.count++
	}
	p.unpublished = remaining
	return b, nil
}
