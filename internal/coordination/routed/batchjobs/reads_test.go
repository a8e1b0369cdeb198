package batchjobs

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/external"
	"merlintiller/internal/standin/sharedstore"
	"merlintiller/internal/state/jobs"
)

// countingLog is one instance's access to a store that takes some time to return a
// whole partition. It counts the reads.
type countingLog struct {
	*sharedstore.Direct
	loadTime time.Duration
	// unreachable makes each read fail.
	unreachable atomic.Bool

	loadsStarted, loadsDone, reads atomic.Int64
}

// Newest implements external.KeyedLog.
func (l *countingLog) Newest(ctx context.Context, at external.Partition) (external.KeyedPage, error) {
	l.loadsStarted.Add(1)
	select {
	case <-time.After(l.loadTime):
	case <-ctx.Done():
		return external.KeyedPage{}, external.ErrUnavailable
	}
	if l.unreachable.Load() {
		return external.KeyedPage{}, external.ErrUnavailable
	}
	l.loadsDone.Add(1)
	return l.Direct.Newest(ctx, at)
}

// Read implements external.KeyedLog.
func (l *countingLog) Read(ctx context.Context, at external.Partition, from int64, wait time.Duration) (external.KeyedPage, error) {
	if wait == 0 {
		l.reads.Add(1)
		sleep(time.Millisecond)
	}
	if l.unreachable.Load() {
		return external.KeyedPage{}, external.ErrUnavailable
	}
	return l.Direct.Read(ctx, at, from, wait)
}

// serviceFleet is a number of instances that share a store with one partition.
type serviceFleet struct {
	*testPartition
	instances []*serviceInstance

	mu sync.Mutex
	// owner is the instance that all others consider the owner of the partition.
	owner *serviceInstance
	// unreachable are the addresses that do not answer calls.
	unreachable map[string]bool
}

// serviceInstance is the JobService of one instance.
type serviceInstance struct {
	*JobService
	fleet    *serviceFleet
	self     mesh.Instance
	log      *countingLog
	storeAge time.Duration
	started  time.Time
}

// newServiceFleet starts instances that know each other for some time.
func newServiceFleet(t *testing.T, instances int, loadTime time.Duration) *serviceFleet {
	f := &serviceFleet{testPartition: newTestPartition(t, 2), unreachable: map[string]bool{}}
	// Loads go on after the requests that began them, and a bubble must not end before.
	t.Cleanup(func() { sleep(2 * catchUpLimit) })
	for n := range instances {
		f.instances = append(f.instances, f.newInstance(fmt.Sprint("n-", n), loadTime))
	}
	sleep(3 * time.Second)
	return f
}

func (f *serviceFleet) newInstance(name string, loadTime time.Duration) *serviceInstance {
	inst := &serviceInstance{
		fleet: f, self: mesh.Instance{Name: name, Address: name + ":1"},
		log: &countingLog{Direct: f.store, loadTime: loadTime}, started: time.Now(),
	}
	opts := *f.opts
	opts.Member, opts.Log, opts.Peers, opts.Caller = name, inst.log, inst, inst
	opts.StoreAge = func() time.Duration { return inst.storeAge }
	inst.JobService = NewJobService(&opts, &PartitionOwner{opts: &opts, owned: map[int]*ownedPartition{}}, nil)
	return inst
}

// own makes the instance the owner of the partition.
func (i *serviceInstance) own() *partitionReplica {
	p := newPartitionReplica(i.opts, i.fleet.at, nil)
	i.JobService.owner.owned[i.fleet.at.Number] = &ownedPartition{partitionReplica: p}
	i.fleet.owner = i
	go p.serve(i.fleet.t.Context())
	return p
}

func (i *serviceInstance) peer() mesh.Peer {
	heartbeat := mesh.Heartbeat{StoreAge: i.storeAge, Young: time.Since(i.started) < 2*time.Second}
	return mesh.Peer{Instance: i.self, State: mesh.Up, Heartbeat: heartbeat}
}

// Self, Peers, OwnerOf and Claims implement Peers.
func (i *serviceInstance) Self() mesh.Instance { return i.self }

func (i *serviceInstance) Peers() (peers []mesh.Peer) {
	for _, other := range i.fleet.instances {
		if other != i {
			peers = append(peers, other.peer())
		}
	}
	return peers
}

func (i *serviceInstance) OwnerOf(int) (mesh.Peer, bool) {
	if i.fleet.owner == nil {
		return mesh.Peer{}, false
	}
	return i.fleet.owner.peer(), true
}

