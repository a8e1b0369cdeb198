package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// score is the weight of a session for a duty in rendezvous hashing.
func score(duty string, session protocol.SessionID) uint64 {
	buffer := make([]byte, 0, len(duty)+8)
	buffer = append(buffer, duty...)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(session))
	return xxhash.Sum64(buffer)
}

// Rank is the place of a session in the order that rendezvous hashing gives
// the candidates for a duty; 0 is first. A wrong view of the candidates costs a
// second try or a delay, never correctness: replay decides.
func Rank(duty string, own protocol.SessionID, candidates []protocol.SessionID) int {
	mine := score(duty, own)
	rank := 0
	for _, other := range candidates {
		theirs := score(duty, other)
		if theirs > mine || theirs == mine && other > own {
			rank++
		}
	}
	return rank
}
