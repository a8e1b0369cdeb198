package journal

import "merlintiller/internal/protocol"

// keptDigests is how many of the latest entries a peer's digest can be compared
// at. At 100 entries a second it reaches back 40 s, longer than a heartbeat
// takes.
const keptDigests = 4096

// digests holds the digests of the latest entries.
type digests map[protocol.Offset]uint64

func (d digests) note(at protocol.Offset, digest uint64) {
	d[at] = digest
	delete(d, at-keptDigests)
}

// Digest returns the position of the replayed state with its digest.
func (j *Journal) Digest() (protocol.Offset, uint64) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.state.Applied(), j.state.Digest()
}

// DigestAt returns the digest that the state had at an offset, if it is one of
// the latest.
func (j *Journal) DigestAt(at protocol.Offset) (uint64, bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	digest, known := j.digests[at]
	return digest, known
}
