package fleetview

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
)

// A store answers an instance's reads no more for some seconds, while operators replace the
// configuration three times a second. Guards against reading each of the versions after
// that: only the newest one counts, and each may be some hundred kilobytes, for each instance.
func TestOnlyNewestConfigurationIsReadAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		store.put("config")
		watchDrains(t, store)
		sleep(1500 * time.Millisecond)
		store.fail(1<<30, 1<<30)
		for range 12 {
			sleep(330 * time.Millisecond)
			store.renew("config")
		}
		store.fail(0, 0)
		sleep(1500 * time.Millisecond)
		require.Less(t, store.longestRead(), 4, "versions in one read")
	})
}

// watchByName runs one of the two watchers.
func watchByName(t *testing.T, store external.KeyedLog, watch string) {
	if watch == "config" {
		watchDrains(t, store)
		return
	}
	newTestView(store).watch(t.Context(), watch)
}

// Guards against a busy store that retries keep busy: once the last read is older than
// some seconds, each retry reads all keys.
func TestUnansweredRetriesAreRarelyFullReads(t *testing.T) {
	for _, watch := range []string{"config", "targets"} {
		t.Run(watch, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &countingStore{}
				store.put("a")
				watchByName(t, store, watch)
				sleep(1500 * time.Millisecond)
				before := store.newestCalls()
				store.fail(1<<30, 1<<30)
				sleep(time.Minute)
				require.LessOrEqual(t, store.newestCalls()-before, 8, "one in each interval")
			})
		})
	}
}

// Guards against full reads that keep a store busy which answers small reads only: each may
// have cost its whole transfer.
func TestFullReadsThatFailAreRepeatedRarely(t *testing.T) {
	for _, watch := range []string{"config", "targets"} {
		t.Run(watch, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &countingStore{}
				store.put("a")
				watchByName(t, store, watch)
				sleep(1500 * time.Millisecond)
				before := store.newestCalls()
				store.fail(1<<30, 1<<30)
				for range 8 {
					sleep(500 * time.Millisecond)
					store.renew("a")
				}
				store.fail(1<<30, 0)
				sleep(time.Minute)
				require.LessOrEqual(t, store.newestCalls()-before, 20)
				require.Less(t, store.longestRead(), 4, "records in one read")
				store.fail(0, 0)
				calls := store.newestCalls()
				sleep(5500 * time.Millisecond)
				require.Greater(t, store.newestCalls(), calls)
			})
		})
	}
}

// Guards against changes that come into force late after an outage, whether they are few
// or many, because the last full read of the outage has just failed.
func TestChangesAreReadSoonAfterOutage(t *testing.T) {
	for _, changes := range []int{1, 2, 3, 20} {
		for outage := 3 * time.Second; outage < 30*time.Second; outage += 900 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				store := &countingStore{}
				store.put("a")
				view := watchDrains(t, store)
				sleep(time.Second)
				store.setDown(true)
				sleep(outage)
				for range changes - 1 {
					store.renew("a")
				}
				store.put("b")
				store.setDown(false)
				sleep(1100 * time.Millisecond)
				require.Equal(t, []string{"a", "b"}, view.Drains().Domains, "%d changes, outage of %s", changes, outage)
				require.Less(t, store.longestRead(), 4, "records in one read")
			})
		}
	}
}

// strictStore rejects reads beyond the end of the partition.
type strictStore struct{ countingStore }

func (s *strictStore) Read(ctx context.Context, p external.Partition, from int64, longest time.Duration) (external.KeyedPage, error) {
	if from > s.end() {
		return external.KeyedPage{}, external.ErrTrimmed
	}
	return s.countingStore.Read(ctx, p, from, longest)
}

// Guards against a store that does not tell how many records were missed, so that the watch
// asks again and again and reads none of them.
func TestChangesAreReadAfterOutageOfStoreThatRejectsReadsBeyondTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &strictStore{}
		store.put("a")
		view := watchDrains(t, store)
		sleep(1500 * time.Millisecond)
		store.fail(1<<30, 1<<30)
		sleep(4 * time.Second)
		store.put("b")
		store.fail(0, 0)
		sleep(1500 * time.Millisecond)
		require.Contains(t, view.Drains().Domains, "b")
	})
}
