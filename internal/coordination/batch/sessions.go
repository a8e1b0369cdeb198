package batch

import (
	"merlintiller/internal/coordination/member"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

func openIDs(st *replica.State) []protocol.SessionID {
	infos := st.Sessions.All()
	ids := make([]protocol.SessionID, len(infos))
	for i := range infos {
		ids[i] = infos[i].Session
	}
	return ids
}

// rank is the place of a session among the open ones for a duty on a job: the
// first acts at once, the next only if it has not. All may act, since replay
// accepts one; ranking saves the appends of the others.
func rank(open []protocol.SessionID, own protocol.SessionID, job protocol.JobID) int {
	return member.Rank("batch/"+string(job), own, open)
}
