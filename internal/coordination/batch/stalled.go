package batch

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// hasSlots reports whether a batch item could run on this instance.
//
// Without this check, an instance to which no target is assigned would claim
// chunks too, and their job would never end although other instances are idle.
func (e *Executor) hasSlots() bool { return e.slotCount() > 0 }

// slotCount returns the number of slots for batch items on this instance.
func (e *Executor) slotCount() (count int) {
	for name, service := range e.journal.Fleet().Services {
		if service.Repeatable {
			count += e.slots.Capacity(name)
		}
	}
	return count
}

// releaseStalled releases the chunks for whose items this instance has had no slot
// during the last ReleaseAfter, because its targets failed, left, or were assigned
// to another instance.
func (c *claimer) releaseStalled(ctx context.Context) {
	if !c.journal.MayHold() || !c.journal.LogUp() {
		return
	}
	var stalled []ledger.ChunkID
	// stalled sets stalledSince in the work set. This must not use update, which
	// would wake the background services and cause a busy loop.
	c.inspect(func(w *workset) {
		stalled = w.stalled(time.Now(), c.opts.ReleaseAfter, c.serviceFor, c.slots.Capacity)
	})
	if len(stalled) == 0 {
		return
	}
	counters.Add("given_back", int64(len(stalled)))
	// Append the results first, or the next holder runs their items again.
	c.flush(ctx)
	c.releaseChunks(ctx, stalled)
}

// stalled returns the chunks that have waiting items and have not been able to
// make progress for the duration after. It records when a chunk stalls.
func (w *workset) stalled(now time.Time, after time.Duration, resolve serviceResolver, slots func(protocol.ServiceName) int) []ledger.ChunkID {
	var out []ledger.ChunkID
	for id, c := range w.chunks {
		switch {
		case c.lost || c.canProgress(resolve, slots):
			c.stalledSince = time.Time{}
		case c.stalledSince.IsZero():
			c.stalledSince = now
		case now.Sub(c.stalledSince) >= after:
			out = append(out, id)
		}
	}
	return out
}

// canProgress reports whether an item of the chunk is running or could start on
// this instance, or whether no item is waiting. A result that waits to be appended
// does not count as progress, or waiting items of the same chunk would wait as
// long as the result.
func (c *heldChunk) canProgress(resolve serviceResolver, slots func(protocol.ServiceName) int) bool {
	waiting := false
	for _, t := range c.tasks {
		switch t.state {
		case taskRunning:
			return true
		case taskWaiting:
			waiting = true
			if name, known := resolve(t.item.Model); !known || slots(name) > 0 {
				return true
			}
		}
	}
	return !waiting
}
