// Package access authenticates requests by the caller's key.
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

// Caller identifies the key and the organisation of a request.
type Caller struct {
	Key          protocol.KeyID
	Organisation protocol.OrganisationID
}

// Keys authenticates callers against the keys in the configuration in force. It is
// safe for concurrent use.
type Keys struct {
	fleet   func() *protocol.Fleet
	current atomic.Pointer[index]
	build   sync.Mutex
}

// New returns Keys that use the configuration returned by fleet. fleet must return a
// new pointer whenever a key was added or withdrawn, because the index of keys is
// rebuilt only when the pointer changes.
func New(fleet func() *protocol.Fleet) *Keys {
	return &Keys{fleet: fleet}
}

type hash [sha256.Size]byte

// index maps hashes of secrets to keys. It is built once per configuration.
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
		// If two keys have the same secret, the withdrawn one is used: a second
		// key with the secret must not undo the withdrawal.
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

// BearerToken returns the bearer token in an Authorization header, empty if there is
// none.
func BearerToken(authorization string) string {
	if len(authorization) < len(bearer) || !strings.EqualFold(authorization[:len(bearer)], bearer) {
		return ""
	}
	return strings.TrimSpace(authorization[len(bearer):])
}

// Authenticate returns the caller that a secret belongs to. It looks up the SHA-256
// of the secret, so its timing reveals nothing about how close a guess is.
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

// Active reports whether requests with a key may be served: the key is known and
// not withdrawn, and its organisation is configured.
func (k *Keys) Active(id protocol.KeyID) bool {
	fleet := k.fleet()
	key, ok := fleet.Keys[id]
	if !ok || key.Withdrawn {
		return false
	}
	_, ok = fleet.Organisations[key.Organisation]
	return ok
}
