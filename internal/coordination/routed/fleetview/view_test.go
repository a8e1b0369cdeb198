package fleetview

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/state/route"
	"merlintiller/internal/wait"
)

const (
	// maxUseAfterRemoval is how long after the removal of its entry a target may get
	// requests.
	maxUseAfterRemoval = 2 * time.Second
	// maxSendTime is the longest time in these tests that a placed request takes to
	// reach its target.
	maxSendTime = 100 * time.Millisecond
)

var errStoreDown = errors.New("store unavailable")

// fakeStore is a store with one list of targets that can be made unavailable.
type fakeStore struct {
	mu      sync.Mutex
	down    bool
	records []external.KeyedRecord
	changes []external.KeyedRecord
}

func (s *fakeStore) Append(context.Context, external.Partition, []external.KeyedRecord, int64) (int64, error) {
	return 0, errStoreDown
}

func (s *fakeStore) Newest(context.Context, external.Partition) (external.KeyedPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return external.KeyedPage{}, errStoreDown
	}
	end := int64(len(s.changes))
	return external.KeyedPage{Records: slices.Clone(s.records), End: end, Next: end}, nil
}

func (s *fakeStore) Read(ctx context.Context, _ external.Partition, from int64, longest time.Duration) (external.KeyedPage, error) {
	if err := ctx.Err(); err != nil {
		return external.KeyedPage{}, err
	}
	page, err := s.after(from)
	if err == nil && page.Next == from {
		wait.For(ctx, longest)
		page.End = s.end()
	}
	return page, err
}

// after returns the changes from an offset on.
func (s *fakeStore) after(from int64) (external.KeyedPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return external.KeyedPage{}, errStoreDown
	}
	end := int64(len(s.changes))
	return external.KeyedPage{Records: slices.Clone(s.changes[min(from, end):]), Next: max(from, end), End: end}, nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) end() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.changes))
}

func (s *fakeStore) put(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := external.KeyedRecord{Key: id, Value: []byte(id), Offset: int64(len(s.changes))}
	s.changes = append(s.changes, record)
	s.records = append(s.records, record)
}

func (s *fakeStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, external.KeyedRecord{Key: id, Offset: int64(len(s.changes))})
	s.records = slices.DeleteFunc(s.records, func(r external.KeyedRecord) bool { return r.Key == id })
}

// testView is a View of a fakeStore with the targets that it published last.
type testView struct {
	view *View

	mu        sync.Mutex
	usableIDs []string
}

// usable returns the ids of the targets that may be used.
func (v *testView) usable() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.usableIDs
}

func newTestView(store external.KeyedLog) *testView {
	out := &testView{}
	out.view = New(Options{
		Log: store, Logger: log.NewNopLogger(),
		Decoders: Decoders{Target: func(id string, _ []byte) (roster.Target, error) { return roster.Target{ID: id}, nil }},
		OnConfig: func(*route.Table) {},
		OnTargets: func(_ int64, targets []roster.Target) {
			out.mu.Lock()
			defer out.mu.Unlock()
			out.usableIDs = nil
			for _, t := range targets {
				out.usableIDs = append(out.usableIDs, t.ID)
			}
		},
	})
	return out
}

// watchTargets runs the watcher of the targets until ctx ends.
func (v *testView) watchTargets(ctx context.Context) { v.watch(ctx, "targets") }

// watch runs the watcher with a name until ctx ends.
func (v *testView) watch(ctx context.Context, name string) {
	for _, service := range v.view.BackgroundServices() {
		if w, ok := service.(*watcher); ok && w.name == name {
			go func() { _ = w.Serve(ctx) }()
		}
	}
}

// Guards against requests to a target that has terminated: the store is unreachable for
// seconds, and when it returns, the entry of a target is removed that never was listed
// as leaving. The instance notices the return with a delay and attributes the missing
// entry to the outage; it must not do so for longer than the target serves.
func TestTargetRemovedAtStoreReturnIsUnusedInTime(t *testing.T) {
	for _, noticeDelay := range []time.Duration{0, 80 * time.Millisecond, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{}
			store.put("stays")
			store.put("goes")
			v := newTestView(store)
			v.watchTargets(t.Context())
			time.Sleep(time.Second)
			synctest.Wait()
			require.Equal(t, []string{"goes", "stays"}, v.usable())

			store.setDown(true)
			time.Sleep(7 * time.Second)
			store.setDown(false)
			store.remove("goes")
			time.Sleep(noticeDelay)
			v.view.StoreAnswered()

			time.Sleep(maxUseAfterRemoval - maxSendTime - noticeDelay)
			synctest.Wait()
			require.Equal(t, []string{"stays"}, v.usable(), "return noticed after %s", noticeDelay)
		})
	}
}

// Guards against rejecting all requests after a store outage: the store is unavailable
// for longer than entries live, and its list is empty on return, although every target
// serves, until the targets register again.
func TestTargetsExpiredInStoreOutageRemainUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		store.put("a")
		store.put("b")
		v := newTestView(store)
		v.watchTargets(t.Context())
		time.Sleep(time.Second)

		store.setDown(true)
		time.Sleep(20 * time.Second)
		store.remove("a")
		store.remove("b")
		store.setDown(false)
		v.view.StoreAnswered()
		for range 13 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			require.Equal(t, []string{"a", "b"}, v.usable())
		}
		store.put("b")
		time.Sleep(maxUseAfterRemoval)
		synctest.Wait()
		require.Equal(t, []string{"b"}, v.usable())
	})
}

// Guards against unused slots after a network partition: a failure domain is isolated
// for longer than entries live. When the partition ends, its instances receive the list
// of an instance of another domain before the store answers, and this list lacks all
// targets of their own domain. These targets serve throughout; callers must not wait for
// slots of other domains until the targets register again.
func TestTargetsExpiredInPartitionRemainUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		store.put("own")
		store.put("far")
		v := newTestView(store)
		v.watchTargets(t.Context())
		time.Sleep(time.Second)

		store.setDown(true)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		store.remove("own")
		v.view.AdoptTargets([]roster.Target{{ID: "far"}}, store.end(), "peer")
		require.Equal(t, []string{"far", "own"}, v.usable())

		store.setDown(false)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []string{"far", "own"}, v.usable())

		time.Sleep(maxUseAfterRemoval - time.Second - maxSendTime)
		synctest.Wait()
		require.Equal(t, []string{"far"}, v.usable(), "a target that does not register again must not be used after the grace period")
	})
}
