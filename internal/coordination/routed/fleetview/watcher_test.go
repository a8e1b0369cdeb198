package fleetview

import (
	"context"
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
)

// countingStore is a fakeStore that counts the calls of a watcher and fails some of them.
type countingStore struct {
	fakeStore

	callsMu sync.Mutex
	// newest and reads hold the times of the calls.
	newest, reads []time.Time
	// failNewest and failReads are the numbers of further calls that fail.
	failNewest, failReads int
	// trimmed is the oldest offset that is retained.
	trimmed int64
	// longest is the largest number of records in one answer to Read.
	longest int
}

func (s *countingStore) Newest(ctx context.Context, p external.Partition) (external.KeyedPage, error) {
	if s.count(&s.newest, &s.failNewest) {
		return external.KeyedPage{}, errStoreDown
	}
	return s.fakeStore.Newest(ctx, p)
}

func (s *countingStore) Read(ctx context.Context, p external.Partition, from int64, longest time.Duration) (external.KeyedPage, error) {
	if s.count(&s.reads, &s.failReads) {
		return external.KeyedPage{}, errStoreDown
	}
	s.callsMu.Lock()
	trimmed := s.trimmed
	s.callsMu.Unlock()
	if from < trimmed {
		return external.KeyedPage{}, external.ErrTrimmed
	}
	page, err := s.fakeStore.Read(ctx, p, from, longest)
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	s.longest = max(s.longest, len(page.Records))
	return page, err
}

// count records a call and reports whether it fails.
func (s *countingStore) count(calls *[]time.Time, failures *int) bool {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	*calls = append(*calls, time.Now())
	if *failures == 0 {
		return false
	}
	*failures--
	return true
}

func (s *countingStore) fail(newest, reads int) {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	s.failNewest, s.failReads = newest, reads
}

func (s *countingStore) trim() {
	end := s.end()
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	s.trimmed = end
}

func (s *countingStore) newestCalls() int {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	return len(s.newest)
}

func (s *countingStore) longestRead() int {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	return s.longest
}

// renew adds a record with an entry that is already listed.
func (s *countingStore) renew(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, external.KeyedRecord{Key: id, Value: []byte(id), Offset: int64(len(s.changes))})
}

// forget deletes all records and starts again at offset 0.
func (s *countingStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records, s.changes = nil, nil
}

// watchDrains runs the watcher of the operators' records, each of which drains the
// domain that its key names, and returns the View.
func watchDrains(t *testing.T, store external.KeyedLog) *View {
	return watchDrainsWithSeed(t, store, 1)
}

func watchDrainsWithSeed(t *testing.T, store external.KeyedLog, seed uint64) *View {
	view := New(Options{
		Log: store, Logger: log.NewNopLogger(), Seed: seed,
		Decoders:  Decoders{Drain: func(key string) (string, bool) { return key, true }},
		OnConfig:  func(*route.Table) {},
		OnTargets: func(int64, []roster.Target) {},
	})
	(&testView{view: view}).watch(t.Context(), "config")
	return view
}

// sleep advances the clock of the bubble and waits until the watchers are idle.
func sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against an overload that feeds itself: each failed read is followed by a read of
// the whole configuration.
func TestFailedReadsCauseNoFullRead(t *testing.T) {
	const failures = 5
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		store.put("a")
		view := watchDrains(t, store)
		sleep(500 * time.Millisecond)
		store.fail(0, failures)
		sleep(time.Second)
		store.put("b")
		sleep(4 * time.Second)
		require.Equal(t, []string{"a", "b"}, view.Drains().Domains)
		require.Equal(t, 1, store.newestCalls())
	})
}

// Guards against a configuration that comes into force late because a periodic full read
// fails: the changes are small and can still be read.
func TestFailedReloadDelaysNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		store.put("a")
		view := watchDrains(t, store)
		sleep(time.Second)
		store.fail(1000, 0)
		for _, domain := range []string{"b", "c", "d", "e"} {
			sleep(5 * time.Second)
			store.put(domain)
			sleep(2 * time.Second)
			require.Contains(t, view.Drains().Domains, domain)
		}
		require.LessOrEqual(t, store.newestCalls(), 5, "one at the start, then one in each interval")
	})
}

