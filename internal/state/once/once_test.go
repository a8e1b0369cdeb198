package once

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/protocol"
)

type openSessions map[protocol.SessionID]bool

func (o openSessions) Open(id protocol.SessionID) bool { return o[id] }

var key = protocol.CallKey{Organisation: "dobrescu", Key: "swap-17"}

func reserve(id string) protocol.Record {
	return protocol.Record{
		ID:          protocol.RecordID{Session: 1},
		CallReserve: &protocol.CallReserve{Call: key, ID: protocol.CallID(id), BodyHash: 9, At: time.Unix(50, 0).UTC()},
	}
}

func outcome(id string, status int) protocol.Record {
	return protocol.Record{CallOutcome: &protocol.CallOutcome{Call: key, ID: protocol.CallID(id), Status: status, Data: 7}}
}

func release(id string) protocol.Record {
	return protocol.Record{CallRelease: &protocol.CallRelease{Call: key, ID: protocol.CallID(id)}}
}

func apply(t *Table, at protocol.Offset, rec protocol.Record) protocol.Verdict {
	return t.Apply(at, &rec, openSessions{1: true})
}

// A caller resends a swap request through another instance while the first request
// is in flight. Sending both would swap twice, so only the first reservation may
// be accepted.
func TestFirstReservationWins(t *testing.T) {
	table := New()
	require.Equal(t, protocol.Accepted, apply(table, 0, reserve("a")))
	require.Equal(t, protocol.AlreadyHeld, apply(table, 1, reserve("b")))
	call, found := table.Call(key)
	require.True(t, found)
	require.True(t, call.ReservedFor("a"))
	require.EqualValues(t, 9, call.BodyHash)
	require.EqualValues(t, 1, call.Session)
}

// An instance whose reservation was rejected writes an outcome or a release. The
// record must not change the reservation that was accepted.
func TestOnlyReservedDispatchMaySettle(t *testing.T) {
	table := New()
	apply(table, 0, reserve("a"))
	require.Equal(t, protocol.NotHolder, apply(table, 1, outcome("b", 200)))
	require.Equal(t, protocol.NotHolder, apply(table, 2, release("b")))
	require.Equal(t, protocol.Accepted, apply(table, 3, outcome("a", 200)))
	require.Equal(t, protocol.AlreadyEnded, apply(table, 4, outcome("a", 500)))
	call, _ := table.Call(key)
	require.EqualValues(t, 200, call.Status)
}

// A release arrives after the outcome of its call. Releasing the call would allow
// a resend to run it again.
func TestSettledCallIsNotReleased(t *testing.T) {
	table := New()
	apply(table, 0, reserve("a"))
	apply(table, 1, outcome("a", 0))
	require.Equal(t, protocol.AlreadyEnded, apply(table, 2, release("a")))
	require.Equal(t, protocol.AlreadyHeld, apply(table, 3, reserve("c")))
}

// A target refused the connection, so the call certainly did not run. A resend
// must be able to reserve it again.
func TestReleasedCallMayBeReservedAgain(t *testing.T) {
	table := New()
	apply(table, 0, reserve("a"))
	require.Equal(t, protocol.Accepted, apply(table, 1, release("a")))
	require.Equal(t, protocol.UnknownSubject, apply(table, 2, release("a")))
	require.Equal(t, protocol.Accepted, apply(table, 3, reserve("b")))
}

// Old reservations are deleted to bound memory. A reservation whose call may still
// be in flight must stay, or a resend would run at the same time.
func TestCallInFlightIsNotForgotten(t *testing.T) {
	table := New()
	apply(table, 0, reserve("a"))
	require.EqualValues(t, 0, table.LastReservedBefore(time.Unix(51, 0)))
	require.EqualValues(t, protocol.NoOffset, table.LastReservedBefore(time.Unix(50, 0)))
	forget := protocol.Record{CallForget: &protocol.CallForget{UpTo: 0}}
	require.Equal(t, protocol.UnknownSubject, apply(table, 1, forget))
	apply(table, 2, outcome("a", 200))
	require.Equal(t, protocol.Accepted, apply(table, 3, forget))
	require.Zero(t, table.Len())
}

// The reserving instance crashed while the call was in flight. The reservation must
// be deleted when its retention is over, and not earlier.
func TestUnsettledCallOfAnEndedSessionIsForgotten(t *testing.T) {
	table := New()
	apply(table, 5, reserve("a"))
	early := protocol.Record{CallForget: &protocol.CallForget{UpTo: 4}}
	require.Equal(t, protocol.UnknownSubject, table.Apply(6, &early, openSessions{}))
	due := protocol.Record{CallForget: &protocol.CallForget{UpTo: 5}}
	require.Equal(t, protocol.Accepted, table.Apply(7, &due, openSessions{}))
	require.Zero(t, table.Len())
}

// Several instances write reservations, outcomes and releases in any order. A key
// must have at most one dispatch at a time, and none after an outcome. A table
// restored from a snapshot at any offset must give the same verdicts as the
// original.
func TestOneDispatchPerKeyInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		snapshotAt := rapid.IntRange(0, 30).Draw(t, "snapshotAt")
		var restored *Table
		winner, settled := protocol.CallID(""), false
		for at := range protocol.Offset(30) {
			if int(at) == snapshotAt {
				restored = Restore(roundTrip(t, table.Snapshot()))
			}
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			rec := rapid.SampledFrom([]protocol.Record{reserve(id), outcome(id, 200), release(id)}).Draw(t, "record")
			verdict := apply(table, at, rec)
			if restored != nil {
				require.Equal(t, verdict, apply(restored, at, rec))
			}
			if verdict != protocol.Accepted {
				continue
			}
			require.False(t, settled)
			switch {
			case rec.CallReserve != nil:
				require.Empty(t, winner)
				winner = protocol.CallID(id)
			case rec.CallOutcome != nil:
				require.EqualValues(t, winner, id)
				settled = true
			case rec.CallRelease != nil:
				require.EqualValues(t, winner, id)
				winner = ""
			}
		}
		if restored != nil {
			require.Equal(t, table.Snapshot(), restored.Snapshot())
		}
	})
}

// Two organisations use the same key, or keys that are equal once organisation and
// key are joined. Confusing them would return a response to another organisation.
func TestKeysOfOrganisationsAreDistinct(t *testing.T) {
	table := New()
	for _, key := range []protocol.CallKey{{Organisation: "a", Key: "b/c"}, {Organisation: "a/b", Key: "c"}, {Organisation: "x", Key: "b/c"}} {
		rec := reserve("id")
		rec.CallReserve.Call = key
		require.Equal(t, protocol.Accepted, apply(table, 0, rec))
	}
}

func roundTrip(t require.TestingT, s Snapshot) Snapshot {
	data, err := protocol.Marshal(s)
	require.NoError(t, err)
	var decoded Snapshot
	require.NoError(t, protocol.Unmarshal(data, &decoded))
	return decoded
}
