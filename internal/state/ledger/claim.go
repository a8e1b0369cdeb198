package ledger

import (
	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// claim decides each chunk by itself. The record is accepted if at least one
// chunk was taken; HeldBy tells which.
func (l *Ledger) claim(by protocol.SessionID, body *protocol.ChunkClaim, sessions state.Sessions) protocol.Verdict {
	j, verdict := l.open(body.Job)
	if j == nil {
		return verdict
	}
	taken := 0
	for _, number := range body.Chunks {
		c := j.chunk(number)
		if c == nil || !c.claimable(sessions) {
			continue
		}
		c.holder = by
		taken++
	}
	if taken == 0 {
		return protocol.AlreadyHeld
	}
	return protocol.Accepted
}

// claimable says whether a session may take the chunk. The claim of an ended
// session binds nobody: its holder stopped exclusive work before the session
// could expire, and if it did not, the first result wins all the same.
func (c *chunk) claimable(sessions state.Sessions) bool {
	if c.complete() {
		return false
	}
	return c.holder == 0 || !sessions.Open(c.holder)
}

func (l *Ledger) release(by protocol.SessionID, body *protocol.ChunkRelease) protocol.Verdict {
	j, verdict := l.open(body.Job)
	if j == nil {
		return verdict
	}
	freed := 0
	for _, number := range body.Chunks {
		c := j.chunk(number)
		if c == nil || c.holder != by {
			continue
		}
		c.holder = 0
		freed++
	}
	if freed == 0 {
		return protocol.NotHolder
	}
	return protocol.Accepted
}
