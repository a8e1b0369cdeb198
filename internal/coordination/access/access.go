// Package access tells whose request it is by the key that came with it.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync"
	"sync/atomic"

	"merlintiller/internal/protocol"
)

// Caller is who a request runs for.
type Caller struct {
	Key          protocol.KeyID
	Organisation protocol.OrganisationID
}

// Keys finds callers by their keys in the configuration in force. It is safe
// for concurrent use.
type Keys struct {
	fleet   func() *protocol.Fleet
	current atomic.Pointer[index]
	build   sync.Mutex
}

// New returns the keys of the configuration that fleet gives. fleet must give
// a new pointer whenever a key was added or withdrawn.
func New(fleet func() *protocol.Fleet) *Keys {
	return &Keys{fleet: fleet}
}

type hash [sha256.Size]byte

// index finds keys by hash. It is built once for each configuration.
type index struct {
	fleet  *protocol.Fleet
	byHash map[hash]protocol.Key
}

func newIndex(fleet *protocol.Fleet) *index {
	built := &index{fleet: fleet, byHash: make(map[hash]protocol.Key, len(fleet.Keys))}
	for _, key := range fleet.Keys {
		raw, err := hex.DecodeString(key.SHA256)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		// Of two keys with the same secret the withdrawn one counts: a
		// withdrawal must not be undone by a copy.
		if other, ok := built.byHash[hash(raw)]; ok && other.Withdrawn {
			continue
		}
		built.byHash[hash(raw)] = key
	}
	return built
}

func (k *Keys) index() *index {
	fleet := k.fleet()
	current := k.current.Load()
	if current != nil && current.fleet == fleet {
		return current
	}
	k.build.Lock()
	defer k.build.Unlock()
	if current = k.current.Load(); current == nil || current.fleet != fleet {
		current = newIndex(fleet)
		k.current.Store(current)
	}
	return current
}

const bearer = "Bearer "

// BearerToken is the secret in an Authorization header, empty if there is none.
func BearerToken(authorization string) string {
	if len(authorization) < len(bearer) || !strings.EqualFold(authorization[:len(bearer)], bearer) {
		return ""
	}
	return strings.TrimSpace(authorization[len(bearer):])
}

// Authenticate tells whose secret it is. The lookup goes by the SHA-256 of the
// secret, so its time says nothing of how close a guess was.
func (k *Keys) Authenticate(secret string) (Caller, *protocol.Refusal) {
	if secret == "" {
		return Caller{}, protocol.Refuse(protocol.CodeUnauthorized, 0, "no key: send it as Authorization: Bearer KEY")
	}
	sum := hash(sha256.Sum256([]byte(secret)))
	current := k.index()
	key, ok := current.byHash[sum]
	if !ok || !sameHash(key, sum) {
		return Caller{}, protocol.Refuse(protocol.CodeUnauthorized, 0, "the key is not known")
	}
	if key.Withdrawn {
		return Caller{}, protocol.Refuse(protocol.CodeKeyWithdrawn, 0, "the key was withdrawn")
	}
	if _, ok := current.fleet.Organisations[key.Organisation]; !ok {
		return Caller{}, protocol.Refuse(protocol.CodeForbidden, 0, "the key's organisation is not in service")
	}
	return Caller{Key: key.ID, Organisation: key.Organisation}, nil
}

func sameHash(key protocol.Key, sum hash) bool {
	raw, err := hex.DecodeString(key.SHA256)
	return err == nil && subtle.ConstantTimeCompare(raw, sum[:]) == 1
}

// Active reports whether a key may still be served: it is known, not
// withdrawn, and its organisation is in service.
func (k *Keys) Active(id protocol.KeyID) bool {
	fleet := k.fleet()
	key, ok := fleet.Keys[id]
	if !ok || key.Withdrawn {
		return false
	}
	_, ok = fleet.Organisations[key.Organisation]
	return ok
}
