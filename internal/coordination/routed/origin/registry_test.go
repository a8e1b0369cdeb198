package origin

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/state/roster"
)

// testFleet is a fleet of registries that call each other directly.
type testFleet struct {
	mu        sync.Mutex
	instances []mesh.Instance
	members   map[string]*member
	// calls counts the calls between instances, by method, cancelledCalls those that their
	// callers ended before their time was up.
	calls          map[string]int
	cancelledCalls int
}

// member is one instance of a testFleet.
type member struct {
	fleet    *testFleet
	self     mesh.Instance
	registry *Registry
	// down members refuse calls, hung ones do not answer. cut members reach only members
	// that are cut too.
	down, hung, cut bool
	// unreachable members reach nobody, though they do not know it.
	unreachable bool
	// earlier members are of a release that keeps no records.
	earlier bool
	listAge time.Duration
}

var errUnreachable = errors.New("unreachable")

// newFleet returns a fleet with a number of instances in each failure domain, all of which have
// listed the given versions for a minute.
func newFleet(t *testing.T, domains, perDomain int, versions ...string) *testFleet {
	f := &testFleet{members: map[string]*member{}, calls: map[string]int{}}
	for d := range domains {
		for i := range perDomain {
			name := fmt.Sprintf("n-%d-%d", d, i)
			f.instances = append(f.instances, mesh.Instance{Name: name, Domain: fmt.Sprintf("d%d", d), Address: name})
		}
	}
	for _, i := range f.instances {
		m := &member{fleet: f, self: i}
		m.registry = New(Options{Self: i, Peers: m, Caller: m, ListAge: m.currentListAge, Logger: log.NewNopLogger()})
		f.members[i.Name] = m
	}
	for _, m := range f.members {
		go func() { _ = m.registry.Serve(t.Context()) }()
	}
	// Calls that nobody waits for any more have ended.
	t.Cleanup(func() { time.Sleep(max(askTimeout, tellTimeout)) })
	f.list(versions...)
	time.Sleep(time.Minute)
	f.list(versions...)
	return f
}

// list makes all instances list targets of the given versions.
func (f *testFleet) list(versions ...string) {
	var list []roster.Target
	for _, version := range versions {
		list = append(list, roster.Target{ID: "t-" + version, Service: "s", Version: version, Domain: "d0", Started: 1})
	}
	for _, m := range f.members {
		m.registry.SetTargets(list)
	}
}

func (m *member) currentListAge() time.Duration {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.listAge
}

// AllUp implements Peers: the instances that this one reaches.
func (m *member) AllUp() (out []mesh.Instance) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for _, i := range m.fleet.instances {
		other := m.fleet.members[i.Name]
		if other != m && !other.down && other.cut == m.cut {
			out = append(out, i)
		}
	}
	return out
}

// Call implements protocol.Caller.
func (m *member) Call(ctx context.Context, address, method string, args, reply any) error {
	m.fleet.mu.Lock()
	m.fleet.calls[method]++
	other := m.fleet.members[address]
	earlier := other.earlier
	down, hung := other.down || other.cut != m.cut || m.unreachable, other.hung
	m.fleet.mu.Unlock()
	switch {
	case down:
		return errUnreachable
	case hung:
		<-ctx.Done()
		m.fleet.countCancelled(ctx)
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	m.fleet.countCancelled(ctx)
	if earlier {
		return fmt.Errorf("calling: %w", rpc.ServerError("rpc: can't find service "+method))
	}
	receiver := other.registry.Receiver()
	switch args := args.(type) {
	case *TellArgs:
		return receiver.Tell(args, &struct{}{})
	case *FindArgs:
		return receiver.Find(args, reply.(*FindReply))
	default:
		return errUnreachable
	}
}

func (f *testFleet) countCancelled(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if errors.Is(ctx.Err(), context.Canceled) {
		f.cancelledCalls++
	}
}

// set changes the state of some members.
func (f *testFleet) set(change func(*member), names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		change(f.members[name])
	}
}

func (f *testFleet) callCount(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[method]
}

