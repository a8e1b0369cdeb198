package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// InstanceID identifies an entry instance. It comes from the settings: a restarted
// process keeps its InstanceID and gets a new SessionID.
type InstanceID string

// Domain identifies a failure domain, such as "pnw-sea".
type Domain string

// OrganisationID identifies a tenant.
type OrganisationID string

// KeyID identifies a caller's key. Unlike the secret, it is public. It is never reused,
// so that withdrawals can be applied in any order.
type KeyID string

// SecretPrefix is the prefix of the secret of every caller's key. Ids never begin with
// it, so that a secret entered in place of an id is detected before it is logged or
// published.
const SecretPrefix = "mt-"

// LooksLikeSecret reports whether the id begins with SecretPrefix and is therefore a
// secret entered by mistake.
func (id KeyID) LooksLikeSecret() bool { return strings.HasPrefix(string(id), SecretPrefix) }

// TargetID identifies a model runner or plain service process.
type TargetID string

// ServiceName identifies a set of interchangeable targets.
type ServiceName string

// ModelName is the name of a model in callers' requests.
type ModelName string

// JobID identifies a batch job.
type JobID string

// CallID identifies an online call. The target's answer must echo it.
type CallID string

// SessionID identifies an incarnation of an instance. It is a new random number
// whenever an instance opens a session. Zero means "no session".
type SessionID uint64

// String returns the fixed-width hexadecimal form used in logs.
func (s SessionID) String() string {
	return fmt.Sprintf("%016x", uint64(s))
}

// ParseSessionID parses the form that SessionID.String returns.
func ParseSessionID(text string) (SessionID, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("session id %q: %w", text, err)
	}
	return SessionID(n), nil
}

// Offset is the position of an entry in one stream of the platform's log. The
// first entry has offset 0. The offset of an accepted claim is its fencing number:
// offsets only increase, so a later holder has a higher number.
type Offset int64

// NoOffset is the offset before any entry is read.
const NoOffset Offset = -1

// RecordID identifies a control record for duplicate detection. A writer has at most
// one frame in flight and uses increasing sequence numbers, so replay stores only the
// highest sequence number of each session.
type RecordID struct {
	Session SessionID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
}

// String returns "session/seq".
func (id RecordID) String() string {
	return fmt.Sprintf("%s/%d", id.Session, id.Seq)
}
