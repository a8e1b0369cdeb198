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

// cluster joins the meshes of a large fleet in memory. It lives in a bubble of synctest.
type cluster struct {
	t       *testing.T
	members []*clusterMember

	mu sync.Mutex
	at map[string]*clusterMember
	// cut says that nothing gets from one instance to another.
	cut   func(from, to Instance) bool
	calls int
}

type clusterMember struct {
	*Mesh
	*told
	stop context.CancelFunc
}

// callerAt makes the calls of one instance.
type callerAt struct {
	*cluster
	from Instance
}

func (c callerAt) Call(ctx context.Context, address, method string, args, reply any) error {
	c.mu.Lock()
	c.calls++
	to, cut := c.at[address], c.cut
	c.mu.Unlock()
	if to == nil {
		return syscall.ECONNREFUSED
	}
	if cut != nil && cut(c.from, to.Self()) {
		<-ctx.Done()
		return ctx.Err()
	}
	pass(time.Millisecond)
	if method == methodExchange {
		return to.Receiver().Exchange(args.(*Heartbeat), reply.(*Heartbeat))
	}
	return to.Receiver().Snapshot(args.(*SnapshotArgs), reply.(*SnapshotReply))
}

func newCluster(t *testing.T, domains []string, perDomain int) *cluster {
	c := &cluster{t: t, at: map[string]*clusterMember{}}
	t.Cleanup(func() {
		c.kill(func(Instance) bool { return true })
		pass(callTimeout)
	})
	for _, domain := range domains {
		for n := range perDomain {
			c.start(instance(domain, n))
		}
	}
	pass(3 * time.Second)
	c.requireAllUp()
	return c
}

// start starts an instance that the store's list tells of all others.
func (c *cluster) start(self Instance) *clusterMember {
	ctx, stop := context.WithCancel(c.t.Context())
	m := New(Config{Self: self, Caller: callerAt{c, self}, Logger: log.NewNopLogger()})
	member := &clusterMember{Mesh: m, told: &told{own: quota.Counts{}, of: map[string]quota.Counts{}}, stop: stop}
	m.SetDelegate(member.told)
	c.mu.Lock()
	c.at[self.Address] = member
	c.mu.Unlock()
	var list []Instance
	for _, other := range c.members {
		list = append(list, other.Self())
	}
	m.AddInstances(list)
	c.members = append(c.members, member)
	go func() { _ = m.Serve(ctx) }()
	return member
}

// kill ends instances; connections to them are refused from now on.
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

func (c *cluster) setCut(cut func(from, to Instance) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cluster) count() int {
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

// relaysOf names the instances that those of a domain speak to.
func (c *cluster) relaysOf(domain string) map[string]bool {
	found := map[string]bool{}
	for _, m := range c.members {
		if m.Self().Domain != domain {
			continue
		}
		m.Mesh.mu.Lock()
		for _, p := range m.choose(time.Now(), nil) {
			if p.Domain == domain {
				found[p.Name] = true
			}
		}
		m.Mesh.mu.Unlock()
	}
	return found
}

var threeDomains = []string{"a", "b", "c"}

// What an instance let in must be known everywhere soon, or an organisation gets more
// than its rate; and telling it must not cost more the larger the fleet is.
func TestCountsReachALargeFleetInFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 40)
		random := rand.New(rand.NewPCG(1, 2))
		before := c.count()
		for range 500 {
			c.members[random.IntN(len(c.members))].admit([]string{"x", "y", "z"}[random.IntN(3)])
			pass(10 * time.Millisecond)
		}
		calls := c.count() - before
		pass(time.Second)
		synctest.Wait()
		for _, from := range c.members {
			for _, to := range c.members {
				if from != to && len(from.own) > 0 {
					require.Equal(t, from.own, to.of[from.Self().Name], "%s at %s", from.Self().Name, to.Self().Name)
				}
			}
		}
		require.Less(t, float64(calls)/5/float64(len(c.members)), 20.0, "messages of an instance a second")
		c.requireAllUp()
	})
}

// A process dies. Until the others notice, its part of the rates and the slots that it
// holds are lost; a small fleet notices within a second.
func TestDeadInstanceOfALargeFleetIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 30)
		dead := instance("b", 7)
		c.kill(func(i Instance) bool { return i == dead })
		pass(2500 * time.Millisecond)
		for _, m := range c.members {
			require.Equal(t, Down, m.states()[dead.Name], m.Self().Name)
		}
	})
}

