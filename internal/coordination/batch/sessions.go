package batch

import (
	"merlintiller/internal/coordination/member"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// openSessions lists the ids of all open sessions.
func openSessions(st *replica.State) []protocol.SessionID {
	infos := st.Sessions.All()
	ids := make([]protocol.SessionID, len(infos))
	for i := range infos {
		ids[i] = infos[i].Session
	}
	return ids
}

// rank is the position of a session in the order in which the open sessions act
// on a job: the session with rank 0 acts immediately, the others only if it has
// not. Replay accepts one record even if all of them act, so the ranking only
// saves appends.
func rank(open []protocol.SessionID, own protocol.SessionID, job protocol.JobID) int {
	return member.Rank("batch/"+string(job), own, open)
}
