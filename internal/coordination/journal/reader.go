package journal

import (
	"context"
	"errors"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// reader is the background service that replays the control stream.
type reader struct {
	*Journal
	backoff *backoff
	last    lastEntry
}

// String names the service.
func (r *reader) String() string { return "journal reader" }

// Serve loads the state and replays the stream until ctx ends.
func (r *reader) Serve(ctx context.Context) error {
	if !r.isLoaded() {
		r.loadState(ctx)
	}
	for ctx.Err() == nil {
		if err := r.readOnce(ctx); err != nil {
			r.handleReadError(ctx, err)
			continue
		}
		r.partial.drop()
		r.backoff.reset()
		r.status.set("")
	}
	return ctx.Err()
}

// readOnce does one read and applies the entries that it returns.
func (r *reader) readOnce(ctx context.Context) error {
	requestedAt := time.Now()
	from := r.Applied() + 1
	page, err := r.readPage(ctx, from)
	if err != nil {
		r.progress.recordAttempt(requestedAt)
	}
	if errors.Is(err, external.ErrTrimmed) {
		return r.repairGap(ctx, from, page.Oldest)
	}
	if err != nil {
		return err
	}
	if err := r.checkContinuity(ctx, page, from); err != nil {
		return err
	}
	if err := r.applyPage(page, from); err != nil {
		return r.repairGap(ctx, from, page.Oldest)
	}
	if r.Applied()+1 < page.Next {
		r.progress.recordBehind()
		return nil
	}
	r.progress.recordEndReached(requestedAt, time.Now(), r.timings.DownAfter)
	r.progress.recordAttempt(requestedAt)
	if len(page.Entries) == 0 {
		pause(ctx, emptyReadSpacing-time.Since(requestedAt), nil)
	} else if r.timings.ReadSpacing > 0 {
		pause(ctx, r.timings.ReadSpacing, nil)
	}
	return nil
}

// emptyReadSpacing is the minimum time between reads that return no entry. A log that does not
// wait for entries must not be asked without a pause.
const emptyReadSpacing = 50 * time.Millisecond

func (r *reader) readPage(ctx context.Context, from protocol.Offset) (external.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timings.PollWait+r.timings.ReadTimeout)
	defer cancel()
	return r.log.Read(ctx, protocol.ControlStream, from, r.timings.PageEntries, r.timings.PollWait)
}

func (r *reader) handleReadError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.partial.dropExpired(time.Now())
	counters.Add(countReadErrors, 1)
	wait := r.backoff.next()
	r.event("control_read_failed", "err", err, "wait", wait)
	pause(ctx, wait, nil)
}

// applyPage applies the entries of a page. It fails if an entry is missing
// among them, and skips entries that were applied before.
func (r *reader) applyPage(page external.Page, from protocol.Offset) error {
	if len(page.Entries) == 0 {
		return nil
	}
	frames, err := r.decodeEntries(page.Entries, from)
	if err != nil {
		return err
	}
	results := r.applyFrames(from, frames)
	r.last.record(page.Entries[len(page.Entries)-1])
	counters.Add(countEntries, int64(len(frames)))
	r.publishFleet()
	r.handleResults(results)
	r.notifyChanged()
	return nil
}

// decodeEntries decodes the entries from an offset on. The result holds nil for
// an entry that does not decode.
func (r *reader) decodeEntries(entries []external.Entry, from protocol.Offset) ([]*protocol.Frame, error) {
	frames := make([]*protocol.Frame, 0, len(entries))
	for _, entry := range entries {
		next := from + protocol.Offset(len(frames))
		if entry.Offset < next {
			continue
		}
		if entry.Offset > next {
			return nil, errMissingEntries
		}
		frame, err := protocol.DecodeFrame(entry.Payload)
		if err != nil {
			counters.Add(countMalformed, 1)
			r.event("entry_malformed", "offset", entry.Offset, "err", err)
			frames = append(frames, nil)
			continue
		}
		frames = append(frames, &frame)
	}
	return frames, nil
}

// recordResult is the verdict of replay on one record.
type recordResult struct {
	rec     *protocol.Record
	at      protocol.Offset
	verdict protocol.Verdict
}

