package batch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
	"merlintiller/internal/state/replica"
)

// lister is the part of the session table that the duties use.
type lister interface {
	state.Sessions
	OpenIDs() []protocol.SessionID
}

func openIDs(st *replica.State) []protocol.SessionID {
	table, ok := any(st.Sessions).(lister)
	if !ok {
		return nil
	}
	return table.OpenIDs()
}

func sessionsOf(st *replica.State) state.Sessions {
	table, ok := any(st.Sessions).(state.Sessions)
	if !ok {
		return allOpen{}
	}
	return table
}

type allOpen struct{}

func (allOpen) Open(protocol.SessionID) bool { return true }

func openSessions(st *replica.State) int { return len(openIDs(st)) }

// rank is the place of a session among the open ones for a duty on a job, by
// rendezvous hash: the first acts at once, the next only if it has not. All
// may act, since replay accepts the first; ranking saves their appends.
func rank(open []protocol.SessionID, own protocol.SessionID, job protocol.JobID) int {
	ordered := slices.Clone(open)
	slices.SortFunc(ordered, func(a, b protocol.SessionID) int {
		return cmp.Or(cmp.Compare(affinity(b, job), affinity(a, job)), cmp.Compare(a, b))
	})
	return max(0, slices.Index(ordered, own))
}

func affinity(session protocol.SessionID, job protocol.JobID) uint64 {
	return xxhash.Sum64String(session.String() + "/" + string(job))
}
