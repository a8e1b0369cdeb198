package batch

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// hasPlaces says that some batch item could run at this instance.
//
// What goes wrong without it: an instance that feeds no target claims chunks
// all the same, and its job never ends although other instances are idle.
func (e *Executor) hasPlaces() bool { return e.places() > 0 }

// places counts the places for batch items at this instance.
func (e *Executor) places() (count int) {
	for name, service := range e.journal.Fleet().Services {
		if service.Repeatable {
			count += e.slots.Capacity(name)
		}
	}
	return count
}

// giveBack releases the chunks for which this instance has had no place for
// some time, because its targets died, left, or got another feeder.
func (c *claimer) giveBack(ctx context.Context) {
	if !c.journal.MayHold() || !c.journal.LogUp() {
		return
	}
	var stranded []ledger.ChunkID
	// Not update: noting the time must not wake the duties, or they would spin.
	c.inspect(func(w *workset) {
		stranded = w.stranded(time.Now(), c.opts.GiveBackAfter, c.service, c.slots.Capacity)
	})
	if len(stranded) == 0 {
		return
	}
	counters.Add("given_back", int64(len(stranded)))
	// Results first, or the next holder runs their items again.
	c.flush(ctx)
	c.releaseChunks(ctx, stranded)
}

// stranded lists the chunks that have items to start, of which nothing runs and
// nothing could have started since a time.
func (w *workset) stranded(now time.Time, after time.Duration, of services, places func(protocol.ServiceName) int) []ledger.ChunkID {
	var out []ledger.ChunkID
	for id, c := range w.chunks {
		switch {
		case c.lost || c.canProgress(of, places):
			c.strandedSince = time.Time{}
		case c.strandedSince.IsZero():
			c.strandedSince = now
		case now.Sub(c.strandedSince) >= after:
			out = append(out, id)
		}
	}
	return out
}

// canProgress says that an item of the chunk runs or could start here, or that
// none is left to start. Results that wait to be appended are no progress of the
// items beside them: those would wait as long as the results may.
func (c *heldChunk) canProgress(of services, places func(protocol.ServiceName) int) bool {
	waiting := false
	for _, t := range c.tasks {
		switch t.state {
		case taskRunning:
			return true
		case taskWaiting:
			waiting = true
			if name, known := of(t.item.Model); !known || places(name) > 0 {
				return true
			}
		}
	}
	return !waiting
}
