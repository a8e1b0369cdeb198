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

// flusher is the duty that appends results in groups: one entry of DataStream
// for the results of all chunks at hand, then one control record about it.
//
// One append is under way at a time, and results are taken meanwhile, so that
// an outage of the log fills the buffer and not the places at the targets.
type flusher struct {
	*Executor
	buffer *resultBuffer
	// appending gets the sections under way when their append is over.
	appending chan appended
	busy      bool
	// waiters are the drains that wait for an empty buffer.
	waiters []chan struct{}
}

// appended is how an append of sections ended.
type appended struct {
	sections []*section
	all      bool
}

func newFlusher(e *Executor) *flusher {
	return &flusher{Executor: e, buffer: newResultBuffer(), appending: make(chan appended, 1)}
}

// String names the duty.
func (f *flusher) String() string { return "batch flusher" }

// flushTick is how often the age of waiting results is looked at.
const flushTick = 250 * time.Millisecond

// flushRetry is the wait after a failed append.
const flushRetry = time.Second

// Serve appends results until ctx ends. The buffer outlives a restart of the
// duty by the supervisor.
func (f *flusher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(flushTick)
	defer ticker.Stop()
	for {
		f.begin(ctx)
		select {
		case next := <-f.source():
			f.buffer.add(next, time.Now())
		case over := <-f.appending:
			f.end(over)
		case done := <-f.flushNow:
			f.takeAll()
			f.waiters = append(f.waiters, done)
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// source is the ring of results, or nothing while the buffer is full: then the
// ring fills, and runs stop starting.
func (f *flusher) source() <-chan finished {
	if f.buffer.bytes >= f.opts.BufferBytes {
		return nil
	}
	return f.results.Chan()
}

func (f *flusher) takeAll() {
	for {
		next, ok := f.results.TryTake()
		if !ok {
			return
		}
		f.buffer.add(next, time.Now())
	}
}

// begin starts an append if one is due and none is under way.
func (f *flusher) begin(ctx context.Context) {
	if f.busy {
		return
	}
	if f.buffer.empty() {
		f.wakeWaiters()
		return
	}
	if len(f.waiters) == 0 && !f.due(time.Now()) {
		return
	}
	f.busy = true
	sections := f.buffer.take(bulk.MaxPayload)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, f.opts.SubmitTimeout)
		defer cancel()
		f.appending <- appended{sections: sections, all: f.append(ctx, sections)}
	}()
}

func (f *flusher) end(over appended) {
	f.busy = false
	if over.all {
		return
	}
	f.buffer.putBack(over.sections, time.Now().Add(flushRetry))
	// A drain does not wait for the log to come back: what is not appended
	// runs again elsewhere.
	f.wakeWaiters()
}

func (f *flusher) wakeWaiters() {
	for _, done := range f.waiters {
		close(done)
	}
	f.waiters = nil
}

// due says whether the waiting results must be appended now: there are many,
// they are old, a job's deadline is near, or they are the last of a job, so that
// somebody may wait for just them.
func (f *flusher) due(now time.Time) bool {
	if now.Before(f.buffer.notBefore) {
		return false
	}
	if f.buffer.bytes >= f.opts.FlushBytes || now.Sub(f.buffer.oldest) >= f.opts.FlushAfter {
		return true
	}
	if f.buffer.deadline.Sub(now) < f.opts.DeadlineMargin {
		return true
	}
	return f.lastOfJob()
}

// lastOfJob says whether results wait of a job that has no chunk left to take,
// and of which nothing runs here any more. The job ends with its last chunk, so
// appending one of several earlier would only cost appends.
func (f *flusher) lastOfJob() bool {
	var done []protocol.JobID
	f.inspect(func(w *workset) {
		for id := range f.buffer.chunks {
			if w.doneWith(id.Job) {
				done = append(done, id.Job)
			}
		}
	})
	if len(done) == 0 {
		return false
	}
	last := false
	f.journal.View(func(state *replica.State) {
		for _, job := range done {
			last = last || len(state.Ledger.Claimable(job, state.Sessions, 0, math.MaxInt, 1)) == 0
		}
	})
	return last
}

// doneWith says that every held item of a job has its result at hand.
func (w *workset) doneWith(job protocol.JobID) bool {
	for id := range w.chunks {
		if id.Job == job && !w.whole(id) {
			return false
		}
	}
	return true
}

// whole says that every item of a chunk that this instance may still run has
// its result at hand.
func (w *workset) whole(id ledger.ChunkID) bool {
	c := w.chunks[id]
	if c == nil {
		return true
	}
	for _, t := range c.tasks {
		if t.state != taskReported {
			return false
		}
	}
	return true
}

// append stores sections and reports them. It is false if their fate is not
// known: they are reported again, and replay drops what already stands.
func (f *flusher) append(ctx context.Context, sections []*section) bool {
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
	return f.reportAll(ctx, at, sections)
}

// reportAll writes one record for all sections. Once replay has decided it,
// whatever the verdict, nothing remains to be done for them.
func (f *flusher) reportAll(ctx context.Context, at protocol.Offset, sections []*section) bool {
	body := &protocol.ChunkResults{}
	for _, s := range sections {
		body.Parts = append(body.Parts, s.record(at))
	}
	outcome := f.journal.Submit(ctx, protocol.Record{ChunkResults: body})
	if !isSettled(outcome) {
		return false
	}
	for _, s := range sections {
		counters.Add("results_"+string(outcome.Verdict), int64(len(s.results)))
		f.unsettled.Add(-int64(s.bytes))
		f.update(func(w *workset) { w.settled(s.id, s.numbers()) })
	}
	return true
}

// isSettled says that replay has decided the record for good. Without a
// session a result waits for the next one: who held the claim does not matter.
func isSettled(outcome coordination.Outcome) bool {
	return outcome.Run == protocol.Completed && outcome.Verdict != protocol.NoSession
}