func (i *serviceInstance) Claims() []mesh.Claim { return nil }

// Call implements protocol.Caller.
func (i *serviceInstance) Call(ctx context.Context, address, method string, args, reply any) error {
	sleep(time.Millisecond)
	if i.fleet.isUnreachable(address) {
		return syscall.ECONNREFUSED
	}
	receiverName, methodName, _ := strings.Cut(method, ".")
	for _, other := range i.fleet.instances {
		if other.self.Address != address {
			continue
		}
		var receiver any = other.Receiver()
		if receiverName == WaiterName {
			receiver = other.Waiter()
		}
		answer := reflect.New(reflect.TypeOf(reply).Elem())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			reflect.ValueOf(receiver).MethodByName(methodName).Call([]reflect.Value{reflect.ValueOf(args), answer})
		}()
		select {
		case <-ended:
			reflect.ValueOf(reply).Elem().Set(answer.Elem())
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return syscall.ECONNREFUSED
}

func (f *serviceFleet) isUnreachable(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unreachable[address]
}

// fail makes an instance unreachable. The others still consider it up.
func (f *serviceFleet) fail(i *serviceInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[i.self.Address] = true
}

// loads returns how many loads of the partition all instances began, and how many of
// them ended with the partition.
func (f *serviceFleet) loads() (started, done int64) {
	for _, i := range f.instances {
		started += i.log.loadsStarted.Load()
		done += i.log.loadsDone.Load()
	}
	return started, done
}

// read reads the results of a job within the time that callers have.
func (i *serviceInstance) read(job string) Verdict {
	ctx, cancel := context.WithTimeout(i.fleet.t.Context(), 2500*time.Millisecond)
	defer cancel()
	return i.Results(ctx, ResultsCall{Job: job, Organisation: "o"}).Verdict
}

// readEverywhere reads a job at each of some instances several times at once.
func (f *serviceFleet) readEverywhere(instances []*serviceInstance, job string, timesEach int) map[Verdict]int {
	var mu sync.Mutex
	var calls sync.WaitGroup
	verdicts := map[Verdict]int{}
	for _, i := range instances {
		for range timesEach {
			calls.Go(func() {
				verdict := i.read(job)
				mu.Lock()
				defer mu.Unlock()
				verdicts[verdict]++
			})
		}
	}
	calls.Wait()
	return verdicts
}

// addJob appends a job of one item to the store.
func (p *testPartition) addJob(id string) {
	job := &jobs.Job{ID: id, Organisation: "o", Submitted: time.Now(), Items: []jobs.Item{{ID: "i", Path: "/", Body: []byte("body")}}}
	records, err := jobs.EncodeJob(job, p.opts.RecordBytes)
	require.NoError(p.t, err)
	_, err = p.store.Append(p.t.Context(), p.at, records, external.AnyEnd)
	require.NoError(p.t, err)
}

// Many callers read jobs of a partition at an instance that has to load it. If each
// request loaded it, the store's read rate would be used up by copies of the same data.
func TestConcurrentReadsShareOneLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 1, 200*time.Millisecond)
		require.Equal(t, map[Verdict]int{Done: 20}, f.readEverywhere(f.instances, jobID, 20))
		started, _ := f.loads()
		require.EqualValues(t, 1, started)
	})
}

// Loading a partition takes longer than a request may. If the load ended with the
// request, each further request would begin it anew and none would ever be answered.
func TestLoadOutlivesTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 1, 4*time.Second)
		require.Equal(t, map[Verdict]int{NotDone: 5}, f.readEverywhere(f.instances, jobID, 5))
		sleep(4 * time.Second)
		require.Equal(t, map[Verdict]int{Done: 5}, f.readEverywhere(f.instances, jobID, 5))
		started, done := f.loads()
		require.EqualValues(t, 1, started)
		require.EqualValues(t, 1, done)
	})
}

// A job is accepted while an instance reads the store for an earlier request. That read
// may be older than the job, and a caller that asks for the job now must not get Missing.
func TestCatchUpThatBeganEarlierDoesNotDecideMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 1, 0)
		inst := f.instances[0]
		require.Equal(t, Done, inst.read(jobID))
		for n := range 50 {
			go inst.read("unknown")
			sleep(time.Duration(n%10) * 100 * time.Microsecond)
			id := fmt.Sprint("new-", n)
			f.addJob(id)
			require.Equal(t, Done, inst.read(id), "%s", id)
			sleep(5 * time.Millisecond)
		}
	})
}

