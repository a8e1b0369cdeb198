package ledger

import (
	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// claim decides on each chunk of the record separately. The record is accepted
// if the session obtained at least one chunk; HeldBy lists the obtained chunks.
func (l *Ledger) claim(by protocol.SessionID, body *protocol.ChunkClaim, sessions state.Sessions) protocol.Verdict {
	j, verdict := l.runningJob(body.Job)
	if j == nil {
		return verdict
	}
	claimed := 0
	for _, number := range body.Chunks {
		c := j.chunk(number)
		if c == nil || !c.claimable(sessions) {
			continue
		}
		c.holder = by
		claimed++
	}
	if claimed == 0 {
		return protocol.AlreadyHeld
	}
	return protocol.Accepted
}

// claimable reports whether a session may claim the chunk. The claim of an ended
// session does not block other sessions: its holder stopped exclusive work
// before the session could expire. Even if the holder went on, the first result
// of each item wins.
func (c *chunk) claimable(sessions state.Sessions) bool {
	if c.complete() {
		return false
	}
	return c.holder == 0 || !sessions.Open(c.holder)
}

// release frees those of the named chunks that the session holds. The record is
// rejected if the session holds none of them.
func (l *Ledger) release(by protocol.SessionID, body *protocol.ChunkRelease) protocol.Verdict {
	j, verdict := l.runningJob(body.Job)
	if j == nil {
		return verdict
	}
	released := 0
	for _, number := range body.Chunks {
		c := j.chunk(number)
		if c == nil || c.holder != by {
			continue
		}
		c.holder = 0
		released++
	}
	if released == 0 {
		return protocol.NotHolder
	}
	return protocol.Accepted
}
