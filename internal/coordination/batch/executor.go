package batch

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/ring"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

var counters = expvar.NewMap("batch")

// finished is a result on its way from a run to the log.
type finished struct {
	item   Item
	result bulk.Result
}

// Executor runs items of claimed chunks. Its duties are suture services:
// claiming, dispatching, watching the ledger, and appending results.
type Executor struct {
	journal coordination.Journal
	slots   coordination.BatchSlots
	runner  Runner
	opts    Options
	logger  log.Logger
	planner Planner

	// results joins the runs and the duty that appends. It is bounded: while
	// the log is down it fills, runs wait to hand over, and no more start.
	results *ring.Ring[finished]
	// unsettled counts the bytes of results that wait for the log, in the ring
	// or behind it.
	unsettled atomic.Int64
	// flushNow asks for an early append, at a drain.
	flushNow chan chan struct{}

	mu   sync.Mutex
	work *workset
	// started counts the items started since the executor began.
	started  int
	draining bool
	// changed is closed when the work set changes.
	changed chan struct{}
}

// NewExecutor returns an Executor. name distinguishes its ring in expvar;
// empty publishes nothing.
func NewExecutor(name string, journal coordination.Journal, slots coordination.BatchSlots, runner Runner, opts Options, logger log.Logger) *Executor {
	opts = opts.withDefaults()
	return &Executor{
		journal:  journal,
		slots:    slots,
		runner:   runner,
		opts:     opts,
		logger:   logger,
		planner:  Planner{UrgentLaxity: opts.UrgentLaxity, ItemTime: opts.ItemTime},
		results:  ring.New[finished](name, opts.MaxInFlight),
		flushNow: make(chan chan struct{}),
		work:     newWorkset(opts.UrgentLaxity, weights(journal)),
		changed:  make(chan struct{}),
	}
}

// weights gives the fair share of organisations, 0 to those not configured.
func weights(journal coordination.Journal) func(protocol.OrganisationID) float64 {
	return func(org protocol.OrganisationID) float64 {
		owner, known := journal.Fleet().Organisations[org]
		if !known {
			return 0
		}
		return weightOf(owner.Weight)
	}
}

// Services are the duties for the process's supervisor.
func (e *Executor) Services() []suture.Service {
	return []suture.Service{
		&claimer{Executor: e, entries: newEntryReader(e.journal)},
		&dispatcher{executor: e},
		&watcher{e},
		newFlusher(e),
	}
}

// update changes the work set and wakes the duties.
func (e *Executor) update(change func(*workset)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e.work)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Executor) inspect(read func(*workset)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	read(e.work)
}

// wake returns a channel that is closed at the next change of the work set.
func (e *Executor) wake() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

func (e *Executor) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// mayStart says whether items of held chunks may start: the claims stand as
// far as this instance can know, and results can still be handed over.
//
// While the log can't be read, items go on although the hold on the session
// has run out. If the log is down for all, nobody can take the chunks, and
// stopping would leave the targets idle. If only this instance is cut off,
// another takes the chunks and what runs twice costs work; the first result
// wins. The chunks held bound that work.
func (e *Executor) mayStart() bool {
	if e.isDraining() || e.resultsFull() {
		return false
	}
	return e.journal.MayHold() || !e.journal.LogUp()
}

// resultsFull says that no more results may come than those of items in
// flight: the log does not take them, and memory is bounded.
func (e *Executor) resultsFull() bool {
	return e.unsettled.Load() >= int64(e.opts.BufferBytes) || e.results.Len() >= e.opts.MaxInFlight/2
}

// mayClaim says whether more chunks may be taken.
func (e *Executor) mayClaim() bool {
	return e.mayStart() && e.journal.MayHold() && e.journal.LogUp()
}

// service resolves a model in the configuration in force. A service whose
// calls may not be repeated is none for batch, since items may run again.
func (e *Executor) service(name protocol.ModelName) (protocol.ServiceName, bool) {
	fleet := e.journal.Fleet()
	model, known := fleet.Models[name]
	if !known || !fleet.Services[model.Service].Repeatable {
		return "", false
	}
	return model.Service, true
}

// Stats is the state of an executor for operators.
type Stats struct {
	HeldChunks, Waiting, Running, ResultsWaiting int
}

// Stats counts what the executor holds.
func (e *Executor) Stats() Stats {
	var l load
	e.inspect(func(w *workset) { l = w.load() })
	return Stats{HeldChunks: l.chunks, Waiting: l.fresh, Running: l.running, ResultsWaiting: e.results.Len()}
}

// Drain ends the instance's batch work for a graceful shutdown: no new items
// start, those in flight finish within DrainTimeout or are cancelled, results
// are appended, and unfinished chunks are given back so that other instances
// need not wait for the session to expire.
func (e *Executor) Drain(ctx context.Context) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.awaitIdle(ctx, e.opts.DrainTimeout)
	e.update(func(w *workset) { w.stopAll(errStopping) })
	e.awaitIdle(ctx, stopTimeout)
	e.flush(ctx)
	e.release(ctx)
}

// stopTimeout bounds the wait for cancelled runs to return.
const stopTimeout = 5 * time.Second

func (e *Executor) awaitIdle(ctx context.Context, timeout time.Duration) {
	limit := time.Now().Add(timeout)
	for {
		wake := e.wake()
		running := 0
		e.inspect(func(w *workset) { running = w.load().running })
		if running == 0 || !awaitChange(ctx, wake, time.Until(limit)) {
			return
		}
	}
}

func (e *Executor) flush(ctx context.Context) {
	done := make(chan struct{})
	select {
	case e.flushNow <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (e *Executor) release(ctx context.Context) {
	session := e.journal.Session()
	var held []ledger.ChunkID
	e.journal.View(func(state *replica.State) { held = state.Ledger.HeldBy(session) })
	e.releaseChunks(ctx, held)
}

func (e *Executor) releaseChunks(ctx context.Context, held []ledger.ChunkID) {
	byJob := map[protocol.JobID][]int{}
	for _, id := range held {
		byJob[id.Job] = append(byJob[id.Job], id.Chunk)
	}
	for job, chunks := range byJob {
		outcome := e.journal.Submit(ctx, protocol.Record{ChunkRelease: &protocol.ChunkRelease{Job: job, Chunks: chunks}})
		_ = e.logger.Log("event", "chunks_released", "job", job, "chunks", len(chunks), "accepted", outcome.Accepted())
	}
}