// After a restart of all instances the owner of a partition is still loading it. If
// instances that are asked for its jobs loaded it as well, the store's read rate would be
// shared by hundreds of loads and the owner could not finish its own.
func TestReadsLoadNothingWhileTheOwnerLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 6, 5*time.Second)
		f.instances[0].own()
		sleep(time.Second)
		start := time.Now()
		require.Equal(t, map[Verdict]int{NotDone: 30}, f.readEverywhere(f.instances, jobID, 5))
		require.Less(t, time.Since(start), 100*time.Millisecond, "not now, at once")
		started, _ := f.loads()
		require.EqualValues(t, 1, started, "the owner's load")
		sleep(5 * time.Second)
		require.Equal(t, map[Verdict]int{Done: 30}, f.readEverywhere(f.instances, jobID, 5))
	})
}

// Callers ask an instance that does not own the partition for a job that does not exist,
// for bodies of items that have their results, and cancel a job. All of these the owner
// can decide; a load of the partition for each would use up the store's read rate.
func TestOwnerDecidesInPlaceOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 3, 10*time.Millisecond)
		f.instances[0].own().addResult(succeeded(0, "text"))
		sleep(time.Second)
		for _, inst := range f.instances {
			require.Equal(t, Missing, inst.read("unknown"))
			body := func(item string) BodyReply {
				return inst.Body(t.Context(), BodyCall{Job: jobID, Item: item, Organisation: "o"})
			}
			require.Equal(t, Missing, body("item-0").Verdict)
			require.Equal(t, BodyReply{Verdict: Done, Body: []byte("body")}, body("item-1"))
			require.Equal(t, Missing, inst.Cancel(t.Context(), JobCall{Job: "unknown", Organisation: "o"}))
			require.Equal(t, Missing, inst.Cancel(t.Context(), JobCall{Job: jobID, Organisation: "other"}))
		}
		require.Equal(t, Done, f.instances[1].Cancel(t.Context(), JobCall{Job: jobID, Organisation: "o"}))
		require.True(t, f.publishedJob().Cancelled)
		require.Equal(t, Done, f.instances[2].Cancel(t.Context(), JobCall{Job: jobID, Organisation: "o"}))
		started, _ := f.loads()
		require.EqualValues(t, 1, started, "the owner's load")
	})
}

// A job was accepted just now and the owner's reader has not returned it yet, as with a
// store that notifies late. The owner must read the store before any instance tells the
// caller that its job is missing.
func TestOwnerReadsTheStoreBeforeMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 2, 0)
		owner := f.instances[0]
		p := newPartitionReplica(owner.opts, f.at, nil)
		owner.JobService.owner.owned[f.at.Number] = &ownedPartition{partitionReplica: p}
		f.owner = owner
		require.NoError(t, p.load(t.Context()))
		for n, inst := range f.instances {
			f.addJob(fmt.Sprint("results-", n))
			require.Equal(t, Done, inst.read(fmt.Sprint("results-", n)))
			f.addJob(fmt.Sprint("body-", n))
			require.Equal(t, Done, inst.Body(t.Context(), BodyCall{Job: fmt.Sprint("body-", n), Item: "i", Organisation: "o"}).Verdict)
			f.addJob(fmt.Sprint("cancel-", n))
			require.Equal(t, Done, inst.Cancel(t.Context(), JobCall{Job: fmt.Sprint("cancel-", n), Organisation: "o"}))
		}
	})
}

// The owner has loaded its partition and the store no longer answers it. It can't know
// whether a job that it does not have exists, so callers must not be told that it doesn't.
func TestOwnerWithoutStoreDoesNotDecideMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 2, 0)
		f.instances[0].own()
		sleep(time.Second)
		f.instances[0].log.unreachable.Store(true)
		f.addJob("new")
		for _, inst := range f.instances {
			require.Equal(t, Done, inst.read(jobID))
			require.NotEqual(t, Missing, inst.read("new"))
			require.NotEqual(t, Missing, inst.Body(t.Context(), BodyCall{Job: "new", Item: "i", Organisation: "o"}).Verdict)
			require.NotEqual(t, Missing, inst.Cancel(t.Context(), JobCall{Job: "new", Organisation: "o"}))
		}
	})
}

