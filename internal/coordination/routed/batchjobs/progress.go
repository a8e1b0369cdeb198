package batchjobs

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/jobs"
)

const (
	// keepEvery is how often the output of running items is kept. An item takes
	// about five seconds; a second of it is lost with its instance at most.
	storeInterval = time.Second
	// keepEvents is the least that is worth a record.
	minSegmentEvents = 15
)

var (
	segmentsStored = metrics.NewCounter(`batch_pieces_kept_total`)
	itemsResumed   = metrics.NewCounter(`batch_items_resumed_total`)
)

// output collects what comes out of an item between two times at which it is kept.
// The run adds to it while the holding takes from it.
type pendingOutput struct {
	mu sync.Mutex
	// number is that of the part that comes next, follows the tag of the part and
	// after the event that it follows.
	followsTag    uint64
	number, after int
	// offered is the tag of the part that was offered last.
	offeredTag uint64
	text       strings.Builder
	// events counts the events in text, position is the last of them.
	events, position int
	// failures are the failed runs, told are those of them that are kept.
	failures, storedFailures int
}

// begin begins with a first part: the item starts anew, or goes on from output that
// is not kept.
func (o *pendingOutput) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.followsTag, o.number, o.after, o.offeredTag = 0, 0, exchange.FromStart, 0
	o.text.Reset()
	o.events, o.position = 0, exchange.FromStart
}

// failed begins anew after a run that failed, and counts it.
func (o *pendingOutput) resetAfterFailure(failures int) {
	o.reset()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = failures
}

// follow goes on from what is kept.
func (o *pendingOutput) continueFrom(p jobs.Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.followsTag, o.number, o.after = p.Tag, p.Segments, p.Position
	o.failures, o.storedFailures = p.Failures, p.Failures
}

// add adds events.
func (o *pendingOutput) add(text string, events, position int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.events > 0 {
		o.text.WriteByte('\n')
	}
	o.text.WriteString(text)
	o.events += events
	o.position = position
}

// piece gives what is there as a part, if it is worth one: enough events, or a
// failure that nobody else knows of.
func (o *pendingOutput) segment(place int) (jobs.OutputSegment, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	enough := o.events >= minSegmentEvents && o.position != exchange.FromStart
	if !enough && o.failures == o.storedFailures {
		return jobs.OutputSegment{}, false
	}
	position := o.position
	if o.events == 0 {
		position = o.after
	}
	o.offeredTag = rand.Uint64()
	return jobs.OutputSegment{
		Item: place, Tag: o.offeredTag, Follows: o.followsTag, Number: o.number, After: o.after,
		Events: o.events, Position: position, Text: o.text.String(), Failures: o.failures,
	}, true
}

// kept notes that a part is in the log.
func (o *pendingOutput) markStored(p jobs.OutputSegment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.offeredTag != p.Tag {
		// The item began anew meanwhile.
		return
	}
	rest := o.text.String()[len(p.Text):]
	o.text.Reset()
	o.text.WriteString(strings.TrimPrefix(rest, "\n"))
	o.events -= p.Events
	o.storedFailures = max(o.storedFailures, p.Failures)
	o.number++
	o.followsTag, o.after = p.Tag, p.Position
}

// unkept is a part of a task's output that is to be kept.
type unstoredSegment struct {
	task    *task
	segment jobs.OutputSegment
}

// resume goes on from what was kept of an item's output.
func (t *task) resume(p jobs.Progress) {
	if p.Segments == 0 {
		return
	}
	t.text.WriteString(p.Text)
	t.events, t.position, t.runTime, t.failures = p.Events, p.Position, p.RunTime, p.Failures
	t.output.continueFrom(p)
	itemsResumed.Inc()
}

// unkept gives what came out of the items of a holding since it was kept last.
func (r *Runner) unstoredSegments(p *partitionReplica) (out []unstoredSegment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks {
		if t.replica != p {
			continue
		}
		if piece, ok := t.output.segment(t.index); ok {
			piece.RunTime = t.runTime
			if t.cancel != nil {
				piece.RunTime += time.Since(t.startedAt)
			}
			out = append(out, unstoredSegment{task: t, segment: piece})
		}
	}
	return out
}

// keepProgress keeps the output of running items in the store until ctx ends.
//
// What goes wrong without it: all instances are killed at once, or a failure domain
// is cut off with the instances that run items. Whoever takes the items up runs them
// from the start, which takes up to five seconds of a slot each, and items that were
// nearly done get late.
func (p *partitionReplica) storeProgressLoop(ctx context.Context) {
	ticker := time.NewTicker(storeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.storeNow:
		case <-ctx.Done():
			return
		}
		if p.unstored == nil {
			continue
		}
		if err := p.storeProgress(ctx); err != nil {
			_ = level.Info(p.logger).Log("event", "progress_not_kept", "err", err)
		}
	}
}

// keepSoon has the output of running items kept now, as after a failure: an instance
// that is killed again and again would never come to count it.
func (p *partitionReplica) requestStore() {
	select {
	case p.storeNow <- struct{}{}:
	default:
	}
}

// keepOnce writes what came since the last time. A part whose append was not
// answered is written again with what came meanwhile, under the same key.
func (p *partitionReplica) storeProgress(ctx context.Context) error {
	var records []external.KeyedRecord
	pieces := p.unstored(p)
	size := 0
	for i, u := range pieces {
		size += len(u.segment.Text) + recordOverhead
		if i > 0 && size > p.opts.CallBytes/2 {
			pieces = pieces[:i]
			break
		}
		record, err := jobs.EncodeSegment(u.task.id.job, u.segment, p.opts.RecordBytes)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	if len(records) == 0 {
		return nil
	}
	end, err := p.opts.Log.Append(ctx, p.partition, records, external.AnyEnd)
	if err != nil {
		return err
	}
	p.opts.StoreAnswered()
	for _, u := range pieces {
		u.task.output.markStored(u.segment)
	}
	p.applyOwnRecords(records, end)
	segmentsStored.Add(len(pieces))
	return nil
}

// applyOwn takes over records that were written here, if they follow what is known.
// Else results that are listed next would be refused, since the partition has moved.
func (p *partitionReplica) applyOwnRecords(records []external.KeyedRecord, end int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.state.Next()
	if end-int64(len(records)) != next {
		return
	}
	for i := range records {
		records[i].Offset = next + int64(i)
	}
	if err := p.state.Apply(external.KeyedPage{Records: records, Next: end, End: end}); err != nil {
		_ = level.Error(p.logger).Log("event", "job_records_unreadable", "err", err)
	}
}
