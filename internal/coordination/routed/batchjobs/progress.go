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
	keepEvery = time.Second
	// keepEvents is the least that is worth a record.
	keepEvents = 15
)

var (
	piecesKept = metrics.NewCounter(`batch_pieces_kept_total`)
	resumed    = metrics.NewCounter(`batch_items_resumed_total`)
)

// output collects what comes out of an item between two times at which it is kept.
// The run adds to it while the holding takes from it.
type output struct {
	mu sync.Mutex
	// number is that of the part that comes next, follows the tag of the part and
	// after the event that it follows.
	follows       uint64
	number, after int
	// offered is the tag of the part that was offered last.
	offered uint64
	text    strings.Builder
	// events counts the events in text, position is the last of them.
	events, position int
	// failures are the failed runs, told are those of them that are kept.
	failures, told int
}

// begin begins with a first part: the item starts anew, or goes on from output that
// is not kept.
func (o *output) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.follows, o.number, o.after, o.offered = 0, 0, exchange.FromStart, 0
	o.text.Reset()
	o.events, o.position = 0, exchange.FromStart
}

// failed begins anew after a run that failed, and counts it.
func (o *output) failed(failures int) {
	o.begin()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = failures
}

// follow goes on from what is kept.
func (o *output) follow(p jobs.Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.follows, o.number, o.after = p.Tag, p.Parts, p.Position
	o.failures, o.told = p.Failures, p.Failures
}

// add adds events.
func (o *output) add(text string, events, position int) {
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
func (o *output) piece(place int) (jobs.Piece, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	enough := o.events >= keepEvents && o.position != exchange.FromStart
	if !enough && o.failures == o.told {
		return jobs.Piece{}, false
	}
	position := o.position
	if o.events == 0 {
		position = o.after
	}
	o.offered = rand.Uint64()
	return jobs.Piece{
		Item: place, Tag: o.offered, Follows: o.follows, Number: o.number, After: o.after,
		Events: o.events, Position: position, Text: o.text.String(), Failures: o.failures,
	}, true
}

// kept notes that a part is in the log.
func (o *output) kept(p jobs.Piece) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.offered != p.Tag {
		// The item began anew meanwhile.
		return
	}
	rest := o.text.String()[len(p.Text):]
	o.text.Reset()
	o.text.WriteString(strings.TrimPrefix(rest, "\n"))
	o.events -= p.Events
	o.told = max(o.told, p.Failures)
	o.number++
	o.follows, o.after = p.Tag, p.Position
}

// unkept is a part of a task's output that is to be kept.
type unkept struct {
	task  *task
	piece jobs.Piece
}

// resume goes on from what was kept of an item's output.
func (t *task) resume(p jobs.Progress) {
	if p.Parts == 0 {
		return
	}
	t.text.WriteString(p.Text)
	t.events, t.position, t.worked, t.failures = p.Events, p.Position, p.Worked, p.Failures
	t.output.follow(p)
	resumed.Inc()
}

// unkept gives what came out of the items of a holding since it was kept last.
func (r *Runner) unkept(h *holding) (out []unkept) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks {
		if t.home != h {
			continue
		}
		if piece, ok := t.output.piece(t.place); ok {
			piece.Worked = t.worked
			if t.cancel != nil {
				piece.Worked += time.Since(t.began)
			}
			out = append(out, unkept{task: t, piece: piece})
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
func (h *holding) keepProgress(ctx context.Context) {
	ticker := time.NewTicker(keepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-h.keepNow:
		case <-ctx.Done():
			return
		}
		if h.pieces == nil {
			continue
		}
		if err := h.keepOnce(ctx); err != nil {
			_ = level.Info(h.logger).Log("event", "progress_not_kept", "err", err)
		}
	}
}

// keepSoon has the output of running items kept now, as after a failure: an instance
// that is killed again and again would never come to count it.
func (h *holding) keepSoon() {
	select {
	case h.keepNow <- struct{}{}:
	default:
	}
}

// keepOnce writes what came since the last time. A part whose append was not
// answered is written again with what came meanwhile, under the same key.
func (h *holding) keepOnce(ctx context.Context) error {
	var records []external.KeyedRecord
	pieces := h.pieces(h)
	size := 0
	for i, u := range pieces {
		size += len(u.piece.Text) + recordHead
		if i > 0 && size > h.opts.CallBytes/2 {
			pieces = pieces[:i]
			break
		}
		record, err := jobs.EncodePiece(u.task.id.job, u.piece, h.opts.RecordBytes)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	if len(records) == 0 {
		return nil
	}
	end, err := h.opts.Log.Append(ctx, h.partition, records, external.AnyEnd)
	if err != nil {
		return err
	}
	h.opts.StoreAnswered()
	for _, u := range pieces {
		u.task.output.kept(u.piece)
	}
	h.applyOwn(records, end)
	piecesKept.Add(len(pieces))
	return nil
}

// applyOwn takes over records that were written here, if they follow what is known.
// Else results that are listed next would be refused, since the partition has moved.
func (h *holding) applyOwn(records []external.KeyedRecord, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.state.Next()
	if end-int64(len(records)) != next {
		return
	}
	for i := range records {
		records[i].Offset = next + int64(i)
	}
	if err := h.state.Apply(external.KeyedPage{Records: records, Next: end, End: end}); err != nil {
		_ = level.Error(h.logger).Log("event", "job_records_unreadable", "err", err)
	}
}
