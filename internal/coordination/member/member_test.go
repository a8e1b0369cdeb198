package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/session"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// The answer to a renewal takes long. Observers may have read the renewal soon
// after it was sent, so the holder's time must run from the sending; counted
// from the answer, it would still work when another has taken over.
func TestHoldTimeRunsFromTheSending(t *testing.T) {
	h := NewHolder(DefaultTimings())
	h.Opened(1, start)
	require.True(t, h.MayHold(after(5*time.Second)))
	require.False(t, h.MayHold(after(6*time.Second)))
	h.Renewed(1, after(2*time.Second))
	require.True(t, h.MayHold(after(7*time.Second)))
	require.False(t, h.MayHold(after(8*time.Second)))
	h.Renewed(1, after(time.Second))
	require.True(t, h.MayHold(after(7*time.Second)), "an older confirmation took time away")
	h.Renewed(2, after(20*time.Second))
	require.False(t, h.MayHold(after(20*time.Second)), "another session's renewal counted")
}

// A whole machine is suspended with its monotonic clock and set going again.
// Only the wall clock, which the host corrects, shows how long that was.
func TestSuspendedMachineStopsHolding(t *testing.T) {
	h := NewHolder(DefaultTimings())
	sent := time.Now()
	h.Opened(1, sent)
	require.True(t, h.MayHold(sent.Add(time.Second)))
	wallOnly := sent.Round(0).Add(time.Minute)
	require.False(t, h.MayHold(wallOnly))
	require.False(t, elapsed(sent, sent.Add(time.Minute)) < time.Minute)
}

func TestHolderOpensRenewsAndLeaves(t *testing.T) {
	h := NewHolder(DefaultTimings())
	action, _ := h.Next(start)
	require.Equal(t, Open, action)
	h.Opened(1, start)
	action, wait := h.Next(after(time.Second))
	require.Equal(t, Wait, action)
	require.Equal(t, time.Second, wait)
	action, _ = h.Next(after(2 * time.Second))
	require.Equal(t, Renew, action)
	h.Ended(1)
	action, _ = h.Next(after(2 * time.Second))
	require.Equal(t, Open, action)
	h.Closing()
	action, _ = h.Next(after(2 * time.Second))
	require.Equal(t, Leave, action)
}

// A clock runs fast at the observer and slow at the holder. Whatever settings
// pass the check, the holder must have stopped before the observer may act.
func TestNoOverlapForAnyClockWithinDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timings := Timings{
			Renew:  time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "renew")),
			Hold:   time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "hold")),
			Expire: time.Duration(rapid.Int64Range(1, int64(2*time.Hour)).Draw(t, "expire")),
			Drift:  rapid.Float64Range(0, 0.4).Draw(t, "drift"),
		}
		if timings.Check() != nil {
			return
		}
		holderStops := float64(timings.Hold) / (1 - timings.Drift)
		observerActs := float64(timings.Expire) / (1 + timings.Drift)
		require.GreaterOrEqual(t, observerActs, holderStops-2)
	})
}

func TestTimingsAreChecked(t *testing.T) {
	require.NoError(t, DefaultTimings().Check())
	for field, edit := range map[string]func(*Timings){
		"session.renew":   func(t *Timings) { t.Renew = 0 },
		"session.hold":    func(t *Timings) { t.Hold = t.Renew },
		"session.drift":   func(t *Timings) { t.Drift = -1 },
		"session.expire":  func(t *Timings) { t.Expire = t.Hold },
		"session.stagger": func(t *Timings) { t.Stagger = -1 },
	} {
		timings := DefaultTimings()
		edit(&timings)
		require.ErrorContains(t, timings.Check(), field)
	}
}

// look runs an observer that reads the end of the stream at each second.
func look(o *Observer, from, until time.Duration, since time.Time, confirmed bool, open []session.Info) []protocol.SessionExpire {
	var proposals []protocol.SessionExpire
	for at := from; at <= until; at += time.Second {
		evidence := StreamStatus{ReadStartedAt: after(at), CaughtUpSince: since, RenewalsAccepted: confirmed, OwnSession: 1}
		proposals = append(proposals, o.Observe(after(at), evidence, open)...)
	}
	return proposals
}

func alone(last protocol.Offset) []session.Info {
	return []session.Info{{Session: 1, LastRenewal: 1}, {Session: 2, LastRenewal: last}}
}

func TestObserverProposesAfterSilence(t *testing.T) {
	o := NewObserver(DefaultTimings())
	require.Empty(t, look(o, 0, 8*time.Second, start, true, alone(5)))
	proposals := look(o, 9*time.Second, 9*time.Second, start, true, alone(5))
	require.Equal(t, []protocol.SessionExpire{{Session: 2, LastRenewal: 5}}, proposals)
	require.Empty(t, look(o, 10*time.Second, 16*time.Second, start, true, alone(5)), "one proposal at a time")
	require.Len(t, look(o, 17*time.Second, 18*time.Second, start, true, alone(5)), 1, "a lost proposal is made again")
	require.Empty(t, look(o, 19*time.Second, 27*time.Second, start, true, alone(6)), "a renewal starts the time anew")
}

