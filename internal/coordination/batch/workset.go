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

// taskState is the state of an item of a held chunk.
type taskState int

const (
	taskWaiting taskState = iota
	taskRunning
	// taskResultQueued: the item has a result that waits to be appended.
	taskResultQueued
)

// task is an item of a held chunk that has no result yet.
type task struct {
	item  Item
	state taskState
	// attempts is the number of failed runs. Tasks with fewer failed runs start
	// first.
	attempts int
	// notBefore is the earliest time of the next run.
	notBefore time.Time
	// stop cancels the run with the given cause, such as errJobEnded.
	stop context.CancelCauseFunc
}

// heldChunk is a chunk that this instance has claimed.
type heldChunk struct {
	id           ledger.ChunkID
	organisation protocol.OrganisationID
	deadline     time.Time
	// claimSeq numbers the claims in order. Chunks run in this order, so that
	// they finish one after another.
	claimSeq int
	// lost reports whether this instance no longer holds the claim. No further
	// item of the chunk starts then; items in flight may finish.
	lost  bool
	tasks map[int]*task
	// stalledSince is the time since which no item of the chunk could run on this
	// instance. Zero if the chunk is not stalled.
	stalledSince time.Time
}

// startable reports whether items of the chunk may start. Results after the
// deadline are not accepted, so items don't start then. Items of an organisation
// that was removed from the configuration wait, because the removal may have been
// a mistake.
func (w *workset) startable(c *heldChunk, now time.Time) bool {
	return !c.lost && !w.cancelNoticed[c.id.Job] && c.deadline.After(now) && w.weight(c.organisation) > 0
}

// Causes for the cancellation of a run.
var (
	errJobEnded = errors.New("job ended")
	errRevoked  = errors.New("slot revoked")
	errStopping = errors.New("instance is shutting down")
)

// workset contains the chunks that an executor holds. It does no I/O and is not
// safe for concurrent use; Executor guards it with its mutex.
type workset struct {
	chunks map[ledger.ChunkID]*heldChunk
	// lastClaimSeq is the claimSeq of the chunk added last.
	lastClaimSeq int
	// urgentWithin is the time before its deadline from which a chunk takes
	// precedence over others.
	urgentWithin time.Duration
	// weight returns the weight of an organisation in fair sharing, 0 if the
	// organisation is not configured.
	weight func(protocol.OrganisationID) float64
	// cancelNoticed contains jobs for which this instance received a cancel notice
	// and has not read the cancel from the log yet.
	cancelNoticed map[protocol.JobID]bool
}