// Many callers ask for jobs that do not exist. Their owner reads the store for them, and
// a read for each request would use up the store's calls per second.
func TestRequestsForUnknownJobsShareTheOwnersReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 4, 0)
		f.instances[0].own()
		sleep(time.Second)
		before := f.instances[0].log.reads.Load()
		require.Equal(t, map[Verdict]int{Missing: 400}, f.readEverywhere(f.instances, "unknown", 100))
		require.LessOrEqual(t, f.instances[0].log.reads.Load()-before, int64(10))
		started, _ := f.loads()
		require.EqualValues(t, 1, started, "the owner's load")
	})
}

// The call that cancels a job reached the owner and its answer was lost, and no other
// instance can cancel it. The caller must not be told that the call had no effect.
func TestCancelThatMayHaveTakenEffectIsUnsure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 3, 0)
		f.instances[0].own()
		sleep(time.Second)
		f.fail(f.instances[0])
		f.instances[1].log.unreachable.Store(true)
		f.instances[2].log.unreachable.Store(true)
		require.Equal(t, Unsure, f.instances[1].Cancel(t.Context(), JobCall{Job: jobID, Organisation: "o"}))
	})
}

// A partition has no owner that can be reached, and its jobs are read at all instances. If
// each of them loaded the partition, the number of loads would grow with the fleet.
func TestFewInstancesLoadPartitionWithoutOwner(t *testing.T) {
	for name, owner := range map[string]bool{"unknown": false, "fails": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newServiceFleet(t, 40, 300*time.Millisecond)
				if owner {
					f.owner = f.instances[0]
					f.fail(f.owner)
				}
				callers := f.instances[1:]
				require.Equal(t, map[Verdict]int{Done: 195}, f.readEverywhere(callers, jobID, 5))
				require.Equal(t, map[Verdict]int{Missing: 195}, f.readEverywhere(callers, "unknown", 5))
				require.Equal(t, Done, callers[0].Cancel(t.Context(), JobCall{Job: jobID, Organisation: "o"}))
				started, _ := f.loads()
				require.LessOrEqual(t, started, int64(maxFallbackReaders))
			})
		})
	}
}

// The instances that load a partition in place of its owner fail one after the other. The
// jobs must stay readable at the others.
func TestReadsSurviveFailureOfFallbackReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 6, 10*time.Millisecond)
		for len(f.unreachable) < 5 {
			for _, inst := range f.instances {
				if !f.isUnreachable(inst.self.Address) {
					require.Equal(t, Done, inst.read(jobID))
				}
			}
			loaded := f.loadedInstance()
			require.NotNil(t, loaded, "after %d failures", len(f.unreachable))
			f.fail(loaded)
		}
	})
}

// loadedInstance returns a reachable instance that has loaded the partition.
func (f *serviceFleet) loadedInstance() *serviceInstance {
	for _, inst := range f.instances {
		if !f.isUnreachable(inst.self.Address) && inst.log.loadsDone.Load() > 0 {
			return inst
		}
	}
	return nil
}

// All instances have just started, no owner is known yet, and each instance knows a few
// others. They would choose different instances to load the partition, so the loads of
// many would delay those of the owners.
func TestInstancesThatJustStartedLoadNothingForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 20, 300*time.Millisecond)
		for n := range f.instances {
			f.instances[n] = f.newInstance(f.instances[n].self.Name, 300*time.Millisecond)
		}
		require.Equal(t, map[Verdict]int{NotDone: 20}, f.readEverywhere(f.instances, jobID, 1))
		started, _ := f.loads()
		require.Zero(t, started)
	})
}

// The store answers no instance. None of them can load a partition, and the attempts of
// all of them would delay the store's recovery.
func TestInstancesWithoutStoreLoadNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 20, 300*time.Millisecond)
		for _, inst := range f.instances {
			inst.storeAge = 2 * storeUnreachableAfter
		}
		require.Equal(t, map[Verdict]int{NotDone: 20}, f.readEverywhere(f.instances, jobID, 1))
		started, _ := f.loads()
		require.Zero(t, started)
	})
}

// The store turns away the instance that a caller asks, and no owner is reached. The
// caller must get the job through an instance that reaches the store.
func TestInstanceWithoutStoreReadsThroughFallbackReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 6, 10*time.Millisecond)
		for _, inst := range f.instances {
			inst.storeAge = 2 * storeUnreachableAfter
			inst.log.unreachable.Store(true)
			require.Equal(t, Done, inst.read(jobID))
			require.Equal(t, Missing, inst.read("unknown"))
			require.Equal(t, Done, inst.Body(t.Context(), BodyCall{Job: jobID, Item: "item-1", Organisation: "o"}).Verdict)
			inst.storeAge = 0
			inst.log.unreachable.Store(false)
		}
	})
}
