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

// listingPause lets results gather, so that one append lists several. Callers
// read twice a second.
const publishDelay = 100 * time.Millisecond

var (
	itemsPublished   = metrics.NewCounter(`batch_items_listed_total`)
	publishConflicts = metrics.NewCounter(`batch_listing_conflicts_total`)
)

// list writes finished results, and drops jobs that nobody may read any more,
// until ctx ends.
func (p *partitionReplica) publishLoop(ctx context.Context) {
	retry := minRetryDelay
	dropping := time.NewTicker(retentionInterval)
	defer dropping.Stop()
	for {
		select {
		case <-p.publishNow:
		case <-dropping.C:
			if err := p.removeExpired(ctx); err != nil {
				_ = level.Warn(p.logger).Log("event", "jobs_not_dropped", "err", err)
			}
			continue
		case <-ctx.Done():
			return
		}
		wait.For(ctx, publishDelay)
		for ctx.Err() == nil {
			left, err := p.publishOnce(ctx)
			if err == nil {
				retry = minRetryDelay
				if !left {
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

// wakeListing asks for results that wait to be listed now.
func (p *partitionReplica) wakePublisher() {
	select {
	case p.publishNow <- struct{}{}:
	default:
	}
}

// batch is what one append lists.
type publishBatch struct {
	records []external.KeyedRecord
	// next is where the partition must end.
	next  int64
	count int
}

// listOnce lists what is finished, if the partition ends as it is known here.
//
// What goes wrong without the condition: this instance was paused, its partition
// was dealt to another one, and both list a result at the same position. A
// caller that reads twice sees two contents there.
func (p *partitionReplica) publishOnce(ctx context.Context) (left bool, err error) {
	b, err := p.nextBatch()
	if err != nil {
		return false, err
	}
	if b.count == 0 {
		return false, nil
	}
	end, err := p.opts.Log.Append(ctx, p.partition, b.records, b.next)
	var moved *external.MovedError
	switch {
	case errors.As(err, &moved):
		publishConflicts.Inc()
		_ = level.Info(p.logger).Log("event", "results_append_moved", "expected", b.next, "end", moved.End)
		return true, p.readToEnd(ctx)
	case errors.Is(err, external.ErrUnavailable):
		// It may have been done, or be done later. Reading shows the first;
		// the condition prevents the second once anything else is appended.
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

// next gathers results that are not listed yet, with their positions.
func (p *partitionReplica) nextBatch() (publishBatch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := publishBatch{next: p.state.Next()}
	if !p.loaded {
		return b, nil
	}
	kept := p.unpublished[:0]
	positions := map[string]int{}
	size := 0
	for _, f := range p.unpublished {
		l, known := p.state.Job(f.job)
		if !known || l.Cancelled || l.HasResult(f.result.Item) {
			continue
		}
		kept = append(kept, f)
		size += len(f.result.Text)
		if b.count > 0 && size > p.opts.CallBytes/2 {
			continue
		}
		position := len(l.Results) + positions[f.job]
		records, err := jobs.EncodeResult(f.job, position, f.result, p.opts.RecordBytes)
		if err != nil {
			return b, err
		}
		positions[f.job]++
		if _, place, ok := l.Item(f.result.Item); ok {
			records = append(records, l.EncodeProgressRemoval(place)...)
		}
		b.records = append(b.records, records...)
		b.count++
	}
	p.unpublished = kept
	return b, nil
}
