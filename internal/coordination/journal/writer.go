package journal

import (
	"context"
	"errors"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Limits of one frame. recordIDMargin covers the record ID, which is not set
// yet when the size is measured.
const (
	maxFrameRecords = 512
	maxFrameBytes   = protocol.MaxEntryBytes - 1024
	recordIDMargin  = 32
)

// pendingFrame is the one frame that the writer has in flight.
type pendingFrame struct {
	submissions []*submission
	// unfinished is the number of submissions that are not done. finished is
	// closed when it reaches zero. Both are guarded by Journal.pendingMu.
	unfinished int
	finished   chan struct{}
	// mayBeInStream reports that an append failed after which the frame may be
	// in the stream.
	mayBeInStream bool
}

// writer is the background service that appends frames.
type writer struct {
	*Journal
	session protocol.SessionID
	seq     uint64
	// overflow is a submission that did not fit into the previous frame.
	overflow *submission
	sentAt   time.Time
	backoff  *backoff
	// throttleBackoff gives the shorter waits after a rejection by the
	// platform's rate limit.
	throttleBackoff *backoff
}

func (j *Journal) newWriter() *writer {
	t := j.timings
	return &writer{
		Journal:         j,
		backoff:         newBackoff(t.BackoffBase, t.BackoffMax, j.opts.Seed, 2),
		throttleBackoff: newBackoff(t.BackoffBase, t.ThrottledWait, j.opts.Seed, 4),
	}
}

// String names the service.
func (w *writer) String() string { return "journal writer" }

// Serve appends waiting submissions until ctx ends.
func (w *writer) Serve(ctx context.Context) error {
	defer w.markStopped()
	for {
		frame, err := w.collectFrame(ctx)
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

// collectFrame waits for a submission and adds the queued submissions behind
// it, as long as they fit. It returns nil if there is nothing to send.
func (w *writer) collectFrame(ctx context.Context) (*pendingFrame, error) {
	sub, err := w.nextSubmission(ctx)
	if err != nil {
		return nil, err
	}
	w.waitForSpacing(ctx)
	frame := &pendingFrame{finished: make(chan struct{})}
	size := 0
	for sub != nil {
		if !w.checkSize(sub) {
			sub = w.tryNextSubmission()
			continue
		}
		if size+sub.size > maxFrameBytes || len(frame.submissions) == maxFrameRecords {
			w.overflow = sub
			break
		}
		if !w.addToFrame(frame, sub) {
			sub = w.tryNextSubmission()
			continue
		}
		size += sub.size
		sub = w.tryNextSubmission()
	}
	if len(frame.submissions) == 0 {
		return nil, nil
	}
	return frame, nil
}

func (w *writer) nextSubmission(ctx context.Context) (*submission, error) {
	if sub := w.overflow; sub != nil {
		w.overflow = nil
		return sub, nil
	}
	return w.submissions.Take(ctx)
}

func (w *writer) tryNextSubmission() *submission {
	sub, ok := w.submissions.TryTake()
	if !ok {
		return nil
	}
	return sub
}

// waitForSpacing waits until FrameSpacing has passed since the previous frame.
// More submissions queue up in that time.
func (w *writer) waitForSpacing(ctx context.Context) {
	wait := w.timings.FrameSpacing - time.Since(w.sentAt)
	if wait > 0 {
		pause(ctx, wait, nil)
	}
}

// checkSize measures a submission and rejects one that does not fit into any
// entry, or that readers could not decode.
func (w *writer) checkSize(sub *submission) bool {
	if sub.size > 0 {
		return true
	}
	data, err := protocol.EncodeRecord(&sub.rec)
	if err == nil && len(data)+recordIDMargin > maxFrameBytes {
		err = protocol.ErrFrameTooLarge
	}
	if err != nil {
		counters.Add(countRejected, 1)
		w.reject(sub, err)
		return false
	}
	sub.size = len(data) + recordIDMargin
	return true
}

func (w *writer) reject(sub *submission, err error) {
	w.pendingMu.Lock()
	defer w.pendingMu.Unlock()
	w.resolve(sub, notRun(err))
}

// addToFrame assigns a record ID to a submission and adds it to the frame. It
// rejects a record that was submitted under a previous session: the submitter
// based its decision on what that session held.
func (w *writer) addToFrame(frame *pendingFrame, sub *submission) bool {
	if sub.rec.SessionOpen != nil {
		w.session = sub.session
		w.seq = 0
	}
	w.pendingMu.Lock()
	defer w.pendingMu.Unlock()
	if sub.phase == done {
		return false
	}
	if sub.session != w.session {
		w.resolve(sub, notRun(ErrSessionEnded))
		return false
	}
	w.seq++
	sub.rec.ID = protocol.RecordID{Session: w.session, Seq: w.seq}
	sub.frame = frame
	frame.submissions = append(frame.submissions, sub)
	frame.unfinished++
	w.unresolved[sub.rec.ID] = sub
	return true
}

// send appends a frame until the append succeeds or all of its submissions are
// done. The writer may abandon a frame safely: the next frame has higher
// sequence numbers, so replay drops a late copy of this one.
func (w *writer) send(ctx context.Context, frame *pendingFrame) {
	w.backoff.reset()
	w.throttleBackoff.reset()
	for ctx.Err() == nil {
		payload := w.encode(frame)
		if payload == nil {
			return
		}
		err := w.appendFrame(ctx, payload)
		switch {
		case err == nil:
			return
		case errors.Is(err, external.ErrThrottled):
			counters.Add(countThrottled, 1)
			w.pacer.onThrottled(time.Now())
			w.markUnsent(frame)
		case errors.Is(err, external.ErrEntryTooLarge):
			w.failFrame(frame, err)
			return
		default:
			counters.Add(countAppendErrors, 1)
			frame.mayBeInStream = true
		}
		wait := w.retryWait(err)
		w.event("append_retry", "err", err, "records", len(frame.submissions), "wait", wait)
		pause(ctx, wait, frame.finished)
	}
}

func (w *writer) retryWait(err error) time.Duration {
	if errors.Is(err, external.ErrThrottled) {
		return w.throttleBackoff.next()
	}
	return w.backoff.next()
}

// encode marks the frame's submissions as sent and encodes those that are not
// done. It returns nil if all are done. A frame that may be in the stream
// already is sent again with all of its records, so that both copies are
// identical.
func (w *writer) encode(frame *pendingFrame) []byte {
	now := time.Now()
	w.pendingMu.Lock()
	defer w.pendingMu.Unlock()
	if frame.unfinished == 0 {
		return nil
	}
	records := make([]protocol.Record, 0, len(frame.submissions))
	for _, sub := range frame.submissions {
		if sub.phase == done && !frame.mayBeInStream {
			continue
		}
		records = append(records, sub.rec)
		if sub.phase == queued {
			sub.phase = sent
			w.recordRenewalSent(&sub.rec, now)
		}
	}
	payload, err := protocol.EncodeFrame(protocol.Frame{Records: records})
	if err != nil {
		// The sizes were checked when the frame was collected.
		panic("journal: can't encode frame: " + err.Error())
	}
	w.sentAt = now
	return payload
}

// recordRenewalSent records when an open or renewal was first sent. The hold
// time of the session starts then. The caller holds j.pendingMu.
func (w *writer) recordRenewalSent(rec *protocol.Record, now time.Time) {
	if rec.SessionOpen != nil || rec.SessionRenew != nil {
		w.renewalSentAt[rec.ID] = now
	}
}

func (w *writer) appendFrame(ctx context.Context, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, w.timings.AppendTimeout)
	defer cancel()
	counters.Add(countAppends, 1)
	_, err := w.log.Append(ctx, protocol.ControlStream, payload)
	return err
}

// markUnsent marks a frame as not sent after a rejection that had no effect,
// unless an earlier attempt may have had an effect.
func (w *writer) markUnsent(frame *pendingFrame) {
	if frame.mayBeInStream {
		return
	}
	w.pendingMu.Lock()
	defer w.pendingMu.Unlock()
	for _, sub := range frame.submissions {
		if sub.phase == sent {
			sub.phase = queued
			delete(w.renewalSentAt, sub.rec.ID)
		}
	}
}

func (w *writer) failFrame(frame *pendingFrame, err error) {
	w.pendingMu.Lock()
	defer w.pendingMu.Unlock()
	for _, sub := range frame.submissions {
		if frame.mayBeInStream {
			w.resolve(sub, mayHaveRun(err))
			continue
		}
		w.resolve(sub, notRun(err))
	}
}
