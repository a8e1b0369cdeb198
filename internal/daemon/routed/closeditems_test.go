package routed

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxWait is the longest time that an accepted item may wait while targets are idle, from the last end of a
	// target or other fault on.
	maxWait = 10 * time.Second
	// closedItemEvents is the number of events of each item.
	closedItemEvents = 500
	// itemsDeadline is the time until all items have to be done, from the last fault on.
	itemsDeadline = 40 * time.Second
)

// closedItemFaults are what happens once items are closed.
var closedItemFaults = map[string]func(f *crashFleet, item string){
	"nothing":       func(*crashFleet, string) {},
	"owner killed":  func(f *crashFleet, item string) { f.ownerOf(item).kill() },
	"all restarted": func(f *crashFleet, _ string) { f.killAll(); sleep(500 * time.Millisecond); f.startAll() },
	"domain cut off": func(f *crashFleet, item string) {
		own := f.domainIPs(f.ownerOf(item).domain)
		var others []string
		for _, domain := range []string{"d0", "d1", "d2"} {
			if domain != f.ownerOf(item).domain {
				others = append(others, f.domainIPs(domain)...)
			}
		}
		f.net.Partition(own, append(others, storeIP))
	},
}

// ownerOf returns the instance that holds an item back.
func (f *crashFleet) ownerOf(item string) *testInstance {
	for _, inst := range f.instances {
		if strings.Contains(inst.logs.String(), "event=item_held item="+item+" ") {
			return inst
		}
	}
	require.Fail(f.t, "the item is not held", "%s", f.linesOf(item))
	return nil
}

// closeByCrashes submits a job of one item and crashes the targets that run it, each soon after it has begun, until
// the item is closed although it is sound. It returns the item's id.
func (f *crashFleet) closeByCrashes(job string) (item string) {
	f.t.Helper()
	item = itemID(job, 0)
	require.Equal(f.t, http.StatusAccepted, f.instances[0].send(batchJob(job, 1, closedItemEvents)).status)
	for n := range toleratedEnds {
		f.crashUnder(item, time.Duration(100+60*n)*time.Millisecond)
	}
	for range 400 {
		for _, inst := range f.instances {
			if strings.Contains(inst.logs.String(), "event=item_held item="+item+" ") {
				return item
			}
		}
		sleep(10 * time.Millisecond)
	}
	require.Fail(f.t, "the item is not closed", "%s", f.linesOf(item))
	return ""
}

// longestWait returns the longest time for which no target ran one of some items until all of them were done, from
// now on.
func (f *crashFleet) longestWait(items []string) (longest time.Duration) {
	f.t.Helper()
	from := time.Now()
	ranAt := map[string]time.Time{}
	for left := len(items); left > 0; {
		require.Less(f.t, time.Since(from), itemsDeadline, "%d items are left: %s", left, f.linesOf(items[0]))
		left = 0
		for _, id := range items {
			if f.completed(id) {
				continue
			}
			left++
			if ranAt[id].IsZero() || f.targetRunning(id, 0) != nil {
				ranAt[id] = time.Now()
			}
			longest = max(longest, time.Since(ranAt[id]))
		}
		sleep(50 * time.Millisecond)
	}
	return longest
}

// completed reports whether a target has run an item to its end.
func (f *crashFleet) completed(item string) bool {
	for _, t := range f.targets {
		for _, run := range t.Runs() {
			if run.ID == item && run.Complete {
				return true
			}
		}
	}
	return false
}

// Guards against sound items that were closed by mistake and wait although all targets are idle: for a part of the
// time until they expire, and beyond a kill of their owner, a restart of all instances or a partition.
func TestClosedSoundItemsRunSoonWhileTargetsAreIdle(t *testing.T) {
	for name, fault := range closedItemFaults {
		for closings := 1; closings <= 3; closings++ {
			t.Run(fmt.Sprint(name, "/", closings), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, soundLoad(0, 10))
					var items []string
					for n := range closings {
						items = append(items, f.closeByCrashes(fmt.Sprint("job-", n)))
					}
					fault(f, items[closings-1])
					longest := f.longestWait(items)
					t.Logf("longest %v", longest)
					require.LessOrEqual(t, longest, maxWait)
				})
			})
		}
	}
}

// Guards against a sound item that waits until the claim of its trial lapses, since the trial yielded its slot
// to online requests.
func TestTrialThatYieldsIsRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, soundLoad(0, 10))
		item := f.closeByCrashes("job-0")
		owner := f.ownerOf(item)
		for begin := time.Now(); !strings.Contains(owner.logs.String(), "event=request_trial "); {
			require.Less(t, time.Since(begin), maxWait)
			sleep(10 * time.Millisecond)
		}
		// More requests at once than the targets have slots.
		var callers sync.WaitGroup
		for n := range 150 {
			callers.Go(func() { f.request(true, fmt.Sprint("r-", n), fmt.Sprint("own-", n), []int{n % len(f.instances)}) })
		}
		longest := f.longestWait([]string{item})
		callers.Wait()
		t.Logf("longest %v", longest)
		require.Contains(t, owner.logs.String(), "event=item_yields item="+item+" ")
		require.LessOrEqual(t, longest, maxWait)
	})
}
