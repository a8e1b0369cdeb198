package access

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

func hashed(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func fleetOf(keys ...protocol.Key) *protocol.Fleet {
	fleet := &protocol.Fleet{
		Organisations: map[protocol.OrganisationID]protocol.Organisation{"o1": {ID: "o1"}},
		Keys:          map[protocol.KeyID]protocol.Key{},
	}
	for _, key := range keys {
		fleet.Keys[key.ID] = key
	}
	return fleet
}

func TestBearerToken(t *testing.T) {
	for header, want := range map[string]string{
		"Bearer sk-1":   "sk-1",
		"bearer sk-1":   "sk-1",
		"Bearer  sk-1 ": "sk-1",
		"Basic sk-1":    "",
		"Bearer":        "",
		"":              "",
	} {
		require.Equal(t, want, BearerToken(header), header)
	}
}

func TestKeysAuthenticateCallers(t *testing.T) {
	fleet := fleetOf(
		protocol.Key{ID: "k1", Organisation: "o1", SHA256: hashed("s1")},
		protocol.Key{ID: "k2", Organisation: "o1", SHA256: hashed("s2"), Withdrawn: true},
		protocol.Key{ID: "k3", Organisation: "gone", SHA256: hashed("s3")},
		protocol.Key{ID: "k4", Organisation: "o1", SHA256: "not hexadecimal"},
	)
	keys := New(func() *protocol.Fleet { return fleet })
	caller, refusal := keys.Authenticate("s1")
	require.Nil(t, refusal)
	require.Equal(t, Caller{Key: "k1", Organisation: "o1"}, caller)
	for secret, code := range map[string]protocol.Code{
		"":   protocol.CodeUnauthorized,
		"sx": protocol.CodeUnauthorized,
		"s2": protocol.CodeKeyWithdrawn,
		"s3": protocol.CodeForbidden,
	} {
		_, refusal := keys.Authenticate(secret)
		require.Equal(t, code, refusal.Code, secret)
		require.Equal(t, protocol.NotRun, refusal.Run)
	}
	require.True(t, keys.Active("k1"))
	for _, id := range []protocol.KeyID{"k2", "k3", "kx"} {
		require.False(t, keys.Active(id), id)
	}
}

// A secret is configured under two key ids, one of them withdrawn. Whether the
// secret still works must not depend on the iteration order of the map of keys.
func TestWithdrawnSecretStaysRefusedUnderAnotherID(t *testing.T) {
	for i := range 50 {
		fleet := fleetOf(
			protocol.Key{ID: protocol.KeyID(fmt.Sprint("a", i)), Organisation: "o1", SHA256: hashed("s")},
			protocol.Key{ID: "k", Organisation: "o1", SHA256: hashed("s"), Withdrawn: true},
			protocol.Key{ID: "z", Organisation: "o1", SHA256: hashed("s")},
		)
		_, refusal := New(func() *protocol.Fleet { return fleet }).Authenticate("s")
		require.Equal(t, protocol.CodeKeyWithdrawn, refusal.Code)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	fleet := fleetOf()
	for i := range 10_000 {
		id := protocol.KeyID(fmt.Sprint("k", i))
		fleet.Keys[id] = protocol.Key{ID: id, Organisation: "o1", SHA256: hashed(fmt.Sprint("s", i))}
	}
	keys := New(func() *protocol.Fleet { return fleet })
	for b.Loop() {
		_, _ = keys.Authenticate("s77")
	}
}
