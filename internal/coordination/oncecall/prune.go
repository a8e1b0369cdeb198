package oncecall

import (
	"context"
	"time"

	"merlintiller/internal/coordination/member"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
	"merlintiller/internal/wait"
)

// Pruner is the background service that drops reservations older than
// Options.Retention, so that the memory of every instance stays bounded.
type Pruner struct{ caller *Caller }

// Pruner returns the Pruner of a Caller, to be run by a supervisor.
func (c *Caller) Pruner() *Pruner { return &Pruner{c} }

// String returns the name of the background service.
func (p *Pruner) String() string { return "once-call forgetter" }

// pruneInterval is the time between two checks for old reservations.
const pruneInterval = time.Minute

// Serve drops old reservations every pruneInterval until ctx ends.
func (p *Pruner) Serve(ctx context.Context) error {
	return wait.Every(ctx, pruneInterval, func() { p.prune(ctx) })
}

// prune submits a record that drops the old reservations. To avoid duplicate
// records, only the instance whose session ranks first does so.
func (p *Pruner) prune(ctx context.Context) {
	c := p.caller
	session := c.journal.Session()
	if session == 0 || !c.journal.LogUp() {
		return
	}
	lastExpired := protocol.NoOffset
	isPruner := false
	c.journal.View(func(state *replica.State) {
		lastExpired = state.Once.LastReservedBefore(time.Now().Add(-c.opts.Retention))
		isPruner = member.Rank("oncecall/forget", session, openSessionIDs(state)) == 0
	})
	if lastExpired == protocol.NoOffset || !isPruner {
		return
	}
	c.journal.Submit(ctx, protocol.Record{CallForget: &protocol.CallForget{UpTo: lastExpired}})
}

func openSessionIDs(state *replica.State) []protocol.SessionID {
	infos := state.Sessions.All()
	ids := make([]protocol.SessionID, len(infos))
	for i := range infos {
		ids[i] = infos[i].Session
	}
	return ids
}
