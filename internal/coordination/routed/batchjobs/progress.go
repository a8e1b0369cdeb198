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
	// storeInterval is how often the output of running items is stored. An item runs
	// for about five seconds; if its instance dies, at most one second of output is
	// lost.
	storeInterval = time.Second
	// minSegmentEvents is the smallest number of events worth a record.
	minSegmentEvents = 15
)

var (
	segmentsStored = metrics.NewCounter(`batch_pieces_kept_total`)
	itemsResumed   = metrics.NewCounter(`batch_items_resumed_total`)
)

// pendingOutput collects the output of an item until it is stored. The run adds to it,
// and the owner of the partition takes segments from it.
type pendingOutput struct {
	mu sync.Mutex
	// number is the number of the next segment. followsTag is the tag of the stored
	// segment before it, after the position of that segment's last event.
	followsTag    uint64
	number, after int
	// offeredTag is the tag of the segment that was returned last.
	offeredTag uint64
	text       strings.Builder
	// events counts the events in text; position is that of the last one.
	events, position int
	// received counts all events of the item, stored or not.
	received int
	// version is the software version of the targets that all output of the item comes from,
	// empty if it is not known.
	version string
	// failures counts the failed runs, storedFailures those of them that are stored.
	failures, storedFailures int
}

// reset starts with a first segment: the item starts again, or continues from output
// that is not stored.
func (o *pendingOutput) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.followsTag, o.number, o.after, o.offeredTag = 0, 0, exchange.FromStart, 0
	o.text.Reset()
	o.events, o.position, o.version = 0, exchange.FromStart, ""
	o.received = 0
}

// setVersion sets the software version of the output.
func (o *pendingOutput) setVersion(version string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version = version
}

// resetAfterFailure resets the output after a failed run and sets the count of failures.
func (o *pendingOutput) resetAfterFailure(failures int) {
	o.reset()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = failures
}

// continueFrom continues after the stored output.
func (o *pendingOutput) continueFrom(progress jobs.Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.followsTag, o.number, o.after, o.version = progress.Tag, progress.Segments, progress.Position, progress.Version
	o.received = progress.Events
	o.failures, o.storedFailures = progress.Failures, progress.Failures
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
	o.received += events
	o.position = position
}

// segment returns the pending output as a segment, if it is worth a record: it has
// enough events, or there is a failure that is not stored yet.
func (o *pendingOutput) segment(index int) (jobs.OutputSegment, bool) {
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
		ItemIndex: index, Tag: o.offeredTag, Follows: o.followsTag, Number: o.number, After: o.after,
		Events: o.events, Position: position, Text: o.text.String(), Version: o.version, Failures: o.failures,
	}, true
}

// counts returns the number of events received and of those that are not stored yet.
func (o *pendingOutput) counts() (received, unstored int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.received, o.events
}

// markStored removes a segment that is now in the log from the pending output.
func (o *pendingOutput) markStored(stored jobs.OutputSegment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.offeredTag != stored.Tag {
		// The item was restarted in the meantime.
		return
	}
	rest := o.text.String()[len(stored.Text):]
	o.text.Reset()
	o.text.WriteString(strings.TrimPrefix(rest, "\n"))
	o.events -= stored.Events
	o.storedFailures = max(o.storedFailures, stored.Failures)
	o.number++
	o.followsTag, o.after = stored.Tag, stored.Position
}

// unstoredSegment is a segment of a task's output that is to be stored.
type unstoredSegment struct {
	task    *task
	segment jobs.OutputSegment
}

// resume continues from the stored output of an item.
func (t *task) resume(progress jobs.Progress) {
	if progress.Segments == 0 {
		return
	}
	t.text.WriteString(progress.Text)
	t.events, t.position, t.runTime, t.failures = progress.Events, progress.Position, progress.RunTime, progress.Failures
	t.version = progress.Version
	t.output.continueFrom(progress)
	itemsResumed.Inc()
}

// unstoredSegments returns the output of a partition's items that is not stored yet.
func (r *Runner) unstoredSegments(p *partitionReplica) (out []unstoredSegment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks {
		if t.replica != p {
			continue
		}
		if segment, ok := t.output.segment(t.index); ok {
			segment.RunTime = t.runTime
			if t.cancel != nil {
				segment.RunTime += time.Since(t.startedAt)
			}
			out = append(out, unstoredSegment{task: t, segment: segment})
		}
	}
	return out
}

// storeProgressLoop stores the output of running items until ctx ends.
//
// It limits the loss when all instances are killed at once, or a failure domain is
// isolated together with the instances that run items. Without it, the instance that
// takes the items over would run them from the start. Each would take up to five seconds
// of a slot, and items that were nearly done would miss their deadlines.
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

// requestStore makes storeProgressLoop store the output now. It is used after a
// failure: an instance that is killed repeatedly would otherwise never store the count.
func (p *partitionReplica) requestStore() {
	select {
	case p.storeNow <- struct{}{}:
	default:
	}
}

// storeProgress appends the output since the last call. A segment whose append was not
// acknowledged is written again under the same key, with the output since then.
func (p *partitionReplica) storeProgress(ctx context.Context) error {
	segments, records := p.encodeSegments(p.unstored(p))
	if len(records) == 0 {
		return nil
	}
	end, err := p.opts.Log.Append(ctx, p.partition, records, external.AnyEnd)
	if err != nil {
		return err
	}
	p.opts.StoreAnswered()
	for _, u := range segments {
		u.task.output.markStored(u.segment)
	}
	p.applyOwnRecords(records, end)
	segmentsStored.Add(len(segments))
	for _, u := range segments {
		u.task.reportProgress()
	}
	return nil
}

// encodeSegments returns the segments of one append and their records. A segment that can't be
// encoded is left out, so that the others are stored.
func (p *partitionReplica) encodeSegments(all []unstoredSegment) (segments []unstoredSegment, records []external.KeyedRecord) {
	size := 0
	for _, u := range all {
		record, err := jobs.EncodeSegment(u.task.id.job, u.segment, p.opts.RecordBytes)
		if err != nil {
			_ = level.Warn(p.logger).Log("event", "progress_not_encoded", "item", u.task.id.item, "job", u.task.id.job, "err", err)
			continue
		}
		size += len(u.segment.Text) + recordOverhead
		if len(records) > 0 && size > p.opts.CallBytes/2 {
			break
		}
		segments, records = append(segments, u), append(records, record)
	}
	return segments, records
}

// applyOwnRecords applies records that this instance wrote, if they follow the known
// state. Otherwise the next publication would be rejected, since the partition no longer
// ends where this instance expects.
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

// reportProgress reports how long a running item still needs, for its broker.
func (t *task) reportProgress() {
	r := t.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.cancel == nil || t.ended {
		return
	}
	received, unstored := t.output.counts()
	r.opts.Placer.SetProgress(t.choice, r.estimate.remaining(received), r.estimate.timeOf(unstored))
}