// Both relays of each domain die at once, which nobody is told of. The others must find
// new ones without taking each other for silent for long.
func TestLargeFleetOutlivesItsRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 30)
		gone := map[string]bool{}
		for _, domain := range threeDomains {
			found := c.relaysOf(domain)
			require.LessOrEqual(t, len(found), relays+1, "all choose the same, and a relay one more")
			for name := range found {
				gone[name] = true
			}
		}
		c.kill(func(i Instance) bool { return gone[i.Name] })
		pass(3 * time.Second)
		c.requireAllUp()
		for _, m := range c.members {
			for name := range gone {
				require.Equal(t, Down, m.states()[name], "%s at %s", name, m.Self().Name)
			}
		}
	})
}

// An instance loses its power behind a cut that swallows everything. Two relays that
// vouched for it by each other's word would keep it alive for good.
func TestRelaysKeepNoSilentInstanceAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 30)
		lost := instance("c", 3)
		c.setCut(func(from, to Instance) bool { return from == lost || to == lost })
		pass(2500 * time.Millisecond)
		for _, m := range c.members {
			if m.Self() != lost {
				require.Equal(t, Silent, m.states()[lost.Name], m.Self().Name)
			}
		}
		c.setCut(nil)
		pass(2 * time.Second)
		c.requireAllUp()
	})
}

// A failure domain is cut off. Both sides must know it soon, since each then uses its
// part of the rates only, and find each other again once the cut ends.
func TestCutOfADomainIsNoticedInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeDomains, 30)
		c.setCut(func(from, to Instance) bool { return (from.Domain == "a") != (to.Domain == "a") })
		pass(time.Second)
		for _, m := range c.members {
			require.Equal(t, m.Self().Domain == "a", m.Isolated(), m.Self().Name)
		}
		pass(1500 * time.Millisecond)
		for _, m := range c.members {
			for name, state := range m.states() {
				want := Up
				if (name[0] == 'a') != (m.Self().Domain == "a") {
					want = Silent
				}
				require.Equal(t, want, state, "%s at %s", name, m.Self().Name)
			}
		}
		c.setCut(nil)
		pass(2 * time.Second)
		c.requireAllUp()
	})
}

// The wall clock jumps back and a process is restarted: its start is before that of the
// life that ended. Nobody would listen to it, and its callers' requests would not count.
func TestLifeWithAnEarlierStartIsHeard(t *testing.T) {
	for _, perDomain := range []int{4, 30} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, []string{"a", "b"}, perDomain-1)
			ahead := Instance{Name: "a-x", Domain: "a", Address: "a-x:1", Start: 1_000}
			c.start(ahead)
			pass(3 * time.Second)
			c.requireAllUp()
			c.kill(func(i Instance) bool { return i == ahead })
			again := ahead
			again.Start = 10
			member := c.start(again)
			pass(3 * time.Second)
			c.requireAllUp()
			member.admit("x")
			pass(2 * time.Second)
			synctest.Wait()
			for _, m := range c.members {
				if m != member {
					require.Equal(t, quota.Counts{"x": 1}, m.of["a-x"], m.Self().Name)
				}
			}
		})
	}
}

// A relay hears of an instance again after a cut. If it passed on that the instance lives
// before it passed on what that let in meanwhile, the others would take back its part of
// the rates first, and the counts would then come on top: they refuse callers that are
// inside their rates.
func TestRelayTellsCountsNoLaterThanLife(t *testing.T) {
	now := viewStart
	v, f := NewView(instance("a", 0), ForgetAfter), newFeed(1)
	other := instance("b", 1)
	v.Heard(now, Heartbeat{From: other, Seq: 1, Admitted: quota.Counts{"x": 1}, Whole: true})
	first, err := f.answer(now, v, Pull{})
	require.NoError(t, err)

	later := now.Add(batchEvery / 2)
	v.Heard(later, Heartbeat{From: other, Seq: 2, Admitted: quota.Counts{"x": 9}})
	second, err := f.answer(later, v, Pull{Feed: first.ID, Next: first.Next})
	require.NoError(t, err)
	require.Empty(t, second.Batches)
	require.EqualValues(t, batchEvery/2/ageStep, second.Ages[0])

	last := now.Add(batchEvery)
	third, err := f.answer(last, v, Pull{Feed: second.ID, Next: second.Next})
	require.NoError(t, err)
	news, err := decodeNews(third.Batches)
	require.NoError(t, err)
	require.Equal(t, quota.Counts{"x": 9}, news[0].Admitted)
	require.EqualValues(t, (batchEvery/2)/ageStep, third.Ages[0])
}
