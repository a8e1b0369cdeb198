package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quota"
)

// cluster connects the meshes of a large fleet in memory. It must be used in a synctest
// bubble.
type cluster struct {
	t       *testing.T
	members []*clusterMember

	mu sync.Mutex
	at map[string]*clusterMember
	// blocked reports whether messages between two instances are dropped.
	blocked func(from, to Instance) bool
	calls   int
}

type clusterMember struct {
	*Mesh
	*fakeDelegate
	stop context.CancelFunc
}

// callerAt is the protocol.Caller of one instance.
type callerAt struct {
	*cluster
	from Instance
}

func (c callerAt) Call(ctx context.Context, address, method string, args, reply any) error {
	c.mu.Lock()
	c.calls++
	to, blocked := c.at[address], c.blocked
	c.mu.Unlock()
	if to == nil {
		return syscall.ECONNREFUSED
	}
	if blocked != nil && blocked(c.from, to.Self()) {
		<-ctx.Done()
		return ctx.Err()
	}
	sleep(time.Millisecond)
	if method == methodExchange {
		return to.Receiver().Exchange(args.(*Heartbeat), reply.(*Heartbeat))
	}
	return to.Receiver().Snapshot(args.(*SnapshotArgs), reply.(*SnapshotReply))
}

func newCluster(t *testing.T, domains []string, perDomain int) *cluster {
	c := &cluster{t: t, at: map[string]*clusterMember{}}
	t.Cleanup(func() {
		c.kill(func(Instance) bool { return true })
		sleep(callTimeout)
	})
	for _, domain := range domains {
		for n := range perDomain {
			c.start(instance(domain, n))
		}
	}
	sleep(3 * time.Second)
	c.requireAllUp()
	return c
}

// start starts an instance that knows all other instances from the store's list.
func (c *cluster) start(self Instance) *clusterMember {
	ctx, stop := context.WithCancel(c.t.Context())
	m := New(Config{Self: self, Caller: callerAt{c, self}, Logger: log.NewNopLogger()})
	member := &clusterMember{Mesh: m, fakeDelegate: &fakeDelegate{admitted: quota.Counts{}, received: map[string]quota.Counts{}}, stop: stop}
	m.SetDelegate(member.fakeDelegate)
	c.mu.Lock()
	c.at[self.Address] = member
	c.mu.Unlock()
	var list []Instance
	for _, other := range c.members {
		list = append(list, other.Self())
	}
	m.AddInstances(list, false)
	c.members = append(c.members, member)
	go func() { _ = m.Serve(ctx) }()
	return member
}

// kill ends instances. Later connections to them are refused.
func (c *cluster) kill(ends func(Instance) bool) {
	var left []*clusterMember
	for _, m := range c.members {
		if !ends(m.Self()) {
			left = append(left, m)
			continue
		}
		m.stop()
		c.mu.Lock()
		delete(c.at, m.Self().Address)
		c.mu.Unlock()
	}
	c.members = left
}

func (c *cluster) setBlocked(blocked func(from, to Instance) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = blocked
}

func (c *cluster) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (m *clusterMember) states() map[string]State {
	states := map[string]State{}
	for _, p := range m.Peers() {
		states[p.Name] = p.State
	}
	return states
}

func (c *cluster) requireAllUp() {
	c.t.Helper()
	for _, m := range c.members {
		states := m.states()
		for _, other := range c.members {
			if other != m {
				require.Equal(c.t, Up, states[other.Self().Name], "%s at %s", other.Self().Name, m.Self().Name)
			}
		}
	}
}

// relaysOf returns the names of the instances that the instances of a domain have chosen as
// relays.
func (c *cluster) relaysOf(domain string) map[string]bool {
	found := map[string]bool{}
	for _, m := range c.members {
		if m.Self().Domain != domain {
			continue
		}
		m.Mesh.mu.Lock()
		for _, p := range m.choosePartners(time.Now(), nil) {
			if p.Domain == domain {
				found[p.Name] = true
			}
		}
		m.Mesh.mu.Unlock()
	}
	return found
}

var threeDomains = []string{"a", "b", "c"}

// The counts of admitted requests must reach all instances quickly, or an organisation
// exceeds its rate. The number of messages of an instance must not grow with the size of
// the fleet.
func TestCountsReachALargeFleetInFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 40)
		random := rand.New(rand.NewPCG(1, 2))
		before := c.callCount()
		for range 500 {
			c.members[random.IntN(len(c.members))].admit([]string{"x", "y", "z"}[random.IntN(3)])
			sleep(10 * time.Millisecond)
		}
		calls := c.callCount() - before
		sleep(time.Second)
		synctest.Wait()
		for _, from := range c.members {
			for _, to := range c.members {
				if from != to && len(from.admitted) > 0 {
					require.Equal(t, from.admitted, to.received[from.Self().Name], "%s at %s", from.Self().Name, to.Self().Name)
				}
			}
		}
		require.Less(t, float64(calls)/5/float64(len(c.members)), 20.0, "messages per instance and second")
		c.requireAllUp()
	})
}

