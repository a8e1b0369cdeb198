package journal

import "merlintiller/internal/protocol"

// keptDigests is the number of latest entries whose digests are kept for
// comparison with a peer's digest. At 100 entries a second they cover 40 s,
// which is longer than a heartbeat takes.
const keptDigests = 4096

// digests maps the offsets of the latest entries to the digest of the state
// after each entry.
type digests map[protocol.Offset]uint64

func (d digests) add(at protocol.Offset, digest uint64) {
	d[at] = digest
	delete(d, at-keptDigests)
}

// Digest returns the offset of the last applied entry and the digest of the
// replayed state.
func (j *Journal) Digest() (protocol.Offset, uint64) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.state.Applied(), j.state.Digest()
}

// DigestAt returns the digest of the state after the entry at an offset. It
// reports false if the offset is not among the latest.
func (j *Journal) DigestAt(at protocol.Offset) (uint64, bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	digest, known := j.digests[at]
	return digest, known
}
