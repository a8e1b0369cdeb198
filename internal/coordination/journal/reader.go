package journal

import (
	"context"
	"errors"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// reader is the duty that replays the control stream.
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
		r.load(ctx)
	}
	for ctx.Err() == nil {
		if err := r.step(ctx); err != nil {
			r.failed(ctx, err)
			continue
		}
		r.backoff.reset()
		r.status.set("")
	}
	return ctx.Err()
}

// step does one read and applies what it brings.
func (r *reader) step(ctx context.Context) error {
	asked := time.Now()
	from := r.Applied() + 1
	page, err := r.read(ctx, from)
	if err != nil {
		r.progress.finished(asked)
	}
	if errors.Is(err, external.ErrTrimmed) {
		return r.repair(ctx, from, page.Oldest)
	}
	if err != nil {
		return err
	}
	if err := r.sameLog(ctx, page, from); err != nil {
		return err
	}
	if err := r.applyPage(page, from); err != nil {
		return r.repair(ctx, from, page.Oldest)
	}
	if r.Applied()+1 < page.Next {
		r.progress.behind()
		return nil
	}
	r.progress.atEnd(asked, time.Now(), r.timings.DownAfter)
	r.progress.finished(asked)
	if len(page.Entries) > 0 && r.timings.ReadSpacing > 0 {
		pause(ctx, r.timings.ReadSpacing, nil)
	}
	return nil
}

func (r *reader) read(ctx context.Context, from protocol.Offset) (external.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timings.PollWait+r.timings.ReadTimeout)
	defer cancel()
	return r.log.Read(ctx, protocol.ControlStream, from, r.timings.PageEntries, r.timings.PollWait)
}

func (r *reader) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	counters.Add(countReadErrors, 1)
	wait := r.backoff.next()
	r.event("control_read_failed", "err", err, "wait", wait)
	pause(ctx, wait, nil)
}

// applyPage applies the entries of a page. It fails if an entry is missing
// among them; entries delivered again are passed over.
func (r *reader) applyPage(page external.Page, from protocol.Offset) error {
	if len(page.Entries) == 0 {
		return nil
	}
	frames, err := r.decode(page.Entries, from)
	if err != nil {
		return err
	}
	results := r.replay(from, frames)
	r.last.note(page.Entries[len(page.Entries)-1])
	counters.Add(countEntries, int64(len(frames)))
	r.publish()
	r.conclude(results)
	r.announce()
	return nil
}

// decode decodes the entries from an offset on; one that does not decode gives
// nil.
func (r *reader) decode(entries []external.Entry, from protocol.Offset) ([]*protocol.Frame, error) {
	frames := make([]*protocol.Frame, 0, len(entries))
	for _, entry := range entries {
		next := from + protocol.Offset(len(frames))
		if entry.Offset < next {
			continue
		}
		if entry.Offset > next {
			return nil, errMissing
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

// result is the verdict on one record that this instance may care about.
type result struct {
	rec     *protocol.Record
	at      protocol.Offset
	verdict protocol.Verdict
}

// replay applies frames from an offset on; nil stands for an entry that does
// not decode. A peer's snapshot may have been installed while the page was on
// its way, so what the state covers already is passed over.
func (r *reader) replay(from protocol.Offset, frames []*protocol.Frame) []result {
	var results []result
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, frame := range frames {
		at := from + protocol.Offset(i)
		if at <= r.state.Applied() {
			continue
		}
		results = append(results, r.replayOne(at, frame)...)
		r.digests.note(at, r.state.Digest())
	}
	return results
}

func (r *reader) replayOne(at protocol.Offset, frame *protocol.Frame) []result {
	if frame == nil {
		r.state.Skip(at)
		return nil
	}
	verdicts := r.state.Apply(at, *frame)
	results := make([]result, len(verdicts))
	for i, verdict := range verdicts {
		results[i] = result{rec: &frame.Records[i], at: at, verdict: verdict}
	}
	return results
}

// conclude tells the holder and the waiting submitters about verdicts.
func (r *reader) conclude(results []result) {
	for _, res := range results {
		r.concludeSession(res)
		r.concludeRecord(res)
	}
}

func (r *reader) concludeRecord(res result) {
	r.pending.Lock()
	defer r.pending.Unlock()
	sub, ok := r.waiting[res.rec.ID]
	if !ok {
		return
	}
	r.settle(sub, coordination.Outcome{Verdict: res.verdict, Offset: res.at, Run: protocol.Completed})
}

// concludeSession notes the confirmation of the own renewals and the end of
// sessions.
func (r *reader) concludeSession(res result) {
	if res.verdict != protocol.Accepted {
		return
	}
	switch {
	case res.rec.SessionOpen != nil:
		r.confirm(res.rec.ID, true)
	case res.rec.SessionRenew != nil:
		r.confirm(res.rec.ID, false)
	case res.rec.SessionExpire != nil:
		counters.Add(countExpired, 1)
		r.event("session_expired", "session", res.rec.SessionExpire.Session, "offset", res.at)
		r.sessionEnded(res.rec.SessionExpire.Session)
	case res.rec.SessionClose != nil:
		r.concludeRecord(res)
		r.sessionEnded(res.rec.ID.Session)
	}
}

func (r *reader) confirm(id protocol.RecordID, open bool) {
	sentAt, own := r.takeRenewal(id)
	if !own {
		return
	}
	r.holderMu.Lock()
	defer r.holderMu.Unlock()
	if open {
		counters.Add(countSessionOpened, 1)
		r.event("session_opened", "session", id.Session)
		r.holder.Opened(id.Session, sentAt)
		return
	}
	r.holder.Renewed(id.Session, sentAt)
}

// takeRenewal returns when an own renewal was sent and forgets it with all
// earlier ones.
func (r *reader) takeRenewal(id protocol.RecordID) (time.Time, bool) {
	r.pending.Lock()
	defer r.pending.Unlock()
	sentAt, own := r.renewals[id]
	if !own {
		return time.Time{}, false
	}
	for other := range r.renewals {
		if other.Session != id.Session || other.Seq <= id.Seq {
			delete(r.renewals, other)
		}
	}
	return sentAt, true
}

// sessionEnded settles the records that the session can't write any more. They
// certainly did not run: replay refuses them wherever they turn up.
func (j *Journal) sessionEnded(session protocol.SessionID) {
	j.holderMu.Lock()
	own := j.holder.Session() == session
	j.holder.Ended(session)
	j.holderMu.Unlock()
	j.pending.Lock()
	for id, sub := range j.waiting {
		if id.Session == session {
			j.settle(sub, notRun(ErrSessionEnded))
		}
	}
	j.pending.Unlock()
	if own {
		j.event("own_session_ended", "session", session)
		j.wakeRenewer()
	}
}

// announce tells those who wait for a change.
func (j *Journal) announce() {
	j.mu.Lock()
	defer j.mu.Unlock()
	close(j.changed)
	j.changed = make(chan struct{})
}
