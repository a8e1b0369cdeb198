package oncecall

import (
	"context"
	"time"

	"merlintiller/internal/coordination/member"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
	"merlintiller/internal/wait"
)

// Forgetter is the duty that drops reservations whose time is over, so that
// the memory of every instance stays bounded.
type Forgetter struct{ caller *Caller }

// Pruner returns the duty of a Caller, for the supervisor.
func (c *Caller) Pruner() *Forgetter { return &Forgetter{c} }

// String names the duty.
func (f *Forgetter) String() string { return "once-call forgetter" }

// forgetEvery is the time between two looks for old reservations.
const forgetEvery = time.Minute

// Serve looks for old reservations until ctx ends.
func (f *Forgetter) Serve(ctx context.Context) error {
	return wait.Every(ctx, forgetEvery, func() { f.pass(ctx) })
}

func (f *Forgetter) pass(ctx context.Context) {
	c := f.caller
	session := c.journal.Session()
	if session == 0 || !c.journal.LogUp() {
		return
	}
	last := protocol.NoOffset
	first := false
	c.journal.View(func(state *replica.State) {
		last = state.Once.LastBefore(time.Now().Add(-c.opts.Retention))
		first = member.Rank("oncecall/forget", session, openIDs(state)) == 0
	})
	if last == protocol.NoOffset || !first {
		return
	}
	c.journal.Submit(ctx, protocol.Record{CallForget: &protocol.CallForget{UpTo: last}})
}

func openIDs(state *replica.State) []protocol.SessionID {
	infos := state.Sessions.All()
	ids := make([]protocol.SessionID, len(infos))
	for i := range infos {
		ids[i] = infos[i].Session
	}
	return ids
}