func newWorkset(urgent time.Duration, weight func(protocol.OrganisationID) float64) *workset {
	return &workset{chunks: map[ledger.ChunkID]*heldChunk{}, urgentWithin: urgent, weight: weight, cancelNoticed: map[protocol.JobID]bool{}}
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

// add adds a claimed chunk. Items that are still running under an earlier claim of
// the same chunk are not started again.
func (w *workset) add(in loadedChunk) {
	w.lastClaimSeq++
	c := &heldChunk{
		id:           in.id,
		organisation: in.organisation,
		deadline:     in.deadline,
		claimSeq:     w.lastClaimSeq,
		tasks:        map[int]*task{},
	}
	if earlier, exists := w.chunks[in.id]; exists {
		c.tasks = earlier.tasks
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
	w.removeIfDone(c)
}

// serviceResolver returns the service of a model. It reports false for an unknown
// model.
type serviceResolver func(protocol.ModelName) (protocol.ServiceName, bool)

// start marks the first waiting item of a service as running at a target of a software
// version and returns it.
func (w *workset) start(service protocol.ServiceName, version string, now time.Time, resolve serviceResolver, stop context.CancelCauseFunc) (Item, bool) {
	var best *task
	var bestChunk *heldChunk
	order := w.ordering(version, now)
	for _, c := range w.chunks {
		if !w.startable(c, now) {
			continue
		}
		for _, t := range c.tasks {
			if t.state != taskWaiting || t.notBefore.After(now) {
				continue
			}
			if name, known := resolve(t.item.Model); !known || name != service {
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

// ordering compares items by their priority at a given time.
type ordering struct {
	work *workset
	// version is the software version of the target at which the item would run.
	version string
	now     time.Time
	// running is the number of items in flight of each organisation, divided by
	// its weight.
	running map[protocol.OrganisationID]float64
}

func (w *workset) ordering(version string, now time.Time) ordering {
	running := map[protocol.OrganisationID]float64{}
	for _, c := range w.chunks {
		for _, t := range c.tasks {
			if t.state == taskRunning {
				running[c.organisation] += 1 / w.weight(c.organisation)
			}
		}
	}
	return ordering{work: w, version: version, now: now, running: running}
}

// compare orders items by these criteria: fewer failed attempts, more urgent
// chunk, organisation with fewer items in flight relative to its weight, earlier
// claim, partial output that can be resumed before none and before one that can't, item number. With an order by deadline alone,
// every newly claimed chunk of a job with an early deadline would overtake the
// chunks of a job with a later one, which might then never run.
func (o *ordering) compare(a *task, ac *heldChunk, b *task, bc *heldChunk) int {
	return cmp.Or(
		cmp.Compare(a.attempts, b.attempts),
		-cmp.Compare(o.work.urgency(ac, o.now), o.work.urgency(bc, o.now)),
		cmp.Compare(o.running[ac.organisation], o.running[bc.organisation]),
		cmp.Compare(ac.claimSeq, bc.claimSeq),
		-cmp.Compare(o.resumable(a), o.resumable(b)),
		cmp.Compare(a.item.Number, b.item.Number),
	)
}

// urgency is the time that has passed since a chunk became urgent, 0 if it is not
// urgent.
func (w *workset) urgency(c *heldChunk, now time.Time) time.Duration {
	return max(0, w.urgentWithin-c.deadline.Sub(now))
}

// resumable is 1 for a task with partial output that can be resumed at the target, -1 for one
// whose partial output would be lost there, and 0 for any other, for use in comparisons.
func (o *ordering) resumable(t *task) int {
	switch {
	case t.item.Resume == nil:
		return 0
	case t.item.Resume.Version == o.version:
		return 1
	default:
		return -1
	}
}

// find returns the held chunk and the task of an item, nil if absent.
func (w *workset) find(item Item) (*heldChunk, *task) {
	c := w.chunks[item.ChunkID]
	if c == nil {
		return nil, nil
	}
	return c, c.tasks[item.Number]
}

// resultQueued marks an item as having a result that is not in the log yet.
func (w *workset) resultQueued(item Item) {
	if _, t := w.find(item); t != nil {
		t.state = taskResultQueued
		t.stop = nil
		// The input is no longer needed. Free its memory, because the result may
		// wait for minutes.
		t.item.Body = nil
		t.item.Resume = nil
	}
}

// requeue returns an item to the waiting state after a run without a result. If
// the claim is lost, the item is removed instead, because the new holder of the
// chunk runs it.
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
		w.removeIfDone(c)
	}
}

// recorded removes items whose results are in the log.
func (w *workset) recorded(id ledger.ChunkID, numbers []int) {
	c := w.chunks[id]
	if c == nil {
		return
	}
	for _, number := range numbers {
		delete(c.tasks, number)
	}
	w.removeIfDone(c)
}

// removeIfDone removes a chunk without remaining tasks.
func (w *workset) removeIfDone(c *heldChunk) {
	if len(c.tasks) == 0 {
		delete(w.chunks, c.id)
	}
}

// claimStatus is the status of a held chunk in the ledger.
type claimStatus struct {
	// ended reports whether the job has ended or is unknown.
	ended bool
	// held reports whether this instance holds the claim.
	held bool
	// won contains the items that have a result.
	won ledger.Bitmap
}

// reconcile applies the status of a chunk in the ledger. It cancels the runs of an
// ended job. It removes the waiting items of an ended job or a lost claim, and
// waiting items that already have a result.
func (w *workset) reconcile(id ledger.ChunkID, status claimStatus) {
	c := w.chunks[id]
	if c == nil {
		return
	}
	c.lost = !status.held
	if status.ended {
		delete(w.cancelNoticed, id.Job)
	}
	for number, t := range c.tasks {
		if status.ended && t.state == taskRunning {
			t.stop(errJobEnded)
		}
		obsolete := status.ended || c.lost || status.won.Has(number)
		if obsolete && t.state == taskWaiting {
			delete(c.tasks, number)
		}
	}
	w.removeIfDone(c)
}

// stopAll cancels all runs.
func (w *workset) stopAll(cause error) {
	for _, c := range w.chunks {
		for _, t := range c.tasks {
			if t.state == taskRunning {
				t.stop(cause)
			}
		}
	}
}
