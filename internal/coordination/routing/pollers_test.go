package routing

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// fakePlatform serves a list and load reports.
type fakePlatform struct {
	mu      sync.Mutex
	listing external.Listing
	down    bool
	frozen  string
	wrong   bool
	reads   map[string]int
}

func (f *fakePlatform) List(context.Context) (external.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return external.Listing{}, external.ErrUnavailable
	}
	return f.listing, nil
}

func (f *fakePlatform) Load(ctx context.Context, address string) (external.Load, error) {
	f.mu.Lock()
	frozen := f.frozen == address
	f.reads[address]++
	wrong := f.wrong
	f.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return external.Load{}, errors.New("no answer")
	}
	if wrong {
		return external.Load{Target: "somebody", Running: 9}, nil
	}
	return external.Load{Running: 3}, nil
}

func (f *fakePlatform) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// polled runs the duties in a bubble with a virtual clock.
func polled(t *testing.T, run func(f *fakePlatform, router *Router)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{reads: map[string]int{}}
		near, far := listed(2, here), listed(1, there)
		near[0].Address, near[1].Address, far[0].Address = "n0", "n1", "f0"
		f.listing.Targets = append(near, far...)
		router := NewRouter(Options{Domain: here})
		supervisor := suture.NewSimple("test")
		for _, service := range Pollers(PollOptions{
			Router: router, List: f, Loads: f, Domain: here,
			Fleet: func() *protocol.Fleet { return &protocol.Fleet{} },
		}) {
			supervisor.Add(service)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := supervisor.ServeBackground(ctx)
		run(f, router)
		cancel()
		<-ended
	})
}

func TestPollersReadListAndLoads(t *testing.T) {
	polled(t, func(f *fakePlatform, router *Router) {
		<-time.After(20 * time.Second)
		for _, one := range router.Targets() {
			require.InDelta(t, 3, one.PeerStreams, 0.1)
		}
		f.set(func() {
			require.InDelta(t, 20, f.reads["n0"], 2, "each second")
			require.InDelta(t, 5, f.reads["f0"], 1, "another domain's target every fourth")
		})
	})
}

// A target is marked as leaving in the platform's list. It gets no new work
// after a few seconds.
func TestLeavingTargetIsNoticedWithinSeconds(t *testing.T) {
	polled(t, func(f *fakePlatform, router *Router) {
		<-time.After(2 * time.Second)
		f.set(func() {
			f.listing.Targets = append([]external.ListedTarget{{ID: "ploiesti-00", Service: service, Domain: here, Address: "n0", Leaving: true}}, f.listing.Targets[1:]...)
		})
		<-time.After(1100 * time.Millisecond)
		for range 20 {
			pick, _, ok := router.Pick(coordination.PickRequest{Service: service})
			require.True(t, ok)
			require.NotEqual(t, protocol.TargetID("ploiesti-00"), pick.Target)
		}
	})
}

// The platform's list can't be read for an hour. The last targets stay in use.
func TestListOutageKeepsTargets(t *testing.T) {
	polled(t, func(f *fakePlatform, router *Router) {
		<-time.After(2 * time.Second)
		f.set(func() { f.down = true })
		<-time.After(time.Hour)
		_, _, ok := router.Pick(coordination.PickRequest{Service: service})
		require.True(t, ok)
	})
}

// One target is frozen and never answers a look at its load. The reports of the
// others go on coming.
func TestFrozenTargetDoesNotStopTheReports(t *testing.T) {
	polled(t, func(f *fakePlatform, router *Router) {
		f.set(func() { f.frozen = "n0" })
		<-time.After(20 * time.Second)
		f.set(func() { require.Greater(t, f.reads["n1"], 15) })
	})
}

// A restarted machine gives a target's address to another process. Its load
// must not be taken for the target's.
func TestLoadOfAnotherTargetIsDropped(t *testing.T) {
	polled(t, func(f *fakePlatform, router *Router) {
		f.set(func() { f.wrong = true })
		<-time.After(5 * time.Second)
		for _, one := range router.Targets() {
			require.Zero(t, one.PeerStreams)
		}
	})
}

func TestBudgetAllowsAShareOfRetries(t *testing.T) {
	budget := NewRetryBudget(0.1, 0, 2)
	now := start
	require.True(t, budget.TakeRetry(now))
	require.True(t, budget.TakeRetry(now))
	require.False(t, budget.TakeRetry(now))
	for range 10 {
		budget.RecordCall()
	}
	require.True(t, budget.TakeRetry(now))
	require.False(t, budget.TakeRetry(now))
}
