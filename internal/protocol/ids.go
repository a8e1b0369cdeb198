package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// InstanceID names one entry instance, as its settings give it. A restarted
// process keeps its InstanceID and gets a new SessionID.
type InstanceID string

// Domain names a failure domain, such as "pnw-sea".
type Domain string

// OrganisationID names a tenant.
type OrganisationID string

// KeyID names a caller's key. It is public, unlike the secret, and is never
// reused, so that a withdrawal needs no order.
type KeyID string

// SecretPrefix begins the secret of every caller's key. Ids never begin with
// it, so that a secret that somebody puts where an id belongs is noticed
// before it is logged or published.
const SecretPrefix = "mt-"

// LooksLikeSecret reports whether a text that should be an id is a secret.
func (id KeyID) LooksLikeSecret() bool { return strings.HasPrefix(string(id), SecretPrefix) }

// TargetID names one model runner or plain service process.
type TargetID string

// ServiceName names a set of interchangeable targets.
type ServiceName string

// ModelName is the name by which callers ask for a model.
type ModelName string

// JobID names a batch job.
type JobID string

// CallID names one online call. The target's answer must echo it.
type CallID string

// SessionID is the incarnation of an instance: a random number that is drawn
// anew whenever an instance opens a session. Zero means "no session".
type SessionID uint64

// String gives the fixed-width hexadecimal form used in logs.
func (s SessionID) String() string {
	return fmt.Sprintf("%016x", uint64(s))
}

// ParseSessionID reads the form that String writes.
func ParseSessionID(text string) (SessionID, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("session id %q: %w", text, err)
	}
	return SessionID(n), nil
}

// Offset is the position of an entry in one stream of the platform's log. The
// first entry has offset 0. The offset of an accepted claim is its fencing
// number: offsets only grow, so a later holder has a larger one.
type Offset int64

// NoOffset marks "nothing read yet".
const NoOffset Offset = -1

// RecordID identifies a control record for duplicate detection. A writer has
// one frame in flight and numbers its records upwards, so replay needs to
// remember only the highest number it saw of each session.
type RecordID struct {
	Session SessionID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
}

// String gives "session/seq".
func (id RecordID) String() string {
	return fmt.Sprintf("%s/%d", id.Session, id.Seq)
}
