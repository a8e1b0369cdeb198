package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

func open(t *Table, at protocol.Offset, id protocol.SessionID, instance protocol.InstanceID) protocol.Verdict {
	rec := &protocol.Record{ID: protocol.RecordID{Session: id, Seq: 1}, SessionOpen: &protocol.SessionOpen{Instance: instance}}
	return t.Apply(at, rec, t)
}

func renew(t *Table, at protocol.Offset, id protocol.SessionID) protocol.Verdict {
	return t.Apply(at, &protocol.Record{ID: protocol.RecordID{Session: id}, SessionRenew: &protocol.SessionRenew{}}, t)
}

func expire(t *Table, at protocol.Offset, id protocol.SessionID, last protocol.Offset) protocol.Verdict {
	return t.Apply(at, &protocol.Record{SessionExpire: &protocol.SessionExpire{Session: id, LastRenewal: last}}, t)
}

// An observer's expiry proposal is delayed, and the session is renewed meanwhile.
// The proposal must not end the session.
func TestExpiryFromAnOutdatedViewIsRejected(t *testing.T) {
	s := New()
	require.Equal(t, protocol.Accepted, open(s, 0, 7, "a"))
	require.Equal(t, protocol.Accepted, renew(s, 1, 7))
	require.Equal(t, protocol.Renewed, expire(s, 2, 7, 0))
	require.True(t, s.Open(7))
	require.Equal(t, protocol.Accepted, expire(s, 3, 7, 1))
	require.Equal(t, protocol.AlreadyEnded, expire(s, 4, 7, 1))
	require.Equal(t, protocol.UnknownSubject, expire(s, 5, 8, 1))
	require.Equal(t, protocol.NoSession, renew(s, 6, 7))
}

// A copy of the open record arrives after the session has ended. The session must
// stay ended, or a terminated instance would appear to hold its leases.
func TestEndedSessionIsNotOpenedAgain(t *testing.T) {
	s := New()
	open(s, 0, 7, "a")
	expire(s, 1, 7, 0)
	require.Equal(t, protocol.AlreadyEnded, open(s, 2, 7, "a"))
	require.Equal(t, protocol.Malformed, open(s, 3, 0, "a"))
}

// An instance is restarted before its old session has expired. The old process may
// still be running, so its session must stay open until it expires or is closed.
func TestNewSessionDoesNotEndTheOldOne(t *testing.T) {
	s := New()
	open(s, 0, 7, "a")
	open(s, 1, 8, "a")
	open(s, 2, 9, "b")
	require.Len(t, s.ByInstance("a"), 2)
	require.EqualValues(t, 8, s.ByInstance("a")[1].Session)
	require.Equal(t, protocol.Accepted, s.Apply(3, &protocol.Record{ID: protocol.RecordID{Session: 7}, SessionClose: &protocol.SessionClose{}}, s))
	require.Len(t, s.ByInstance("a"), 1)
}

func TestOldestEndedSessionsAreEvicted(t *testing.T) {
	s := New()
	for i := range MaxEnded + 1 {
		id := protocol.SessionID(i + 1)
		open(s, protocol.Offset(2*i), id, "a")
		expire(s, protocol.Offset(2*i+1), id, protocol.Offset(2*i))
	}
	require.False(t, s.Ended(1))
	require.True(t, s.Ended(2))
	require.Equal(t, s.Snapshot(), Restore(s.Snapshot()).Snapshot())
}