// A process dies. Its share of the rates and the slots that it occupies are lost until the
// other instances notice it; a small fleet notices within a second.
func TestLargeFleetDetectsDeadInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 30)
		dead := instance("b", 7)
		c.kill(func(i Instance) bool { return i == dead })
		sleep(2500 * time.Millisecond)
		for _, m := range c.members {
			require.Equal(t, Down, m.states()[dead.Name], m.Self().Name)
		}
	})
}

// Both relays of each domain die at the same time without notice. The other instances must
// choose new relays without treating each other as silent for long.
func TestLargeFleetReplacesDeadRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 30)
		killed := map[string]bool{}
		for _, domain := range threeDomains {
			found := c.relaysOf(domain)
			require.LessOrEqual(t, len(found), relaysPerDomain+1, "all choose the same relays, a relay chooses one more")
			for name := range found {
				killed[name] = true
			}
		}
		c.kill(func(i Instance) bool { return killed[i.Name] })
		sleep(3 * time.Second)
		c.requireAllUp()
		for _, m := range c.members {
			for name := range killed {
				require.Equal(t, Down, m.states()[name], "%s at %s", name, m.Self().Name)
			}
		}
	})
}

// An instance loses power behind a network partition that drops all packets. Two relays
// that repeat each other's liveness reports would keep it alive for good.
func TestRelaysDoNotKeepSilentInstanceAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 30)
		lost := instance("c", 3)
		c.setBlocked(func(from, to Instance) bool { return from == lost || to == lost })
		sleep(2500 * time.Millisecond)
		for _, m := range c.members {
			if m.Self() != lost {
				require.Equal(t, Silent, m.states()[lost.Name], m.Self().Name)
			}
		}
		c.setBlocked(nil)
		sleep(2 * time.Second)
		c.requireAllUp()
	})
}

// A failure domain is isolated. Both sides must notice it quickly, since each then uses
// only its share of the rates, and must find each other again when the partition ends.
func TestLargeFleetDetectsIsolatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 30)
		c.setBlocked(func(from, to Instance) bool { return (from.Domain == "a") != (to.Domain == "a") })
		sleep(time.Second)
		for _, m := range c.members {
			require.Equal(t, m.Self().Domain == "a", m.Isolated(), m.Self().Name)
		}
		sleep(1500 * time.Millisecond)
		for _, m := range c.members {
			for name, state := range m.states() {
				want := Up
				if (name[0] == 'a') != (m.Self().Domain == "a") {
					want = Silent
				}
				require.Equal(t, want, state, "%s at %s", name, m.Self().Name)
			}
		}
		c.setBlocked(nil)
		sleep(2 * time.Second)
		c.requireAllUp()
	})
}

// The wall clock jumps back and a process is restarted. Its start is then before that of
// the previous incarnation. If peers ignored it, the requests that it admits would not
// count.
func TestIncarnationWithEarlierStartIsAccepted(t *testing.T) {
	for _, perDomain := range []int{4, 30} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, []string{"a", "b"}, perDomain-1)
			previous := Instance{Name: "a-x", Domain: "a", Address: "a-x:1", Start: 1_000}
			c.start(previous)
			sleep(3 * time.Second)
			c.requireAllUp()
			c.kill(func(i Instance) bool { return i == previous })
			restarted := previous
			restarted.Start = 10
			member := c.start(restarted)
			sleep(3 * time.Second)
			c.requireAllUp()
			member.admit("x")
			sleep(2 * time.Second)
			synctest.Wait()
			for _, m := range c.members {
				if m != member {
					require.Equal(t, quota.Counts{"x": 1}, m.received["a-x"], m.Self().Name)
				}
			}
		})
	}
}

// A relay receives heartbeats of an instance again after a network partition. If it
// reported the instance as alive before it passes on the counts from the time between, the
// other instances would first take back the share of the rates reserved for that instance
// and then subtract the counts. They would reject callers that are within their rates.
func TestRelaySendsCountsBeforeLiveness(t *testing.T) {
	now := viewStart
	v, f := NewView(instance("a", 0), ForgetTimeout), newFeed(1)
	other := instance("b", 1)
	v.ApplyHeartbeat(now, Heartbeat{From: other, Seq: 1, Admitted: quota.Counts{"x": 1}, Whole: true})
	first, err := f.answer(now, v, FeedRequest{})
	require.NoError(t, err)

	later := now.Add(batchInterval / 2)
	v.ApplyHeartbeat(later, Heartbeat{From: other, Seq: 2, Admitted: quota.Counts{"x": 9}})
	second, err := f.answer(later, v, FeedRequest{Feed: first.ID, Next: first.Next})
	require.NoError(t, err)
	require.Empty(t, second.Batches)
	require.EqualValues(t, batchInterval/2/ageStep, second.Ages[0])

	last := now.Add(batchInterval)
	third, err := f.answer(last, v, FeedRequest{Feed: second.ID, Next: second.Next})
	require.NoError(t, err)
	updates, err := decodeUpdates(third.Batches)
	require.NoError(t, err)
	require.Equal(t, quota.Counts{"x": 9}, updates[0].Admitted)
	require.EqualValues(t, (batchInterval/2)/ageStep, third.Ages[0])
}
