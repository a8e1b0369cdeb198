package batch

import (
	"context"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// watcher is the background service that applies ledger changes to the held
// chunks: a cancelled job stops at the next applied frame, and no item of a chunk
// starts after its claim is lost.
type watcher struct{ *Executor }

// String returns the name of the service for the supervisor.
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

// reconcile updates every held chunk in the work set from the ledger.
func (e *Executor) reconcile() {
	var ids []ledger.ChunkID
	e.inspect(func(work *workset) { ids = work.ids() })
	if len(ids) == 0 {
		return
	}
	session := e.journal.Session()
	statuses := make([]claimStatus, len(ids))
	e.journal.View(func(state *replica.State) {
		for i, id := range ids {
			statuses[i] = claimStatusOf(state, id, session)
		}
	})
	e.update(func(work *workset) {
		for i, id := range ids {
			work.reconcile(id, statuses[i])
		}
	})
}

// claimStatusOf returns the status of a chunk in the ledger as seen by a session.
func claimStatusOf(state *replica.State, id ledger.ChunkID, session protocol.SessionID) claimStatus {
	job, known := state.Ledger.Job(id.Job)
	if !known || job.Status != ledger.InProgress {
		return claimStatus{ended: true}
	}
	chunk, _ := state.Ledger.Chunk(id)
	return claimStatus{held: session != 0 && chunk.Holder == session, won: chunk.Finished}
}