// find returns the origin of a stream as a member knows it.
func (f *testFleet) find(t *testing.T, name, stream string) Origin {
	return f.members[name].registry.Find(t.Context(), "s", stream)
}

// Guards against streams that can be taken up only at the instance that began them. They are
// taken up at each other instance, soon and late, while the one that began them is lost.
func TestStreamIsFoundAtOtherInstancesWithoutTheOneThatBeganIt(t *testing.T) {
	for name, lose := range map[string]func(*member){
		"killed": func(m *member) { m.down = true },
		"paused": func(m *member) { m.hung = true },
		"cut":    func(m *member) { m.cut = true },
	} {
		for _, after := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 2 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprint(name, " ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 3, 3, "v1", "v2", "v3")
					for n := range 30 {
						stream, version := fmt.Sprint("stream-", n), fmt.Sprint("v", 1+n%3)
						f.members["n-1-1"].registry.Began("s", stream, version)
					}
					// The caller has the first event after a millisecond at the earliest.
					time.Sleep(after + time.Millisecond)
					f.set(lose, "n-1-1")
					for n := range 30 {
						for _, i := range f.instances {
							if i.Name == "n-1-1" {
								continue
							}
							found := f.find(t, i.Name, fmt.Sprint("stream-", n))
							require.Equal(t, fmt.Sprint("v", 1+n%3), found.Version, "%d at %s", n, i.Name)
							require.Contains(t, []Source{Told, Asked}, found.Source)
							require.Less(t, found.Age, after+time.Second)
						}
					}
				})
			})
		}
	}
}

// Guards against records that are lost with a failure domain, and against a domain on its own
// that can't take up what it has begun.
func TestStreamIsFoundOnBothSidesOfPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3, "v1", "v2")
		for n := range 20 {
			f.members["n-0-0"].registry.Began("s", fmt.Sprint(n), "v2")
		}
		time.Sleep(10 * time.Millisecond)
		f.set(func(m *member) { m.cut = true }, "n-0-0", "n-0-1", "n-0-2")
		for n := range 20 {
			require.Equal(t, "v2", f.find(t, "n-0-1", fmt.Sprint(n)).Version)
			require.Equal(t, "v2", f.find(t, "n-1-1", fmt.Sprint(n)).Version)
			require.Equal(t, "v2", f.find(t, "n-2-2", fmt.Sprint(n)).Version)
		}
	})
}

// Guards against a guess: a stream that no instance knows has no version while there are
// several, also right after all but one have left.
func TestUnknownStreamHasNoVersionWhileThereAreSeveral(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, "v1", "v2")
		require.Equal(t, Origin{Source: Unknown}, f.find(t, "n-0-0", "lost"))
		require.Equal(t, Origin{Source: Unknown}, f.find(t, "n-0-0", ""))
		f.list("v2")
		require.Equal(t, Origin{Source: Unknown}, f.find(t, "n-0-0", "lost"))
		time.Sleep(streamLifetime + time.Second)
		f.list("v2")
		require.Equal(t, "v2", f.find(t, "n-0-0", "lost").Version)
		require.Equal(t, OnlyVersion, f.find(t, "n-0-0", "").Source)
	})
}

// Guards against records that are lost because no other instance was reachable, or known to be
// unreachable, when they were sent.
func TestRecordsAreSentAgainAfterIsolation(t *testing.T) {
	for name, isolate := range map[string]func(*member){
		"cut":    func(m *member) { m.cut = true },
		"silent": func(m *member) { m.unreachable = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, 2, "v1", "v2")
				f.set(isolate, "n-0-0")
				f.members["n-0-0"].registry.Began("s", "x", "v2")
				time.Sleep(2 * time.Second)
				f.set(func(m *member) { m.cut, m.unreachable = false, false }, "n-0-0")
				time.Sleep(2 * tellInterval)
				f.set(func(m *member) { m.down = true }, "n-0-0")
				require.Equal(t, "v2", f.find(t, "n-2-1", "x").Version)
			})
		})
	}
}

