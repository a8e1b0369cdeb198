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
const listingPause = 100 * time.Millisecond

var (
	itemsListed   = metrics.NewCounter(`batch_items_listed_total`)
	listConflicts = metrics.NewCounter(`batch_listing_conflicts_total`)
)

// list writes finished results, and drops jobs that nobody may read any more,
// until ctx ends.
func (h *holding) list(ctx context.Context) {
	retry := retryFirst
	dropping := time.NewTicker(dropEvery)
	defer dropping.Stop()
	for {
		select {
		case <-h.wake:
		case <-dropping.C:
			if err := h.drop(ctx); err != nil {
				_ = level.Warn(h.logger).Log("event", "jobs_not_dropped", "err", err)
			}
			continue
		case <-ctx.Done():
			return
		}
		wait.For(ctx, listingPause)
		for ctx.Err() == nil {
			left, err := h.listOnce(ctx)
			if err == nil {
				retry = retryFirst
				if !left {
					break
				}
				continue
			}
			_ = level.Warn(h.logger).Log("event", "results_append_failed", "retry_ms", retry.Milliseconds(), "err", err)
			wait.For(ctx, retry)
			retry = min(2*retry, retryMost)
		}
	}
}

// wakeListing asks for results that wait to be listed now.
func (h *holding) wakeListing() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// batch is what one append lists.
type batch struct {
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
func (h *holding) listOnce(ctx context.Context) (left bool, err error) {
	b, err := h.next()
	if err != nil {
		return false, err
	}
	if b.count == 0 {
		return false, nil
	}
	end, err := h.opts.Log.Append(ctx, h.partition, b.records, b.next)
	var moved *external.MovedError
	switch {
	case errors.As(err, &moved):
		listConflicts.Inc()
		_ = level.Info(h.logger).Log("event", "results_append_moved", "expected", b.next, "end", moved.End)
		return true, h.readToEnd(ctx)
	case errors.Is(err, external.ErrUnavailable):
		// It may have been done, or be done later. Reading shows the first;
		// the condition prevents the second once anything else is appended.
		return true, errors.Join(err, h.readToEnd(ctx))
	case err != nil:
		return true, err
	}
	h.opts.StoreAnswered()
	for i := range b.records {
		b.records[i].Offset = b.next + int64(i)
	}
	h.apply(external.KeyedPage{Records: b.records, Next: end, End: end})
	itemsListed.Add(b.count)
	_ = level.Info(h.logger).Log("event", "results_listed", "results", b.count, "end", end)
	return true, nil
}

// next gathers results that are not listed yet, with their positions.
func (h *holding) next() (batch, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := batch{next: h.state.Next()}
	if !h.loaded {
		return b, nil
	}
	kept := h.finished[:0]
	positions := map[string]int{}
	size := 0
	for _, f := range h.finished {
		l, known := h.state.Job(f.job)
		if !known || l.Ended || l.Done(f.result.Item) {
			continue
		}
		kept = append(kept, f)
		size += len(f.result.Text)
		if b.count > 0 && size > h.opts.CallBytes/2 {
			continue
		}
		position := len(l.Results) + positions[f.job]
		records, err := jobs.EncodeResult(f.job, position, f.result, h.opts.RecordBytes)
		if err != nil {
			return b, err
		}
		positions[f.job]++
		if _, place, ok := l.Item(f.result.Item); ok {
			records = append(records, l.DropProgress(place)...)
		}
		b.records = append(b.records, records...)
		b.count++
	}
	h.finished = kept
	return b, nil
}
