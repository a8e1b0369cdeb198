package batch

import (
	"cmp"
	"context"
	"errors"
	"time"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// taskState is where an item of a held chunk stands.
type taskState int

const (
	taskWaiting taskState = iota
	taskRunning
	// taskReported: the result waits to be appended.
	taskReported
)

// task is an item of a held chunk that has no result yet.
type task struct {
	item  Item
	state taskState
	// attempts counts the runs that failed; a task with any is a straggler and
	// waits behind all that have none.
	attempts  int
	notBefore time.Time
	// stop cancels the run, with errJobEnded or errRevoked as cause.
	stop context.CancelCauseFunc
}

// heldChunk is a chunk under this instance's claim.
type heldChunk struct {
	id           ledger.ChunkID
	organisation protocol.OrganisationID
	deadline     time.Time
	// order is the position of the claim, to finish chunks one after another.
	order int
	// lost says that the claim is gone: nothing more of the chunk starts here,
	// and what runs may finish.
	lost  bool
	tasks map[int]*task
	// strandedSince is since when nothing of the chunk could run here.
	strandedSince time.Time
}

// startable says that items of the chunk may start. After the deadline they
// would run for a result that nobody takes; those of an organisation that was
// removed from the configuration wait, in case that was a mistake.
func (w *workset) startable(c *heldChunk, now time.Time) bool {
	return !c.lost && !w.told[c.id.Job] && c.deadline.After(now) && w.weight(c.organisation) > 0
}

// Causes with which a run is cancelled.
var (
	errJobEnded = errors.New("job ended")
	errRevoked  = errors.New("place taken back")
	errStopping = errors.New("instance is stopping")
)

// workset is what an executor holds. It is pure; the executor locks it.
type workset struct {
	chunks map[ledger.ChunkID]*heldChunk
	claims int
	// urgent is how long before its deadline a chunk goes ahead of others.
	urgent time.Duration
	// weight is the fair share of an organisation, 0 if there is none such.
	weight func(protocol.OrganisationID) float64
	// told are jobs of which another instance said that they were cancelled,
	// before this one has read it.
	told map[protocol.JobID]bool
}

func newWorkset(urgent time.Duration, weight func(protocol.OrganisationID) float64) *workset {
	return &workset{chunks: map[ledger.ChunkID]*heldChunk{}, urgent: urgent, weight: weight, told: map[protocol.JobID]bool{}}
}

// loadedChunk is a claimed chunk with its input.
type loadedChunk struct {
	id           ledger.ChunkID
	organisation protocol.OrganisationID
	endpoint     string
	deadline     time.Time
	won          ledger.Bitmap
	items        []bulk.Item
}

// add takes a claimed chunk. Items of an earlier claim of the same chunk that
// still run here are not started again.
func (w *workset) add(in loadedChunk) {
	w.claims++
	c := &heldChunk{
		id:           in.id,
		organisation: in.organisation,
		deadline:     in.deadline,
		order:        w.claims,
		tasks:        map[int]*task{},
	}
	if before, again := w.chunks[in.id]; again {
		c.tasks = before.tasks
	}
	w.chunks[in.id] = c
	for number, item := range in.items {
		if number >= protocol.MaxChunkItems || in.won.Has(number) || c.tasks[number] != nil {
			continue
		}
		c.tasks[number] = &task{item: Item{
			ChunkID:      in.id,
			Number:       number,
			Organisation: in.organisation,
			Endpoint:     in.endpoint,
			CustomID:     item.CustomID,
			Model:        item.Model,
			Body:         item.Body,
			Deadline:     in.deadline,
			Attempt:      1,
		}}
	}
	w.dropIfDone(c)
}

// services maps models to services; unknown models to none.
type services func(protocol.ModelName) (protocol.ServiceName, bool)

// start takes the best waiting item for a service.
func (w *workset) start(service protocol.ServiceName, now time.Time, of services, stop context.CancelCauseFunc) (Item, bool) {
	var best *task
	var bestChunk *heldChunk
	order := w.ordering(now)
	for _, c := range w.chunks {
		if !w.startable(c, now) {
			continue
		}
		for _, t := range c.tasks {
			if t.state != taskWaiting || t.notBefore.After(now) {
				continue
			}
			if name, known := of(t.item.Model); !known || name != service {
				continue
			}
			if best == nil || order.compare(t, c, best, bestChunk) < 0 {
				best, bestChunk = t, c
			}
		}
	}
	if best == nil {
		return Item{}, false
	}
	best.state = taskRunning
	best.stop = stop
	best.item.Attempt = best.attempts + 1
	return best.item, true
}

// ordering is the order of items at one moment.
type ordering struct {
	work *workset
	now  time.Time
	// running counts the items in flight of each organisation by its weight.
	running map[protocol.OrganisationID]float64
}

func (w *workset) ordering(now time.Time) ordering {
	running := map[protocol.OrganisationID]float64{}
	for _, c := range w.chunks {
		for _, t := range c.tasks {
			if t.state == taskRunning {
				running[c.organisation] += 1 / w.weight(c.organisation)
			}
		}
	}
	return ordering{work: w, now: now, running: running}
}

// compare orders items: stragglers behind the rest, then chunks whose deadline
// is near, then the organisation with the fewest items in flight for its weight,
// then chunk by chunk in the order of their claims; in a chunk those with partial
// output go first. Ordering by deadline alone would let every newly claimed
// chunk of an early job overtake a chunk of a later one, for ever.
func (o *ordering) compare(a *task, ac *heldChunk, b *task, bc *heldChunk) int {
	return cmp.Or(
		cmp.Compare(a.attempts, b.attempts),
		-cmp.Compare(o.work.urgency(ac, o.now), o.work.urgency(bc, o.now)),
		cmp.Compare(o.running[ac.organisation], o.running[bc.organisation]),
		cmp.Compare(ac.order, bc.order),
		-cmp.Compare(resumable(a), resumable(b)),
		cmp.Compare(a.item.Number, b.item.Number),
	)
}

// urgency is how far a chunk is into the time in which it goes ahead of others.
func (w *workset) urgency(c *heldChunk, now time.Time) time.Duration {
	return max(0, w.urgent-c.deadline.Sub(now))
}

func resumable(t *task) int {
	if t.item.Resume == nil {
		return 0
	}
	return 1
}

func (w *workset) find(item Item) (*heldChunk, *task) {
	c := w.chunks[item.ChunkID]
	if c == nil {
		return nil, nil
	}
	return c, c.tasks[item.Number]
}

// reported notes that an item has a result on its way to the log.
func (w *workset) reported(item Item) {
	if _, t := w.find(item); t != nil {
		t.state = taskReported
		t.stop = nil
		// The input is not needed any more; the result may wait for long.
		t.item.Body = nil
		t.item.Resume = nil
	}
}

// requeue puts an item back after a run without a result. An item of a lost
// claim is dropped: its chunk's holder runs it.
func (w *workset) requeue(item Item, attempts int, notBefore time.Time, resume *Resume) {
	c, t := w.find(item)
	if t == nil {
		return
	}
	t.state = taskWaiting
	t.stop = nil
	t.attempts = attempts
	t.notBefore = notBefore
	t.item.Resume = resume
	if c.lost {
		delete(c.tasks, item.Number)
		w.dropIfDone(c)
	}
}

// settled notes that results of a chunk stand in the log.
func (w *workset) settled(id ledger.ChunkID, numbers []int) {
	c := w.chunks[id]
	if c == nil {
		return
	}
	for _, number := range numbers {
		delete(c.tasks, number)
	}
	w.dropIfDone(c)
}

func (w *workset) dropIfDone(c *heldChunk) {
	if len(c.tasks) == 0 {
		delete(w.chunks, c.id)
	}
}

// agreed is what the ledger says of a held chunk.
type agreed struct {
	// ended says that the job has ended or is not known.
	ended bool
	// held says that the claim stands.
	held bool
	won  ledger.Bitmap
}

// reconcile follows the ledger: runs of ended jobs are cancelled, nothing
// starts of a chunk whose claim is gone, nor an item that has its result.
func (w *workset) reconcile(id ledger.ChunkID, now agreed) {
	c := w.chunks[id]
	if c == nil {
		return
	}
	c.lost = !now.held
	if now.ended {
		delete(w.told, id.Job)
	}
	for number, t := range c.tasks {
		if now.ended && t.state == taskRunning {
			t.stop(errJobEnded)
		}
		drop := now.ended || c.lost || now.won.Has(number)
		if drop && t.state == taskWaiting {
			delete(c.tasks, number)
		}
	}
	w.dropIfDone(c)
}

// stopAll cancels every run.
func (w *workset) stopAll(cause error) {
	for _, c := range w.chunks {
		for _, t := range c.tasks {
			if t.state == taskRunning {
				t.stop(cause)
			}
		}
	}
}