// Guards against the record of one stream without an id that is taken for that of another.
func TestStreamWithoutIDIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, "v1", "v2")
		f.members["n-0-0"].registry.Began("s", "", "v1")
		time.Sleep(5 * time.Millisecond)
		require.Equal(t, Unknown, f.find(t, "n-0-0", "").Source)
		require.Equal(t, Unknown, f.find(t, "n-1-0", "").Source)
	})
}

// Guards against streams that can't be taken up during an update, because their records went to
// instances of a release that keeps none, and against calls to those again and again.
func TestRecordsGoToInstancesThatKeepThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4, "v1", "v2")
		for _, name := range []string{"n-0-0", "n-0-1", "n-0-2", "n-1-0", "n-1-1", "n-1-2"} {
			f.set(func(m *member) { m.earlier = true }, name)
		}
		for n := range 40 {
			f.members["n-0-3"].registry.Began("s", fmt.Sprint(n), "v2")
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(2 * tellInterval)
		f.set(func(m *member) { m.down = true }, "n-0-3")
		for n := range 40 {
			require.Equal(t, "v2", f.find(t, "n-1-3", fmt.Sprint(n)).Version, n)
		}
		require.Less(t, f.callCount(methodTell), 40+30)
	})
}

// Guards against messages for a service that has only one version.
func TestOneVersionCostsNoMessagesUntilStreamIsTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2, "v1")
		for n := range 100 {
			f.members["n-0-0"].registry.Began("s", fmt.Sprint(n), "v1")
			time.Sleep(10 * time.Millisecond)
		}
		require.Zero(t, f.callCount(methodTell))
		require.Zero(t, f.callCount(methodFind))
		f.set(func(m *member) { m.down = true }, "n-0-0")
		require.Equal(t, Origin{Version: "v1", Source: OnlyVersion}, f.find(t, "n-1-1", "7"))
		require.LessOrEqual(t, f.callCount(methodFind), 2*3)
	})
}

// Guards against streams of the time before a release that can't be taken up once it has begun:
// their records were not sent while there was one version.
func TestRecordsAreSentWhenSecondVersionAppears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2, "v1")
		f.members["n-0-0"].registry.Began("s", "old", "v1")
		time.Sleep(2 * time.Second)
		f.list("v1", "v2")
		time.Sleep(5 * time.Millisecond)
		f.set(func(m *member) { m.down = true }, "n-0-0")
		for _, name := range []string{"n-0-1", "n-1-0", "n-2-1"} {
			require.Equal(t, "v1", f.find(t, name, "old").Version, name)
		}
	})
}

// Guards against an instance with an old list that takes its only version for that of all
// streams, and against its own streams being unknown to others.
func TestOldListDoesNotShowTheOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, "v1")
		f.members["n-0-0"].registry.Began("s", "before", "v1")
		f.set(func(m *member) { m.listAge = maxListAge + time.Millisecond }, "n-0-0")
		f.set(func(m *member) { m.cut = true }, "n-0-0")
		require.Equal(t, Unknown, f.find(t, "n-0-0", "elsewhere").Source)
		f.set(func(m *member) { m.cut = false }, "n-0-0")
		require.Equal(t, OnlyVersion, f.find(t, "n-0-0", "elsewhere").Source, "the lists of others are new")
		f.members["n-0-0"].registry.Began("s", "during", "v1")
		time.Sleep(2 * tellInterval)
		f.list("v1", "v2")
		require.Equal(t, Unknown, f.find(t, "n-0-0", "elsewhere").Source)
		f.set(func(m *member) { m.down = true }, "n-0-0")
		require.Equal(t, "v1", f.find(t, "n-1-0", "before").Version)
		require.Equal(t, "v1", f.find(t, "n-1-0", "during").Version)
	})
}

// Guards against a search that takes longer than a caller notices, while instances that may
// have the record hang.
func TestSearchEndsWhileInstancesHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2, "v1", "v2")
		for _, i := range f.instances[1:] {
			f.set(func(m *member) { m.hung = true }, i.Name)
		}
		began := time.Now()
		require.Equal(t, Unknown, f.find(t, "n-0-0", "x").Source)
		require.LessOrEqual(t, time.Since(began), askTimeout)
	})
}

