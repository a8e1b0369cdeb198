package batch

import (
	"context"
	"math"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// flusher is the background service that appends results in groups: one entry of
// DataStream with the buffered results of all chunks, then one control record
// that refers to it.
//
// One append is in flight at a time. Meanwhile flusher keeps receiving results,
// so that an outage of the log fills the buffer and does not block slots at the
// targets.
type flusher struct {
	*Executor
	buffer *resultBuffer
	// appendDone receives the sections in flight when their append has ended.
	appendDone     chan appendResult
	appendInFlight bool
	// waiters are the channels of pending flush requests. They are closed when the
	// buffer is empty or an append has failed.
	waiters []chan struct{}
}

// appendResult is the outcome of an append.
type appendResult struct {
	sections []*section
	// decided reports whether replay has decided the record of the sections.
	decided bool
}

func newFlusher(e *Executor) *flusher {
	return &flusher{Executor: e, buffer: newResultBuffer(), appendDone: make(chan appendResult, 1)}
}

// String returns the name of the service for the supervisor.
func (f *flusher) String() string { return "batch flusher" }

// flushTick is the interval at which flusher checks the age of buffered results.
const flushTick = 250 * time.Millisecond

// flushRetry is the delay after a failed append.
const flushRetry = time.Second

// Serve appends results until ctx ends. The buffer is kept when the supervisor
// restarts the service.
func (f *flusher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(flushTick)
	defer ticker.Stop()
	for {
		f.startAppend(ctx)
		select {
		case next := <-f.resultSource():
			f.buffer.add(next, time.Now())
		case result := <-f.appendDone:
			f.finishAppend(result)
		case done := <-f.flushRequests:
			f.takeQueued()
			f.waiters = append(f.waiters, done)
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// resultSource returns the channel of the result ring, or nil while the buffer is
// full. The ring then fills up, and no more items start.
func (f *flusher) resultSource() <-chan itemResult {
	if f.buffer.bytes >= f.opts.BufferBytes {
		return nil
	}
	return f.results.Chan()
}

// takeQueued moves all results from the ring to the buffer.
func (f *flusher) takeQueued() {
	for {
		next, ok := f.results.TryTake()
		if !ok {
			return
		}
		f.buffer.add(next, time.Now())
	}
}

// startAppend starts an append if one is needed and none is in flight.
func (f *flusher) startAppend(ctx context.Context) {
	if f.appendInFlight {
		return
	}
	if f.buffer.empty() {
		f.notifyWaiters()
		return
	}
	if len(f.waiters) == 0 && !f.shouldAppend(time.Now()) {
		return
	}
	f.appendInFlight = true
	sections := f.buffer.take(bulk.MaxPayload)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, f.opts.SubmitTimeout)
		defer cancel()
		f.appendDone <- appendResult{sections: sections, decided: f.appendSections(ctx, sections)}
	}()
}

// finishAppend puts the sections of a failed append back into the buffer.
func (f *flusher) finishAppend(result appendResult) {
	f.appendInFlight = false
	if result.decided {
		return
	}
	f.buffer.putBack(result.sections, time.Now().Add(flushRetry))
	// A drain does not wait until the log recovers. Items whose results are not
	// appended run again on another instance.
	f.notifyWaiters()
}

// notifyWaiters ends all calls of Executor.flush.
func (f *flusher) notifyWaiters() {
	for _, done := range f.waiters {
		close(done)
	}
	f.waiters = nil
}

// shouldAppend reports whether the buffered results must be appended now: they are
// large or old, the deadline of a job is near, or they are the last ones of a
// job, so that its caller may be waiting for them.
func (f *flusher) shouldAppend(now time.Time) bool {
	if now.Before(f.buffer.notBefore) {
		return false
	}
	if f.buffer.bytes >= f.opts.FlushBytes || now.Sub(f.buffer.oldest) >= f.opts.FlushAfter {
		return true
	}
	if f.buffer.deadline.Sub(now) < f.opts.DeadlineMargin {
		return true
	}
	return f.hasLastOfJob()
}

// hasLastOfJob reports whether the buffer contains results of a job that has no
// claimable chunk left and of which all items on this instance have results. The
// job ends with its last chunk, so appending any of its chunks earlier would only
// cost additional appends.
func (f *flusher) hasLastOfJob() bool {
	var candidates []protocol.JobID
	f.inspect(func(w *workset) {
		for id := range f.buffer.chunks {
			if w.jobResultsQueued(id.Job) {
				candidates = append(candidates, id.Job)
			}
		}
	})
	if len(candidates) == 0 {
		return false
	}
	last := false
	f.journal.View(func(state *replica.State) {
		for _, job := range candidates {
			last = last || len(state.Ledger.Claimable(job, state.Sessions, 0, math.MaxInt, 1)) == 0
		}
	})
	return last
}

// jobResultsQueued reports whether every held item of a job has a result in the
// ring or the buffer.
func (w *workset) jobResultsQueued(job protocol.JobID) bool {
	for id := range w.chunks {
		if id.Job == job && !w.chunkResultsQueued(id) {
			return false
		}
	}
	return true
}

// chunkResultsQueued reports whether every item of a chunk that this instance may
// still run has a result in the ring or the buffer.
func (w *workset) chunkResultsQueued(id ledger.ChunkID) bool {
	c := w.chunks[id]
	if c == nil {
		return true
	}
	for _, t := range c.tasks {
		if t.state != taskResultQueued {
			return false
		}
	}
	return true
}

// appendSections stores sections in the log and submits their record. It reports
// false if the outcome is unknown. The sections are then submitted again, and
// replay ignores results that are already recorded.
func (f *flusher) appendSections(ctx context.Context, sections []*section) bool {
	entry := bulk.Entry{At: time.Now().Unix()}
	for _, s := range sections {
		entry.Results = append(entry.Results, bulk.Section{Job: s.id.Job, Chunk: s.id.Chunk, Results: s.results})
	}
	payload, err := bulk.Encode(entry)
	if err != nil {
		_ = f.logger.Log("event", "results_not_encoded", "err", err)
		return false
	}
	at, err := f.journal.AppendData(ctx, payload)
	if err != nil {
		_ = f.logger.Log("event", "results_wait", "bytes", len(payload), "err", err)
		return false
	}
	return f.submitResults(ctx, at, sections)
}

// submitResults submits one record for all sections and reports whether replay has
// decided it. The sections are then removed, whatever the verdict.
func (f *flusher) submitResults(ctx context.Context, at protocol.Offset, sections []*section) bool {
	body := &protocol.ChunkResults{}
	for _, s := range sections {
		body.Parts = append(body.Parts, s.record(at))
	}
	outcome := f.journal.Submit(ctx, protocol.Record{ChunkResults: body})
	if !isDecided(outcome) {
		return false
	}
	for _, s := range sections {
		counters.Add("results_"+string(outcome.Verdict), int64(len(s.results)))
		f.unrecordedBytes.Add(-int64(s.bytes))
		f.update(func(w *workset) { w.recorded(s.id, s.itemNumbers()) })
	}
	return true
}

// isDecided reports whether the verdict of replay is final. A record that was
// rejected because the instance had no session is submitted again under its next
// session: results are accepted whichever session held the claim.
func isDecided(outcome coordination.Outcome) bool {
	return outcome.Run == protocol.Completed && outcome.Verdict != protocol.NoSession
}
