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
}

// newServiceFleet starts instances that know each other for some time.
func newServiceFleet(t *testing.T, instances int, loadTime time.Duration) *serviceFleet {
	f := &serviceFleet{testPartition: newTestPartition(t, 2), unreachable: map[string]bool{}}
	for n := range instances {
		f.instances = append(f.instances, f.newInstance(fmt.Sprint("n-", n), loadTime))
	}
	sleep(3 * time.Second)
	return f
}

func (f *serviceFleet) newInstance(name string, loadTime time.Duration) *serviceInstance {
	inst := &serviceInstance{
		fleet: f, self: mesh.Instance{Name: name, Address: name + ":1"},
		log: &countingLog{Direct: f.store, loadTime: loadTime},
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
	return mesh.Peer{Instance: i.self, State: mesh.Up, Heartbeat: mesh.Heartbeat{StoreAge: i.storeAge}}
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
