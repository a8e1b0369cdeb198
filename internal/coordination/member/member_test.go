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

// The confirmation of a renewal arrives late. Observers may have read the renewal
// soon after it was sent, so the hold time must start when it was sent. Counted
// from the confirmation, the holder would still work after a takeover.
func TestHoldTimeStartsWhenRenewalIsSent(t *testing.T) {
	h := NewHolder(DefaultTimings())
	h.Opened(1, start)
	require.True(t, h.MayHold(after(5*time.Second)))
	require.False(t, h.MayHold(after(6*time.Second)))
	h.Renewed(1, after(2*time.Second))
	require.True(t, h.MayHold(after(7*time.Second)))
	require.False(t, h.MayHold(after(8*time.Second)))
	h.Renewed(1, after(time.Second))
	require.True(t, h.MayHold(after(7*time.Second)), "an older confirmation shortened the hold time")
	h.Renewed(2, after(20*time.Second))
	require.False(t, h.MayHold(after(20*time.Second)), "another session's renewal counted")
}

// A virtual machine is suspended, together with its monotonic clock, and resumed.
// Only the wall clock, which the host corrects, shows how long the pause was.
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

// The observer's clock runs fast and the holder's clock runs slow. With any
// timings that pass Check, the holder must stop before the observer may propose
// the expiry. Otherwise two sessions could hold the same resource.
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

// observeEverySecond runs an observer that reads the stream to its end once a
// second.
func observeEverySecond(o *Observer, from, until time.Duration, since time.Time, confirmed bool, open []session.Info) []protocol.SessionExpire {
	var proposals []protocol.SessionExpire
	for at := from; at <= until; at += time.Second {
		status := StreamStatus{ReadStartedAt: after(at), CaughtUpSince: since, RenewalsAccepted: confirmed, OwnSession: 1}
		proposals = append(proposals, o.Observe(after(at), status, open)...)
	}
	return proposals
}

// ownAndOneOther returns the observer's own session and session 2, which was last
// renewed at offset last.
func ownAndOneOther(last protocol.Offset) []session.Info {
	return []session.Info{{Session: 1, LastRenewal: 1}, {Session: 2, LastRenewal: last}}
}

func TestObserverProposesAfterSilence(t *testing.T) {
	o := NewObserver(DefaultTimings())
	require.Empty(t, observeEverySecond(o, 0, 8*time.Second, start, true, ownAndOneOther(5)))
	proposals := observeEverySecond(o, 9*time.Second, 9*time.Second, start, true, ownAndOneOther(5))
	require.Equal(t, []protocol.SessionExpire{{Session: 2, LastRenewal: 5}}, proposals)
	require.Empty(t, observeEverySecond(o, 10*time.Second, 16*time.Second, start, true, ownAndOneOther(5)), "a second proposal before the first can have been read")
	require.Len(t, observeEverySecond(o, 17*time.Second, 18*time.Second, start, true, ownAndOneOther(5)), 1, "a lost proposal was not repeated")
	require.Empty(t, observeEverySecond(o, 19*time.Second, 27*time.Second, start, true, ownAndOneOther(6)), "a renewal did not restart the silence")
}

// The observer can't read the stream during an outage, or its own renewals are
// not accepted. Missing renewals of other sessions in that time are no status
// that their instances are down.
func TestSilenceDuringAnOutageDoesNotCount(t *testing.T) {
	o := NewObserver(DefaultTimings())
	observeEverySecond(o, 0, 7*time.Second, start, true, ownAndOneOther(5))
	recovered := after(60 * time.Second)
	require.Empty(t, observeEverySecond(o, 60*time.Second, 68*time.Second, recovered, true, ownAndOneOther(5)))
	require.Len(t, observeEverySecond(o, 69*time.Second, 69*time.Second, recovered, true, ownAndOneOther(5)), 1)

	o = NewObserver(DefaultTimings())
	observeEverySecond(o, 0, 7*time.Second, start, true, ownAndOneOther(5))
	require.Empty(t, observeEverySecond(o, 8*time.Second, 60*time.Second, start, false, ownAndOneOther(5)))
	require.Empty(t, observeEverySecond(o, 61*time.Second, 69*time.Second, start, true, ownAndOneOther(5)))
}

// The observer itself is paused for more than ten seconds. When it resumes, its
// latest read is old and it has not yet read the renewals of that time.
func TestPausedObserverProposesNothingFromAnOldRead(t *testing.T) {
	o := NewObserver(DefaultTimings())
	observeEverySecond(o, 0, time.Second, start, true, ownAndOneOther(5))
	old := StreamStatus{ReadStartedAt: after(time.Second), CaughtUpSince: start, RenewalsAccepted: true, OwnSession: 1}
	require.Empty(t, o.Observe(after(20*time.Second), old, ownAndOneOther(5)))
}

// Many instances detect the same silent session. Their proposals are staggered,
// so that one terminated instance costs one append instead of one per observer.
func TestObserversStaggerTheirProposals(t *testing.T) {
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
	require.Len(t, first, 11, "two observers proposed at the same time: %v", first)
}

// A full mesh of heartbeats would exceed the traffic budget for coordination. Each
// instance exchanges heartbeats with all of its failure domain and a few instances
// of each other domain, and every instance is the partner of at least one other.
func TestPartnersAreLimitedAndCoverEveryInstance(t *testing.T) {
	const domains, each = 4, 20
	var known []KnownInstance
	for d := range domains {
		for i := range each {
			name := fmt.Sprintf("d%d-i%d", d, i)
			known = append(known, KnownInstance{
				Instance: protocol.InstanceID(name),
				Domain:   protocol.Domain(fmt.Sprint("d", d)),
				Address:  name + ":1",
			})
		}
	}
	chosen := map[string]int{}
	for _, own := range known {
		v := NewView(own.Instance, own.Domain, DefaultViewLimits())
		v.UpdateSessions(start, known)
		partners := v.Partners()
		require.Len(t, partners, each-1+(domains-1)*DefaultViewLimits().OtherDomain)
		require.NotContains(t, partners, own.Address)
		for _, address := range partners {
			chosen[address]++
		}
	}
	require.Len(t, chosen, len(known))
}

func TestViewDropsPeersWithoutSessionOrHeartbeat(t *testing.T) {
	v := NewView("a", "d", DefaultViewLimits())
	v.UpdateSessions(start, []KnownInstance{{Instance: "b", Domain: "d", Address: "b:1"}})
	require.False(t, v.Peers(start)[0].Reachable, "has a session, but never sent a heartbeat")
	v.RecordHeartbeat(after(time.Second), Heartbeat{Instance: "b", Domain: "d", Address: "b:1", Loaded: true, FleetVersion: 5})
	require.True(t, v.Peers(after(2 * time.Second))[0].Reachable)
	address, ok := v.NewestConfigPeer(after(2*time.Second), 4)
	require.True(t, ok)
	require.Equal(t, "b:1", address)
	_, ok = v.NewestConfigPeer(after(2*time.Second), 5)
	require.False(t, ok)
	v.UpdateSessions(after(30*time.Second), nil)
	require.Len(t, v.Peers(after(30*time.Second)), 1)
	v.UpdateSessions(after(2*time.Minute), nil)
	require.Empty(t, v.Peers(after(2*time.Minute)))
}

// Withdrawals arrive over several paths and in any order. The merged sets must be
// equal, or one instance would accept a key that another rejects.
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
