package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// score returns the rendezvous hash weight of a session for a task.
func score(task string, session protocol.SessionID) uint64 {
	buffer := make([]byte, 0, len(task)+8)
	buffer = append(buffer, task...)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(session))
	return xxhash.Sum64(buffer)
}

// Rank returns the position of own in the rendezvous hash order of the candidates
// for a task; 0 is first. An outdated list of candidates costs a second attempt or
// a delay but never correctness, because replay decides which record is accepted.
func Rank(task string, own protocol.SessionID, candidates []protocol.SessionID) int {
	ownScore := score(task, own)
	rank := 0
	for _, other := range candidates {
		otherScore := score(task, other)
		if otherScore > ownScore || otherScore == ownScore && other > own {
			rank++
		}
	}
	return rank
}
