package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quota"
)

var viewStart = time.Unix(1_000, 0)

func instance(domain string, n int) Instance {
	name := fmt.Sprintf("%s-%d", domain, n)
	return Instance{Name: name, Domain: domain, Address: name + ":1", Start: 1}
}

func applyHeartbeat(v *View, now time.Time, i Instance, seq uint64) bool {
	return v.ApplyHeartbeat(now, Heartbeat{From: i, Seq: seq})
}

func stateOf(t *testing.T, v *View, now time.Time, i Instance) State {
	t.Helper()
	for _, p := range v.Peers(now) {
		if p.Name == i.Name {
			return p.State
		}
	}
	require.Fail(t, "instance is not known", i.Name)
	return NeverSeen
}

func TestPeerStates(t *testing.T) {
	v := NewView(instance("a", 0), ForgetTimeout)
	other := instance("a", 1)
	v.AddInstances(viewStart, []Instance{other})
	require.Equal(t, NeverSeen, stateOf(t, v, viewStart, other))
	require.True(t, applyHeartbeat(v, viewStart, other, 1))
	require.Equal(t, Up, stateOf(t, v, viewStart, other))
	require.Equal(t, Silent, stateOf(t, v, viewStart.Add(SilenceTimeout+time.Millisecond), other))
	v.MarkRefused(viewStart, other.Address)
	require.Equal(t, Down, stateOf(t, v, viewStart, other))
	restarted := other
	restarted.Start++
	v.AddInstances(viewStart, []Instance{restarted})
	require.NotEqual(t, Down, stateOf(t, v, viewStart, other), "a later incarnation is another process")
	require.Len(t, v.Forget(viewStart.Add(ForgetTimeout+time.Millisecond)), 1)
	require.Empty(t, v.Peers(viewStart))
}

// Two messages of an instance may overtake each other on different connections, and a
// message of a previous incarnation may arrive late. If it were applied, it would restore
// an outdated state.
func TestOlderHeartbeatsAreIgnored(t *testing.T) {
	v := NewView(instance("a", 0), ForgetTimeout)
	other := instance("a", 1)
	require.True(t, applyHeartbeat(v, viewStart, other, 2))
	require.False(t, applyHeartbeat(v, viewStart, other, 1))
	later := other
	later.Start++
	require.True(t, applyHeartbeat(v, viewStart, later, 1))
	require.False(t, applyHeartbeat(v, viewStart, other, 3))
}

// A failure domain is unreachable. In a large fleet a single instance counts as silent only
// after a second or two. Until then requests would go to targets of that domain and get no
// answer.
func TestDomainIsSilentBeforeItsInstances(t *testing.T) {
	const perDomain = 30
	v := NewView(instance("a", 0), ForgetTimeout)
	for n := 1; n < perDomain; n++ {
		applyHeartbeat(v, viewStart, instance("a", n), 1)
		applyHeartbeat(v, viewStart, instance("b", n), 1)
	}
	now := viewStart.Add(SilenceTimeout + time.Millisecond)
	applyHeartbeat(v, now, instance("a", 1), 2)
	require.Equal(t, Up, stateOf(t, v, now, instance("b", 1)))
	require.True(t, v.SilentDomains(now)["b"])
	applyHeartbeat(v, now, instance("b", 1), 2)
	require.False(t, v.SilentDomains(now)["b"])
}

// An instance that receives no heartbeats at all is isolated itself. If it treated all
// domains as silent, it would stop using targets that it can still reach.
func TestIsolatedInstanceReportsNoSilentDomain(t *testing.T) {
	v := NewView(instance("a", 0), ForgetTimeout)
	applyHeartbeat(v, viewStart, instance("a", 1), 1)
	applyHeartbeat(v, viewStart, instance("b", 1), 1)
	require.False(t, v.SilentDomains(viewStart.Add(time.Minute))["b"])
}

// Partitions are reassigned while their previous owner is isolated. Both instances then
// report that they own a partition. A call to the previous owner would get outdated
// results.
func TestOwnerHasLatestGeneration(t *testing.T) {
	v := NewView(instance("a", 0), ForgetTimeout)
	v.ApplyHeartbeat(viewStart, Heartbeat{From: instance("a", 1), Seq: 1, Partitions: []int{3}, Generation: 7})
	v.ApplyHeartbeat(viewStart, Heartbeat{From: instance("a", 2), Seq: 1, Partitions: []int{3}, Generation: 8})
	owner, ok := v.OwnerOf(viewStart, 3)
	require.True(t, ok)
	require.Equal(t, instance("a", 2).Name, owner.Name)
	_, ok = v.OwnerOf(viewStart, 4)
	require.False(t, ok)
}