// Guards against streams that can't be taken up at an instance that has just started, while
// others have long known that the service has one version only.
func TestStartedInstanceAsksWhetherThereIsOnlyOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, "v1")
		started := f.members["n-0-0"]
		started.registry = New(started.registry.opts)
		list := []roster.Target{{ID: "t", Service: "s", Version: "v1", Domain: "d0", Started: time.Now().UnixMilli()}}
		started.registry.SetTargets(list)
		require.Equal(t, OnlyVersion, f.find(t, "n-0-0", "x").Source)
		require.Equal(t, "v1", f.find(t, "n-0-0", "").Version)
		// The others have not read the latest list yet.
		started.registry.SetTargets(append(list, roster.Target{ID: "u", Service: "s", Version: "v2", Domain: "d0"}))
		require.Equal(t, Unknown, f.find(t, "n-0-0", "x").Source)
	})
}

// Guards against searches that fail each other: one that has found its record must not end calls
// on connections that others use.
func TestCallsAreNotEndedWhenRecordIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2, "v1", "v2")
		f.members["n-1-0"].registry.Began("s", "x", "v1")
		time.Sleep(5 * time.Millisecond)
		f.set(func(m *member) { m.hung = true }, "n-2-0")
		began := time.Now()
		require.Equal(t, "v1", f.find(t, "n-0-1", "x").Version)
		require.Less(t, time.Since(began), askTimeout/2)
		time.Sleep(2 * askTimeout)
		require.Zero(t, f.cancelledCalls)
	})
}

// Guards against records that pile up for an instance that does not answer.
func TestRecordsForHungInstanceAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, "v1", "v2")
		f.set(func(m *member) { m.hung = true }, "n-1-0")
		own := f.members["n-0-0"].registry
		for n := range 3 * maxPending {
			own.Began("s", fmt.Sprint(n), "v1")
		}
		synctest.Wait()
		require.LessOrEqual(t, own.pendingFor("n-1-0"), maxPending)
		time.Sleep(streamLifetime)
		time.Sleep(time.Second)
		require.Zero(t, own.pendingFor("n-1-0"))
	})
}

// pendingFor returns the number of records that wait for an instance.
func (r *Registry) pendingFor(address string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if box := r.outboxes[address]; box != nil {
		return len(box.pending)
	}
	return 0
}

// Guards against holders on which two instances do not agree, against a single instance that
// has all records, and against records in one domain only.
func TestHoldersFollowFromStreamAndInstances(t *testing.T) {
	var list []mesh.Instance
	for n := range 40 {
		list = append(list, mesh.Instance{Name: fmt.Sprint("n", n), Domain: fmt.Sprint("d", n%4)})
	}
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	used := map[string]int{}
	for n := range 400 {
		stream := fmt.Sprint("stream-", n)
		found := toldHolders(list, stream, "d2")
		require.Equal(t, found, toldHolders(reversed, stream, "d2"))
		domains := map[string]bool{}
		for _, holder := range found {
			domains[holder.Domain] = true
			used[holder.Name]++
		}
		require.Len(t, domains, toldDomains)
		require.True(t, domains["d2"])
		asked := askedHolders(list, stream)
		require.Len(t, asked, 4*askedPerDomain)
		require.Subset(t, asked, found)
	}
	require.Len(t, used, len(list))
	for name, count := range used {
		require.Less(t, count, 100, "%s: ten of 400 in its domain have 40 each on average", name)
	}
	require.Len(t, toldHolders(list[:1], "x", "d0"), 1)
	require.Len(t, toldHolders([]mesh.Instance{list[0], list[4], list[8]}, "x", "d0"), 2, "one domain")
	require.Len(t, toldHolders(list[:2], "x", "d9"), 2, "no instance is up in the domain")
	require.Empty(t, toldHolders(nil, "x", "d0"))
	require.Empty(t, askedHolders(nil, "x"))
}
