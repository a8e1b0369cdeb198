package journal

import (
	"context"
	"errors"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Limits of one frame. recordSlack covers the record id, which is not set when
// the size is taken.
const (
	maxFrameRecords = 512
	maxFrameBytes   = protocol.MaxEntryBytes - 1024
	recordSlack     = 32
)

// flight is the one frame that the writer has in flight.
type flight struct {
	subs []*submission
	// left counts the submissions that have not ended; finished is closed when
	// none is left. Both are guarded by Journal.pending.
	left     int
	finished chan struct{}
	// uncertain says that an append failed in a way that may have left the
	// frame in the stream.
	uncertain bool
}

// writer is the duty that appends frames.
type writer struct {
	*Journal
	session protocol.SessionID
	seq     uint64
	// carried is a submission that did not fit into the previous frame.
	carried *submission
	sentAt  time.Time
	backoff *backoff
	// throttled gives the shorter waits after a refusal for the rate limit.
	throttled *backoff
}

func (j *Journal) newWriter() *writer {
	t := j.timings
	return &writer{
		Journal:   j,
		backoff:   newBackoff(t.BackoffBase, t.BackoffMax, j.opts.Seed, 2),
		throttled: newBackoff(t.BackoffBase, t.ThrottledWait, j.opts.Seed, 4),
	}
}

// String names the service.
func (w *writer) String() string { return "journal writer" }

// Serve appends waiting submissions until ctx ends.
func (w *writer) Serve(ctx context.Context) error {
	defer w.stop()
	for {
		frame, err := w.gather(ctx)
		if err != nil {
			return ctx.Err()
		}
		if frame != nil {
			w.send(ctx, frame)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// gather waits for a submission and takes those that wait behind it, as far as
// they fit. It returns nil if none of them is to be sent.
func (w *writer) gather(ctx context.Context) (*flight, error) {
	sub, err := w.first(ctx)
	if err != nil {
		return nil, err
	}
	w.space(ctx)
	frame := &flight{finished: make(chan struct{})}
	size := 0
	for sub != nil {
		if !w.admit(sub) {
			sub = w.another()
			continue
		}
		if size+sub.size > maxFrameBytes || len(frame.subs) == maxFrameRecords {
			w.carried = sub
			break
		}
		if !w.number(frame, sub) {
			sub = w.another()
			continue
		}
		size += sub.size
		sub = w.another()
	}
	if len(frame.subs) == 0 {
		return nil, nil
	}
	return frame, nil
}

func (w *writer) first(ctx context.Context) (*submission, error) {
	if sub := w.carried; sub != nil {
		w.carried = nil
		return sub, nil
	}
	return w.submissions.Take(ctx)
}

func (w *writer) another() *submission {
	sub, ok := w.submissions.TryTake()
	if !ok {
		return nil
	}
	return sub
}

// space keeps the least time between two frames, during which more submissions
// gather.
func (w *writer) space(ctx context.Context) {
	wait := w.timings.FrameSpacing - time.Since(w.sentAt)
	if wait > 0 {
		pause(ctx, wait, nil)
	}
}

// admit takes a submission's size and refuses one that fits into no entry.
func (w *writer) admit(sub *submission) bool {
	if sub.size > 0 {
		return true
	}
	data, err := protocol.Marshal(sub.rec)
	if err == nil && len(data)+recordSlack > maxFrameBytes {
		err = protocol.ErrFrameTooLarge
	}
	if err != nil {
		w.refuse(sub, err)
		return false
	}
	sub.size = len(data) + recordSlack
	return true
}

func (w *writer) refuse(sub *submission, err error) {
	w.pending.Lock()
	defer w.pending.Unlock()
	w.settle(sub, notRun(err))
}

// number gives a submission its record id and a place in the frame. A record
// submitted under a former session is refused: its submitter decided on the
// ground of what that session held.
func (w *writer) number(frame *flight, sub *submission) bool {
	if sub.rec.SessionOpen != nil {
		w.session = sub.session
		w.seq = 0
	}
	w.pending.Lock()
	defer w.pending.Unlock()
	if sub.phase == done {
		return false
	}
	if sub.session != w.session {
		w.settle(sub, notRun(ErrSessionEnded))
		return false
	}
	w.seq++
	sub.rec.ID = protocol.RecordID{Session: w.session, Seq: w.seq}
	sub.frame = frame
	frame.subs = append(frame.subs, sub)
	frame.left++
	w.waiting[sub.rec.ID] = sub
	return true
}

// send appends a frame until its place in the stream is certain, or nobody
// waits for it any more. Giving a frame up is safe: the next one has higher
// numbers, so a late copy of this one is dropped by replay.
func (w *writer) send(ctx context.Context, frame *flight) {
	w.backoff.reset()
	w.throttled.reset()
	for ctx.Err() == nil {
		payload := w.encode(frame)
		if payload == nil {
			return
		}
		err := w.append(ctx, payload)
		switch {
		case err == nil:
			return
		case errors.Is(err, external.ErrThrottled):
			counters.Add(countThrottled, 1)
			w.pacer.throttled(time.Now())
			w.unsend(frame)
		case errors.Is(err, external.ErrEntryTooLarge):
			w.abandon(frame, err)
			return
		default:
			counters.Add(countAppendErrors, 1)
			frame.uncertain = true
		}
		wait := w.wait(err)
		w.event("append_retry", "err", err, "records", len(frame.subs), "wait", wait)
		pause(ctx, wait, frame.finished)
	}
}

func (w *writer) wait(err error) time.Duration {
	if errors.Is(err, external.ErrThrottled) {
		return w.throttled.next()
	}
	return w.backoff.next()
}

// encode marks the frame's submissions as sent and encodes those that are
// still wanted. It returns nil if none is. A frame that may stand in the
// stream already is sent again whole, so that both copies are alike.
func (w *writer) encode(frame *flight) []byte {
	now := time.Now()
	w.pending.Lock()
	defer w.pending.Unlock()
	if frame.left == 0 {
		return nil
	}
	records := make([]protocol.Record, 0, len(frame.subs))
	for _, sub := range frame.subs {
		if sub.phase == done && !frame.uncertain {
			continue
		}
		records = append(records, sub.rec)
		if sub.phase == queued {
			sub.phase = sent
			w.noteRenewal(&sub.rec, now)
		}
	}
	payload, err := protocol.EncodeFrame(protocol.Frame{Records: records})
	if err != nil {
		// The sizes were checked when the frame was gathered.
		panic("journal: frame does not encode: " + err.Error())
	}
	w.sentAt = now
	return payload
}

// noteRenewal remembers when a renewal was first sent: the holder's time runs
// from there. The caller holds j.pending.
func (w *writer) noteRenewal(rec *protocol.Record, now time.Time) {
	if rec.SessionOpen != nil || rec.SessionRenew != nil {
		w.renewals[rec.ID] = now
	}
}

func (w *writer) append(ctx context.Context, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, w.timings.AppendTimeout)
	defer cancel()
	counters.Add(countAppends, 1)
	_, err := w.log.Append(ctx, protocol.ControlStream, payload)
	return err
}

// unsend marks a frame as not sent after a refusal that had no effect, unless
// an earlier attempt may have had one.
func (w *writer) unsend(frame *flight) {
	if frame.uncertain {
		return
	}
	w.pending.Lock()
	defer w.pending.Unlock()
	for _, sub := range frame.subs {
		if sub.phase == sent {
			sub.phase = queued
			delete(w.renewals, sub.rec.ID)
		}
	}
}

func (w *writer) abandon(frame *flight, err error) {
	w.pending.Lock()
	defer w.pending.Unlock()
	for _, sub := range frame.subs {
		if frame.uncertain {
			w.settle(sub, mayHaveRun(err))
			continue
		}
		w.settle(sub, notRun(err))
	}
}
