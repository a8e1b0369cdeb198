package faulttest

import (
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

func (w *world) held(n *node) (chunks []ledger.ChunkID) {
	session := n.Session()
	n.View(func(state *replica.State) { chunks = state.Ledger.HeldBy(session) })
	return chunks
}