// The stream could not be read for a while, or the observer's own renewals were
// not accepted. Silence of that time says nothing about the others.
func TestSilenceDuringAnOutageDoesNotCount(t *testing.T) {
	o := NewObserver(DefaultTimings())
	look(o, 0, 7*time.Second, start, true, alone(5))
	back := after(60 * time.Second)
	require.Empty(t, look(o, 60*time.Second, 68*time.Second, back, true, alone(5)))
	require.Len(t, look(o, 69*time.Second, 69*time.Second, back, true, alone(5)), 1)

	o = NewObserver(DefaultTimings())
	look(o, 0, 7*time.Second, start, true, alone(5))
	require.Empty(t, look(o, 8*time.Second, 60*time.Second, start, false, alone(5)))
	require.Empty(t, look(o, 61*time.Second, 69*time.Second, start, true, alone(5)))
}

// The observer itself is paused for ten seconds. When it wakes its latest read
// is old, and the renewals of that time wait unread.
func TestPausedObserverProposesNothingFromAnOldRead(t *testing.T) {
	o := NewObserver(DefaultTimings())
	look(o, 0, time.Second, start, true, alone(5))
	old := StreamStatus{ReadStartedAt: after(time.Second), CaughtUpSince: start, RenewalsAccepted: true, OwnSession: 1}
	require.Empty(t, o.Observe(after(20*time.Second), old, alone(5)))
}

// Many instances see the same silence. They propose in turn, so that a death
// costs one append and not one of each.
func TestObserversProposeInTurn(t *testing.T) {
	var open []session.Info
	for id := range 12 {
		open = append(open, session.Info{Session: protocol.SessionID(id + 1), LastRenewal: 1})
	}
	first := map[time.Duration]int{}
	for own := protocol.SessionID(2); own <= 12; own++ {
		o := NewObserver(DefaultTimings())
		for at := time.Duration(0); at < 30*time.Second; at += time.Second {
			found := false
			for _, p := range o.Observe(after(at), StreamStatus{ReadStartedAt: after(at), CaughtUpSince: start, RenewalsAccepted: true, OwnSession: own}, open) {
				found = found || p.Session == 1
			}
			if found {
				first[at]++
				break
			}
		}
	}
	require.Len(t, first, 11, "two observers chose the same moment: %v", first)
}

// A full mesh of heartbeats would cost more than the budget for control. Each
// instance keeps to its domain and a few of each other one, and no instance is
// left out by all.
func TestPartnersArePartialAndCoverEveryone(t *testing.T) {
	const domains, each = 4, 20
	var known []Known
	for d := range domains {
		for i := range each {
			name := fmt.Sprintf("d%d-i%d", d, i)
			known = append(known, Known{
				Instance: protocol.InstanceID(name),
				Domain:   protocol.Domain(fmt.Sprint("d", d)),
				Address:  name + ":1",
			})
		}
	}
	chosen := map[string]int{}
	for _, own := range known {
		v := NewView(own.Instance, own.Domain, DefaultViewLimits())
		v.Listed(start, known)
		partners := v.Partners()
		require.Len(t, partners, each-1+(domains-1)*DefaultViewLimits().OtherDomain)
		require.NotContains(t, partners, own.Address)
		for _, address := range partners {
			chosen[address]++
		}
	}
	require.Len(t, chosen, len(known))
}

func TestViewForgetsTheDead(t *testing.T) {
	v := NewView("a", "d", DefaultViewLimits())
	v.Listed(start, []Known{{Instance: "b", Domain: "d", Address: "b:1"}})
	require.False(t, v.Peers(start)[0].Reachable, "listed, but never heard")
	v.Heard(after(time.Second), Heartbeat{Instance: "b", Domain: "d", Address: "b:1", Loaded: true, FleetVersion: 5})
	require.True(t, v.Peers(after(2 * time.Second))[0].Reachable)
	address, ok := v.Newest(after(2*time.Second), 4)
	require.True(t, ok)
	require.Equal(t, "b:1", address)
	_, ok = v.Newest(after(2*time.Second), 5)
	require.False(t, ok)
	v.Listed(after(30*time.Second), nil)
	require.Len(t, v.Peers(after(30*time.Second)), 1)
	v.Listed(after(2*time.Minute), nil)
	require.Empty(t, v.Peers(after(2*time.Minute)))
}

// Withdrawals travel by many ways and meet in any order. The set must come out
// the same, or one instance would let in whom another shuts out.
func TestTombstonesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOf(rapid.StringMatching("[a-d]")).Draw(t, "keys")
		a, b := NewTombstones(), NewTombstones()
		for i := range keys {
			a.Add(protocol.KeyWithdraw{Key: protocol.KeyID(keys[i])})
			b.Add(protocol.KeyWithdraw{Key: protocol.KeyID(keys[len(keys)-1-i])})
		}
		require.Equal(t, a.All(), b.All())
	})
}
