package batch

import (
	"context"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// watcher is the duty that follows the ledger for the chunks held here: a
// cancelled job stops at the next applied frame, and a lost claim starts
// nothing more.
type watcher struct{ *Executor }

// String names the duty.
func (w *watcher) String() string { return "batch watcher" }

// Serve reconciles after every applied frame, until ctx ends.
func (w *watcher) Serve(ctx context.Context) error {
	for {
		changed := w.journal.Changed()
		w.reconcile()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reconcile follows the ledger for every held chunk.
func (e *Executor) reconcile() {
	var ids []ledger.ChunkID
	e.inspect(func(work *workset) { ids = work.ids() })
	if len(ids) == 0 {
		return
	}
	session := e.journal.Session()
	states := make([]agreed, len(ids))
	e.journal.View(func(state *replica.State) {
		for i, id := range ids {
			states[i] = agreedOn(state, id, session)
		}
	})
	e.update(func(work *workset) {
		for i, id := range ids {
			work.reconcile(id, states[i])
		}
	})
}

func agreedOn(state *replica.State, id ledger.ChunkID, session protocol.SessionID) agreed {
	job, known := state.Ledger.Job(id.Job)
	if !known || job.Status != ledger.InProgress {
		return agreed{ended: true}
	}
	chunk, _ := state.Ledger.Chunk(id)
	return agreed{held: session != 0 && chunk.Holder == session, won: chunk.Finished}
}
