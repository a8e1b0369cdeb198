package lease

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

func claim(t *Table, at protocol.Offset, session protocol.SessionID, resource protocol.Resource, replaces protocol.Offset) protocol.Verdict {
	return t.Apply(at, &protocol.Record{
		ID:         protocol.RecordID{Session: session},
		LeaseClaim: &protocol.LeaseClaim{Resource: resource, Replaces: replaces},
	}, nil)
}

func release(t *Table, session protocol.SessionID, resource protocol.Resource) protocol.Verdict {
	return t.Apply(99, &protocol.Record{
		ID:           protocol.RecordID{Session: session},
		LeaseRelease: &protocol.LeaseRelease{Resource: resource},
	}, nil)
}

// Two instances claim the same target. Only one of them may obtain it, and its
// fencing number must be larger than those of all earlier holders.
func TestOneHolderAndIncreasingFence(t *testing.T) {
	s := New()
	require.Equal(t, protocol.Accepted, claim(s, 3, 1, "r", protocol.NoOffset))
	require.Equal(t, protocol.AlreadyHeld, claim(s, 4, 2, "r", protocol.NoOffset))
	require.Equal(t, protocol.NotHolder, release(s, 2, "r"))
	s.SessionEnded(5, 1)
	_, _, held := s.Holder("r")
	require.False(t, held)
	require.Equal(t, protocol.Accepted, claim(s, 6, 2, "r", 3))
	session, fence, held := s.Holder("r")
	require.True(t, held)
	require.EqualValues(t, 2, session)
	require.EqualValues(t, 6, fence)
}

// A claimer's view shows no earlier holder, but meanwhile another instance held the
// resource and crashed. At a target that doesn't check fencing numbers, the
// claimer would not wait until the last order of the crashed holder is over.
func TestClaimFromAnOutdatedViewIsRejected(t *testing.T) {
	s := New()
	claim(s, 3, 1, "r", protocol.NoOffset)
	s.SessionEnded(4, 1)
	require.Equal(t, protocol.Conflict, claim(s, 5, 2, "r", protocol.NoOffset))
	require.Equal(t, protocol.Accepted, claim(s, 6, 2, "r", 3))
	require.Equal(t, protocol.Accepted, release(s, 2, "r"))
	require.Equal(t, protocol.Accepted, claim(s, 7, 3, "r", protocol.NoOffset))
}

func TestListsBySessionAndPrefix(t *testing.T) {
	s := New()
	claim(s, 1, 1, "orders/b", protocol.NoOffset)
	claim(s, 2, 1, "orders/a", protocol.NoOffset)
	claim(s, 3, 2, "other", protocol.NoOffset)
	require.EqualValues(t, "orders/a", s.Held(1)[0].Resource)
	require.Len(t, s.WithPrefix("orders/"), 2)
	s.SessionEnded(4, 1)
	require.Empty(t, s.WithPrefix("orders/"))
	require.Empty(t, s.Held(1))
}

func TestEndedLeasesAreBounded(t *testing.T) {
	s := New()
	for i := range MaxEnded + 5 {
		session := protocol.SessionID(i + 1)
		resource := protocol.Resource(fmt.Sprintf("r%06d", MaxEnded+5-i))
		claim(s, protocol.Offset(2*i), session, resource, protocol.NoOffset)
		s.SessionEnded(protocol.Offset(2*i+1), session)
	}
	require.Len(t, s.Snapshot().Leases, MaxEnded)
	_, first := s.Last(protocol.Resource(fmt.Sprintf("r%06d", MaxEnded+5)))
	require.False(t, first, "the lease that ended first must be evicted first")
	require.Equal(t, s.Snapshot(), Restore(s.Snapshot()).Snapshot())
}