// A network partition between failure domains resets connections, and each refusal looks as
// if a process did not run. If each refusal were believed, both sides would use the whole
// of each rate, and organisations would get twice their rate.
func TestFullyRefusingDomainIsSilent(t *testing.T) {
	v := NewView(instance("a", 0), ForgetTimeout)
	near, one, two := instance("a", 1), instance("b", 0), instance("b", 1)
	for _, i := range []Instance{near, one, two} {
		applyHeartbeat(v, viewStart, i, 1)
	}
	v.MarkRefused(viewStart, one.Address)
	require.Equal(t, Down, stateOf(t, v, viewStart, one), "another instance of its domain is reachable")
	require.False(t, v.Isolated(viewStart))

	v.MarkRefused(viewStart, two.Address)
	require.Equal(t, Silent, stateOf(t, v, viewStart, one))
	require.Equal(t, Silent, stateOf(t, v, viewStart, two))
	require.Equal(t, map[string]bool{"b": true}, v.SilentDomains(viewStart))
	require.True(t, v.Isolated(viewStart))
	v.MarkRefused(viewStart, near.Address)
	require.Equal(t, Down, stateOf(t, v, viewStart, near))

	applyHeartbeat(v, viewStart, two, 2)
	require.Equal(t, Up, stateOf(t, v, viewStart, two))
	require.Equal(t, Down, stateOf(t, v, viewStart, one))
	require.False(t, v.Isolated(viewStart))
}

// The last reachable instance of the other domains falls silent without refusing a
// connection.
func TestIsolatedWhenNoOtherDomainIsReachable(t *testing.T) {
	v := NewView(instance("a", 0), ForgetTimeout)
	require.False(t, v.Isolated(viewStart), "no other domain is known")
	applyHeartbeat(v, viewStart, instance("a", 1), 1)
	v.AddInstances(viewStart, []Instance{instance("b", 0)})
	require.False(t, v.Isolated(viewStart), "no heartbeat of another domain was received yet")
	applyHeartbeat(v, viewStart, instance("b", 0), 1)
	require.False(t, v.Isolated(viewStart.Add(SilenceTimeout)))
	require.True(t, v.Isolated(viewStart.Add(SilenceTimeout+time.Millisecond)))
}

// Guards against a restarted instance whose heartbeats and counts are ignored, by relays and by
// those that read their feeds, because a list named its new incarnation before it was heard and the
// sequence number of the earlier one was kept.
func TestNewIncarnationIsHeardFromItsFirstHeartbeat(t *testing.T) {
	now := viewStart
	relay, reader := NewView(instance("a", 0), ForgetTimeout), NewView(instance("a", 1), ForgetTimeout)
	before, after := instance("b", 2), instance("b", 2)
	after.Start = before.Start + 1
	relay.ApplyHeartbeat(now, Heartbeat{From: before, Seq: 3000, Whole: true, Admitted: quota.Counts{"o": 9}})
	feed := newFeed(1)
	read := func(request FeedRequest) FeedRequest {
		now = now.Add(batchInterval)
		answer, err := feed.answer(now, relay, request)
		require.NoError(t, err)
		updates, err := decodeUpdates(answer.Batches)
		require.NoError(t, err)
		for i := range updates {
			from := updates[i].Instance
			if from == nil {
				from = &after
			}
			reader.ApplyUpdate(now, *from, &updates[i])
		}
		return FeedRequest{Feed: answer.ID, Next: answer.Next}
	}
	position := read(FeedRequest{})
	relay.ApplyHeartbeat(now, Heartbeat{From: before, Seq: 3001, Whole: true, Admitted: quota.Counts{"o": 10}})
	relay.AddInstances(now, []Instance{after})
	position = read(position)
	require.True(t, relay.ApplyHeartbeat(now, Heartbeat{From: after, Seq: 1, Uptime: time.Second, Whole: true, Admitted: quota.Counts{"o": 1}}))
	read(position)
	require.Equal(t, quota.Counts{"o": 1}, reader.peers[after.Name].counts)
	require.True(t, reader.peers[after.Name].complete)
	require.Equal(t, uint64(1), reader.peers[after.Name].heartbeat.Seq)
	require.Positive(t, reader.peers[after.Name].uptime(now))
}