// applyFrames applies frames from an offset on. A nil frame represents an entry
// that does not decode. Entries that the state covers already are skipped: a
// peer's snapshot may have been installed while the read was in flight.
func (r *reader) applyFrames(from protocol.Offset, frames []*protocol.Frame) []recordResult {
	var results []recordResult
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, frame := range frames {
		at := from + protocol.Offset(i)
		if at <= r.state.Applied() {
			continue
		}
		results = append(results, r.applyFrame(at, frame)...)
		r.digests.add(at, r.state.Digest())
	}
	return results
}

func (r *reader) applyFrame(at protocol.Offset, frame *protocol.Frame) []recordResult {
	if frame == nil {
		r.state.Skip(at)
		return nil
	}
	verdicts := r.state.Apply(at, *frame)
	results := make([]recordResult, len(verdicts))
	for i, verdict := range verdicts {
		results[i] = recordResult{rec: &frame.Records[i], at: at, verdict: verdict}
	}
	return results
}

// handleResults applies the verdicts to the session holder and to the waiting
// submissions.
func (r *reader) handleResults(results []recordResult) {
	for _, res := range results {
		r.handleSessionRecord(res)
		r.resolveRecord(res)
	}
}

func (r *reader) resolveRecord(res recordResult) {
	r.pendingMu.Lock()
	defer r.pendingMu.Unlock()
	sub, ok := r.unresolved[res.rec.ID]
	if !ok {
		return
	}
	r.resolve(sub, coordination.Outcome{Verdict: res.verdict, Offset: res.at, Run: protocol.Completed})
}

// handleSessionRecord handles the confirmation of the instance's own opens and
// renewals, and the end of any session.
func (r *reader) handleSessionRecord(res recordResult) {
	if res.verdict != protocol.Accepted {
		return
	}
	switch {
	case res.rec.SessionOpen != nil:
		r.confirmRenewal(res.rec.ID, true)
	case res.rec.SessionRenew != nil:
		r.confirmRenewal(res.rec.ID, false)
	case res.rec.SessionExpire != nil:
		counters.Add(countExpired, 1)
		r.event("session_expired", "session", res.rec.SessionExpire.Session, "offset", res.at)
		r.endSession(res.rec.SessionExpire.Session)
	case res.rec.SessionClose != nil:
		r.resolveRecord(res)
		r.endSession(res.rec.ID.Session)
	}
}

func (r *reader) confirmRenewal(id protocol.RecordID, opened bool) {
	sentAt, own := r.takeRenewal(id)
	if !own {
		return
	}
	r.holderMu.Lock()
	defer r.holderMu.Unlock()
	if opened {
		counters.Add(countSessionOpened, 1)
		r.event("session_opened", "session", id.Session)
		r.holder.Opened(id.Session, sentAt)
		return
	}
	r.holder.Renewed(id.Session, sentAt)
}

// takeRenewal returns the time at which one of this instance's renewals was
// sent. It removes that renewal, all earlier ones and those of other sessions.
func (r *reader) takeRenewal(id protocol.RecordID) (time.Time, bool) {
	r.pendingMu.Lock()
	defer r.pendingMu.Unlock()
	sentAt, own := r.renewalSentAt[id]
	if !own {
		return time.Time{}, false
	}
	for other := range r.renewalSentAt {
		if other.Session != id.Session || other.Seq <= id.Seq {
			delete(r.renewalSentAt, other)
		}
	}
	return sentAt, true
}

// endSession resolves the records that the session can no longer write. They
// have certainly not run: replay rejects them if they appear later.
func (j *Journal) endSession(session protocol.SessionID) {
	j.holderMu.Lock()
	own := j.holder.Session() == session
	j.holder.Ended(session)
	j.holderMu.Unlock()
	j.pendingMu.Lock()
	for id, sub := range j.unresolved {
		if id.Session == session {
			j.resolve(sub, notRun(ErrSessionEnded))
		}
	}
	j.pendingMu.Unlock()
	if own {
		j.event("own_session_ended", "session", session)
		j.wakeRenewer()
	}
}

// notifyChanged wakes the callers that wait on Changed.
func (j *Journal) notifyChanged() {
	j.mu.Lock()
	defer j.mu.Unlock()
	close(j.changed)
	j.changed = make(chan struct{})
}
