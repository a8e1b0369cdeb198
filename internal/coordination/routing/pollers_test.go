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
	// unavailable makes reads of the list fail.
	unavailable bool
	// frozenAddress is the address of a target whose load is never answered.
	frozenAddress string
	// wrongTarget makes load reports name another target.
	wrongTarget bool
	// reads counts the reads of the load by address.
	reads map[string]int
}

func (f *fakePlatform) List(context.Context) (external.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return external.Listing{}, external.ErrUnavailable
	}
	return f.listing, nil
}

func (f *fakePlatform) Load(ctx context.Context, address string) (external.Load, error) {
	f.mu.Lock()
	frozen := f.frozenAddress == address
	f.reads[address]++
	wrongTarget := f.wrongTarget
	f.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return external.Load{}, errors.New("no answer")
	}
	if wrongTarget {
		return external.Load{Target: "another-target", Running: 9}, nil
	}
	return external.Load{Running: 3}, nil
}

func (f *fakePlatform) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// runPollers runs the pollers in a synctest bubble, which has a virtual clock.
func runPollers(t *testing.T, run func(f *fakePlatform, router *Router)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{reads: map[string]int{}}
		local, remote := listedTargets(2, localDomain), listedTargets(1, remoteDomain)
		local[0].Address, local[1].Address, remote[0].Address = "local-0", "local-1", "remote-0"
		f.listing.Targets = append(local, remote...)
		router := NewRouter(Options{Domain: localDomain})
		supervisor := suture.NewSimple("test")
		for _, service := range Pollers(PollOptions{
			Router: router, List: f, Loads: f, Domain: localDomain,
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
	runPollers(t, func(f *fakePlatform, router *Router) {
		<-time.After(20 * time.Second)
		for _, status := range router.Targets() {
			require.InDelta(t, 3, status.PeerStreams, 0.1)
		}
		f.withLock(func() {
			require.InDelta(t, 20, f.reads["local-0"], 2, "a local target is read every second")
			require.InDelta(t, 5, f.reads["remote-0"], 1, "a target of another domain is read every four seconds")
		})
	})
}

// The platform's list marks a target as leaving. The target gets no new calls
// after the next read of the list, which is about a second later.
func TestLeavingTargetIsNoticedWithinSeconds(t *testing.T) {
	runPollers(t, func(f *fakePlatform, router *Router) {
		<-time.After(2 * time.Second)
		f.withLock(func() {
			f.listing.Targets = append([]external.ListedTarget{{ID: "ploiesti-00", Service: service, Domain: localDomain, Address: "local-0", Leaving: true}}, f.listing.Targets[1:]...)
		})
		<-time.After(1100 * time.Millisecond)
		for range 20 {
			pick, _, ok := router.Pick(coordination.PickRequest{Service: service})
			require.True(t, ok)
			require.NotEqual(t, protocol.TargetID("ploiesti-00"), pick.Target)
		}
	})
}

// The platform's list cannot be read for an hour. The last targets stay in use.
func TestListOutageKeepsLastTargets(t *testing.T) {
	runPollers(t, func(f *fakePlatform, router *Router) {
		<-time.After(2 * time.Second)
		f.withLock(func() { f.unavailable = true })
		<-time.After(time.Hour)
		_, _, ok := router.Pick(coordination.PickRequest{Service: service})
		require.True(t, ok)
	})
}

// One target hangs and never answers a read of its load. The loads of the other
// targets are still read.
func TestFrozenTargetDoesNotStopReports(t *testing.T) {
	runPollers(t, func(f *fakePlatform, router *Router) {
		f.withLock(func() { f.frozenAddress = "local-0" })
		<-time.After(20 * time.Second)
		f.withLock(func() { require.Greater(t, f.reads["local-1"], 15) })
	})
}

// After a restart, another process has a target's address. The load of that
// process must not be recorded as the target's load.
func TestLoadOfAnotherTargetIsDropped(t *testing.T) {
	runPollers(t, func(f *fakePlatform, router *Router) {
		f.withLock(func() { f.wrongTarget = true })
		<-time.After(5 * time.Second)
		for _, status := range router.Targets() {
			require.Zero(t, status.PeerStreams)
		}
	})
}

func TestRetryBudgetLimitsShareOfRetries(t *testing.T) {
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