// Guards against an outdated view after the store has deleted the records that the
// watcher would read next.
func TestTrimmedRecordsAreReadInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		store.put("a")
		view := watchDrains(t, store)
		sleep(time.Second)
		store.setDown(true)
		sleep(3 * time.Second)
		store.put("b")
		store.put("c")
		store.trim()
		store.setDown(false)
		sleep(2 * time.Second)
		require.Equal(t, []string{"a", "b", "c"}, view.Drains().Domains)
		require.Equal(t, 2, store.newestCalls())
	})
}

// Guards against waiting at an offset that a store which lost its records will not reach
// for long.
func TestEndBeforeKnownOffsetCausesFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		for _, id := range []string{"a", "b", "c"} {
			store.put(id)
		}
		watchDrains(t, store)
		sleep(time.Second)
		store.setDown(true)
		sleep(time.Second)
		store.forget()
		store.setDown(false)
		sleep(4 * time.Second)
		require.Equal(t, 2, store.newestCalls())
	})
}

// Guards against a long outage after which the changes since its start are read: each
// target renews its entry every second, so they are many times the size of the list.
func TestListOfTargetsIsReadInFullAfterLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		store.put("a")
		v := newTestView(store)
		v.watch(t.Context(), "targets")
		sleep(time.Second)
		store.setDown(true)
		for range 8 {
			sleep(time.Second)
			store.renew("a")
		}
		store.setDown(false)
		sleep(1500 * time.Millisecond)
		require.EqualValues(t, 9, v.view.RosterMark())
		require.Less(t, store.longestRead(), 4, "records in one read")
	})
}

// Guards against a view that stays wrong for good after a change was missed.
func TestAllKeysAreReadInFullPeriodically(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		watchDrains(t, store)
		sleep(time.Minute + time.Second)
		require.InDelta(t, 7, store.newestCalls(), 1)
	})
}

// watchTogether starts the watchers of instances at the same time.
func watchTogether(t *testing.T, store external.KeyedLog, instances int) {
	for seed := range instances {
		watchDrainsWithSeed(t, store, uint64(seed))
	}
}

// mostAtOnce returns the largest number of calls within any 10 ms after a time.
func (s *countingStore) mostAtOnce(calls *[]time.Time, after time.Time) (most int) {
	const window = 10 * time.Millisecond
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	sorted := slices.SortedFunc(slices.Values(*calls), time.Time.Compare)
	first := 0
	for last, at := range sorted {
		for at.Sub(sorted[first]) > window || (first < last && !sorted[first].After(after)) {
			first++
		}
		if at.After(after) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// Guards against a store that is overloaded by retries: instances whose reads failed at the
// same time repeat them at the same time.
func TestRetriesOfInstancesSpreadOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 50
		store := &countingStore{}
		watchTogether(t, store, instances)
		sleep(1500 * time.Millisecond)
		store.setDown(true)
		sleep(time.Second)
		firstFailure := time.Now()
		sleep(5 * time.Second)
		require.Less(t, store.mostAtOnce(&store.reads, firstFailure), instances/5)
	})
}

// Guards against a store that is overloaded every few seconds by instances that started at
// the same time and read all keys at the same time.
func TestFullReadsOfInstancesSpreadOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 50
		store := &countingStore{}
		watchTogether(t, store, instances)
		sleep(time.Second)
		started := time.Now()
		sleep(time.Minute)
		require.Less(t, store.mostAtOnce(&store.newest, started), instances/2)
		require.InDelta(t, 6*instances, store.newestCalls()-instances, instances)
	})
}

// Guards against a target that stays unused after a store outage because the retry comes
// after returnWindow, when its missing entry is no longer attributed to the outage.
func TestRetriesComeWithinReturnWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		watchTogether(t, store, 1)
		sleep(1500 * time.Millisecond)
		store.setDown(true)
		sleep(time.Second)
		outage := time.Now()
		sleep(5 * time.Minute)
		calls := slices.SortedFunc(slices.Values(slices.Concat(store.reads, store.newest)), time.Time.Compare)
		calls = slices.DeleteFunc(calls, outage.After)
		require.Greater(t, len(calls), 200)
		for i := range len(calls) - 1 {
			require.Less(t, calls[i+1].Sub(calls[i]), returnWindow)
		}
	})
}
