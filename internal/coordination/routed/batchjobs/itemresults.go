package batchjobs

import (
	"context"
	"errors"
	"fmt"
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
	// resultsNotEncoded counts results that no record can hold, and resultsWithoutEffect those
	// that were appended and are not in the state.
	resultsNotEncoded    = metrics.NewCounter(`batch_results_not_listed_total{why="not_encoded"}`)
	resultsWithoutEffect = metrics.NewCounter(`batch_results_not_listed_total{why="no_effect"}`)
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
	next int64
	// results are the results in records.
	results []finishedItem
}

// publishOnce appends waiting results, on the condition that the partition ends where
// this instance expects. more says that further results may wait.
//
// Without the condition, an instance that was paused while its partition was reassigned
// would write a result at a position that the new owner has used. A caller that reads
// twice would see two different results there.
func (p *partitionReplica) publishOnce(ctx context.Context) (more bool, err error) {
	b := p.nextBatch()
	if len(b.results) == 0 {
		return false, nil
	}
	end, err := p.opts.Log.Append(ctx, p.partition, b.records, b.next)
	var moved *external.EndMismatchError
	switch {
	case errors.As(err, &moved):
		publishConflicts.Inc()
		_ = level.Info(p.logger).Log("event", "results_append_moved", "expected", b.next, "end", moved.End)
		return true, p.readPast(ctx, b.next)
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
	if missing := p.countUnlisted(b.results); missing > 0 {
		resultsWithoutEffect.Add(missing)
		return true, fmt.Errorf("%w: %d of %d results are not in the state, which ends at %d", errNoEffect, missing, len(b.results), end)
	}
	itemsPublished.Add(len(b.results))
	_ = level.Info(p.logger).Log("event", "results_listed", "results", len(b.results), "end", end)
	return true, nil
}

// readPast applies the records that others have appended at an offset and after it.
func (p *partitionReplica) readPast(ctx context.Context, offset int64) error {
	if err := p.readToEnd(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Next() == offset {
		return fmt.Errorf("%w: it was rejected, and no record follows offset %d", errNoEffect, offset)
	}
	return nil
}

// errNoEffect: an append has changed nothing, though the store has answered. Repeated without
// a pause, such appends would take up the store and fill it.
var errNoEffect = errors.New("append without effect")

// countUnlisted returns how many of the results are of open jobs and not in the state.
func (p *partitionReplica) countUnlisted(results []finishedItem) (missing int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range results {
		if job, known := p.state.Job(f.job); known && !job.Cancelled && !job.HasResult(f.result.Item) {
			missing++
		}
	}
	return missing
}

// nextBatch collects unpublished results and assigns their positions. It drops a result that
// can't be encoded, so that the others are listed; its item runs again.
func (p *partitionReplica) nextBatch() publishBatch {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := publishBatch{next: p.state.Next()}
	if !p.loaded {
		return b
	}
	remaining := p.unpublished[:0]
	positions := map[string]int{}
	size := 0
	for _, f := range p.unpublished {
		job, known := p.state.Job(f.job)
		if !known || job.Cancelled || job.HasResult(f.result.Item) {
			continue
		}
		size += len(f.result.Text)
		if len(b.results) > 0 && size > p.opts.CallBytes/2 {
			remaining = append(remaining, f)
			continue
		}
		position := job.FreePosition(positions[f.job])
		records, err := jobs.EncodeResult(f.job, position, f.result, p.opts.RecordBytes)
		if err != nil {
			p.dropResult(f, err)
			continue
		}
		remaining = append(remaining, f)
		positions[f.job]++
		if _, index, ok := job.Item(f.result.Item); ok {
			records = append(records, job.EncodeProgressRemoval(index)...)
		}
		b.records = append(b.records, records...)
		b.results = append(b.results, f)
	}
	p.unpublished = remaining
	return b
}

// dropResult reports a result that can't be encoded, and that its item is open again. The
// caller holds the lock and removes the result from those that wait.
func (p *partitionReplica) dropResult(f finishedItem, err error) {
	resultsNotEncoded.Inc()
	_ = level.Error(p.logger).Log("event", "result_not_encoded", "item", f.result.Item, "job", f.job, "bytes", len(f.result.Text), "err", err)
	p.notifyChange()
}
