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

// itemResult is the result of an item that is not in the log yet.
type itemResult struct {
	item   Item
	result bulk.Result
}

// Executor runs items of claimed chunks. It consists of four background services
// (suture services): claimer, dispatcher, watcher and flusher.
type Executor struct {
	journal coordination.Journal
	slots   coordination.BatchSlots
	runner  Runner
	opts    Options
	logger  log.Logger
	planner Planner

	// results passes results from the runs to flusher. Its capacity is limited:
	// while the log is down it fills up, runs block when they queue their
	// results, and no more items start.
	results *ring.Ring[itemResult]
	// unrecordedBytes is the size of all results that are not in the log yet,
	// whether in the ring or in the buffer of flusher.
	unrecordedBytes atomic.Int64
	// flushRequests requests that all results are appended now. flusher closes
	// the sent channel when it is done.
	flushRequests chan chan struct{}

	mu   sync.Mutex
	work *workset
	// started is the number of items started since the executor was created.
	started int
	// draining is set by Drain. No item starts from then on.
	draining bool
	// changed is closed when the work set changes.
	changed chan struct{}
}

// NewExecutor returns an Executor. Its ring is published in expvar under name; an
// empty name publishes nothing.
func NewExecutor(name string, journal coordination.Journal, slots coordination.BatchSlots, runner Runner, opts Options, logger log.Logger) *Executor {
	opts = opts.withDefaults()
	return &Executor{
		journal:       journal,
		slots:         slots,
		runner:        runner,
		opts:          opts,
		logger:        logger,
		planner:       Planner{UrgentLaxity: opts.UrgentLaxity, ItemTime: opts.ItemTime},
		results:       ring.New[itemResult](name, opts.MaxInFlight),
		flushRequests: make(chan chan struct{}),
		work:          newWorkset(opts.UrgentLaxity, organisationWeights(journal)),
		changed:       make(chan struct{}),
	}
}

// organisationWeights returns a function that looks up the weight of an
// organisation in fair sharing. The weight is 0 if the organisation is not
// configured.
func organisationWeights(journal coordination.Journal) func(protocol.OrganisationID) float64 {
	return func(org protocol.OrganisationID) float64 {
		owner, known := journal.Fleet().Organisations[org]
		if !known {
			return 0
		}
		return effectiveWeight(owner.Weight)
	}
}

// Services returns the background services for the supervisor of the process.
func (e *Executor) Services() []suture.Service {
	return []suture.Service{
		&claimer{Executor: e, entries: newEntryReader(e.journal)},
		&dispatcher{executor: e},
		&watcher{e},
		newFlusher(e),
	}
}

// update changes the work set and wakes the background services.
func (e *Executor) update(change func(*workset)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e.work)
	close(e.changed)
	e.changed = make(chan struct{})
}

// inspect gives read access to the work set without waking the background
// services.
func (e *Executor) inspect(read func(*workset)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	read(e.work)
}

// workChanged returns a channel that is closed at the next update of the work set.
func (e *Executor) workChanged() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

func (e *Executor) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// mayStart reports whether items of held chunks may start. The claims must be
// valid as far as this instance can know, and the buffer must have space for
// results.
//
// While the log can't be read, items still start although the session may have
// expired. If the log is down for all instances, no other instance can claim the
// chunks, and stopping would leave the targets idle. If only this instance is
// isolated, another instance claims the chunks and some items run twice. The
// first result counts, and the number of held chunks limits the wasted work.
func (e *Executor) mayStart() bool {
	if e.isDraining() || e.resultsFull() {
		return false
	}
	return e.journal.MayHold() || !e.journal.LogUp()
}

// resultsFull reports whether the memory for results is used up because the log
// does not accept them. Only items already in flight may then add results.
func (e *Executor) resultsFull() bool {
	return e.unrecordedBytes.Load() >= int64(e.opts.BufferBytes) || e.results.Len() >= e.opts.MaxInFlight/2
}

// mayClaim reports whether more chunks may be claimed.
func (e *Executor) mayClaim() bool {
	return e.mayStart() && e.journal.MayHold() && e.journal.LogUp()
}

// serviceFor returns the service of a model in the configuration in force. It
// reports false for a service whose calls are not idempotent, because items may
// run more than once.
func (e *Executor) serviceFor(name protocol.ModelName) (protocol.ServiceName, bool) {
	fleet := e.journal.Fleet()
	model, known := fleet.Models[name]
	if !known || !fleet.Services[model.Service].Repeatable {
		return "", false
	}
	return model.Service, true
}

// Stats is the state of an executor for operators: the number of held chunks, of
// waiting items without a failed attempt, of running items, and of results in the
// ring.
type Stats struct {
	HeldChunks, Waiting, Running, ResultsWaiting int
}

// Stats returns the current state.
func (e *Executor) Stats() Stats {
	var l load
	e.inspect(func(w *workset) { l = w.load() })
	return Stats{HeldChunks: l.chunks, Waiting: l.fresh, Running: l.running, ResultsWaiting: e.results.Len()}
}

// Drain ends the batch work of the instance for a graceful shutdown. No new items
// start, items in flight finish within DrainTimeout or are cancelled, results are
// appended, and unfinished chunks are released so that other instances don't have
// to wait until the session expires.
func (e *Executor) Drain(ctx context.Context) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.awaitIdle(ctx, e.opts.DrainTimeout)
	e.update(func(w *workset) { w.stopAll(errStopping) })
	e.awaitIdle(ctx, stopTimeout)
	e.flush(ctx)
	e.releaseAll(ctx)
}

// stopTimeout limits the wait for cancelled runs to return.
const stopTimeout = 5 * time.Second

// awaitIdle waits until no item is running, at most for timeout.
func (e *Executor) awaitIdle(ctx context.Context, timeout time.Duration) {
	limit := time.Now().Add(timeout)
	for {
		changed := e.workChanged()
		running := 0
		e.inspect(func(w *workset) { running = w.load().running })
		if running == 0 || !waitForChange(ctx, changed, time.Until(limit)) {
			return
		}
	}
}

// flush appends all results and waits until that is done or has failed.
func (e *Executor) flush(ctx context.Context) {
	done := make(chan struct{})
	select {
	case e.flushRequests <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// releaseAll releases all chunks that the session holds.
func (e *Executor) releaseAll(ctx context.Context) {
	session := e.journal.Session()
	var held []ledger.ChunkID
	e.journal.View(func(state *replica.State) { held = state.Ledger.HeldBy(session) })
	e.releaseChunks(ctx, held)
}

// releaseChunks submits one record per job that releases the given chunks.
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
