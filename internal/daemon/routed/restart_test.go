package routed

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/standin/sharedstore"
	"merlintiller/internal/state/jobs"
)

const (
	// recoveryTime is the time after a restart of all instances from which on every job must
	// be readable at every instance.
	recoveryTime = 15 * time.Second
	// storeReadRate is the read rate of the store for each instance, in bytes per second:
	// a store that sends 80 MB/s serves about 300 instances.
	storeReadRate = 80e6 / 300
	// storedItems is the number of items of a stored job, storedBody the size of an item's
	// body and storedText the size of its result.
	storedItems = 10
	storedBody  = 15_000
	storedText  = 9_000
	// pollInterval is the time between two reads of a caller, pollRetry the time after a read
	// that failed. A read that takes longer than pollTimeout has failed.
	pollInterval = 500 * time.Millisecond
	pollRetry    = 200 * time.Millisecond
	pollTimeout  = 2500 * time.Millisecond
	// largeWindow holds all unread bytes of a connection. net/rpc holds a mutex while it
	// writes, and virtual time stands still while another goroutine waits for the mutex, so
	// a write must not wait for its reader.
	largeWindow = 64 << 20
	// storePartitions is the number of partitions of the jobs.
	storePartitions = 12
)

// storedJob is a job in the store. results is the number of its results.
type storedJob struct {
	id      string
	results int
}

// storeJobs writes jobs to the store as instances write them: in each partition some
// finished jobs and one without results.
func (fleet *testFleet) storeJobs(finished int) []storedJob {
	var out []storedJob
	counts := make([]int, storePartitions)
	for i := 0; slices.Min(counts) <= finished; i++ {
		id := fmt.Sprintf("stored-%d", i)
		number := int(xxhash.Sum64String(id) % storePartitions)
		if counts[number] > finished {
			continue
		}
		job := storedJob{id: id}
		if counts[number] < finished {
			job.results = storedItems
		}
		counts[number]++
		fleet.storeJob(number, job)
		out = append(out, job)
	}
	return out
}

func (fleet *testFleet) storeJob(partition int, stored storedJob) {
	now := time.Now()
	job := jobs.Job{
		ID: stored.id, Organisation: "one", Host: host, Prefix: "/jobs/", ConfigVersion: int64(fleet.version),
		Submitted: now, Due: now.Add(18 * time.Second), GiveUp: now.Add(time.Minute),
	}
	for n := range storedItems {
		job.Items = append(job.Items, jobs.Item{
			ID: itemID(stored.id, n), Path: "/jobs/x/10", Header: map[string]string{"Model": "m", "Token-Count": "100,100"},
			Body: bytes.Repeat([]byte{'b'}, storedBody), Tokens: 200,
		})
	}
	limits := fleet.instances[0].settings.Store
	records, err := jobs.EncodeJob(&job, limits.RecordBytes)
	require.NoError(fleet.t, err)
	for n := range stored.results {
		result := jobs.Result{Item: job.Items[n].ID, Outcome: jobs.Succeeded, Text: storedResult(job.Items[n].ID)}
		more, err := jobs.EncodeResult(stored.id, n, result, limits.RecordBytes)
		require.NoError(fleet.t, err)
		records = append(records, more...)
	}
	log := &sharedstore.Direct{Store: fleet.store}
	_, err = log.Append(fleet.ctx, external.Partition{Topic: jobsTopic, Number: partition}, records, external.AnyEnd)
	require.NoError(fleet.t, err)
}

// storedResult is the result of an item of a finished stored job.
func storedResult(item string) string {
	return strings.Repeat(item+"\n", storedText/len(item))
}

// pollers are callers that read jobs in turn, each time at another instance.
type pollers struct {
	fleet *testFleet
	jobs  []storedJob
	// since is the time of the restart. Reads from recoveryTime after it on must succeed.
	since time.Time

	mu sync.Mutex
	// next is the number of the next read.
	next int
	// perSecond counts the reads that succeeded and failed by the second in which they began.
	perSecond [][2]int
	// late counts, by job, the reads that began after recoveryTime.
	late map[string]*lateReads
}

// lateReads counts the reads of a job that began after recoveryTime.
type lateReads struct{ all, failed int }

// run starts one caller for each instance and waits until they have read for a time d after
// the restart.
func (p *pollers) run(d time.Duration) {
	p.perSecond = make([][2]int, int(d/time.Second)+1)
	p.late = map[string]*lateReads{}
	for _, job := range p.jobs {
		p.late[job.id] = &lateReads{}
	}
	var callers sync.WaitGroup
	until := p.since.Add(d)
	for i := range p.fleet.instances {
		callers.Go(func() { p.poll(i, until) })
	}
	callers.Wait()
}

func (p *pollers) poll(caller int, until time.Time) {
	instances := p.fleet.instances
	sleep(time.Duration(caller) * pollInterval / time.Duration(len(instances)))
	for at := caller; time.Now().Before(until); at++ {
		began := time.Now()
		job := p.nextJob()
		ok := instances[at%len(instances)].readWhole(job)
		p.record(job, began, ok)
		if ok {
			sleep(pollInterval)
		} else {
			sleep(pollRetry)
		}
	}
}

func (p *pollers) nextJob() storedJob {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	return p.jobs[p.next%len(p.jobs)]
}

func (p *pollers) record(job storedJob, began time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome := 0
	if !ok {
		outcome = 1
	}
	age := began.Sub(p.since)
	p.perSecond[int(age/time.Second)][outcome]++
	if age >= recoveryTime {
		p.late[job.id].all++
		p.late[job.id].failed += outcome
	}
}

// lateFailures counts the reads that failed although they began after recoveryTime, and
// the jobs of which no such read succeeded.
func (p *pollers) lateFailures() (failed, unreadable int) {
	for _, job := range p.late {
		failed += job.failed
		if job.failed == job.all {
			unreadable++
		}
	}
	return failed, unreadable
}

// readWhole reads a job from the start. It reports whether all results that the store held
// at the restart came back in time.
func (inst *testInstance) readWhole(job storedJob) bool {
	began := time.Now()
	page, status := inst.results(job.id, 0)
	if status != http.StatusOK || time.Since(began) > pollTimeout {
		return false
	}
	require.Equal(inst.fleet.t, storedItems, page.Total, job.id)
	require.GreaterOrEqual(inst.fleet.t, len(page.Results), job.results, job.id)
	for n := range job.results {
		require.Equal(inst.fleet.t, itemID(job.id, n), page.Results[n].ID)
		require.Equal(inst.fleet.t, storedResult(page.Results[n].ID), page.Results[n].Text)
	}
	return true
}

// describeReads lists the reads of the store by all instances, one line for each kind and
// topic. The reads of jobs by the present owner of their partition have a line of their own.
func (fleet *testFleet) describeReads() string {
	total := map[string]sharedstore.ReadCount{}
	for _, inst := range fleet.instances {
		owned, _ := inst.daemon.partitionOwner.Owned()
		for source, count := range inst.storeAccess.Reads() {
			line := source.Topic + " " + source.Kind
			if source.Topic == jobsTopic && slices.Contains(owned, source.Number) {
				line += " by the owner"
			}
			sum := total[line]
			sum.Answers += count.Answers
			sum.Bytes += count.Bytes
			sum.Unused += count.Unused
			sum.Refused += count.Refused
			total[line] = sum
		}
	}
	var out strings.Builder
	for _, line := range slices.Sorted(maps.Keys(total)) {
		count := total[line]
		fmt.Fprintf(&out, "%s: %d answers, %.1f MB, of these %.1f MB after the caller left; %d refused\n",
			line, count.Answers, float64(count.Bytes)/1e6, float64(count.Unused)/1e6, count.Refused)
	}
	return out.String()
}

// restartAll kills all instances, fills each partition with some finished jobs and one
// without results, limits the read rate of the store and starts all instances again. It
// returns the jobs in the store.
func (fleet *testFleet) restartAll(finished int) []storedJob {
	fleet.killAll()
	fleet.net.SetWindow(largeWindow)
	stored := fleet.storeJobs(finished)
	fleet.store.SetReadBytesPerSecond(storeReadRate * float64(len(fleet.instances)))
	sleep(1600 * time.Millisecond)
	fleet.startAll()
	return stored
}

// requireReadable checks that no read failed after recoveryTime, and that each job was read.
func (p *pollers) requireReadable() {
	p.fleet.t.Helper()
	failed, unreadable := p.lateFailures()
	require.Zero(p.fleet.t, failed, "unreadable: %d of %d jobs\nreads (succeeded, failed) in each second: %v\n%s",
		unreadable, len(p.jobs), p.perSecond, p.fleet.describeReads())
	for _, job := range p.jobs {
		require.NotZero(p.fleet.t, p.late[job.id].all, job.id)
	}
}

// All instances are killed and start again, without any state, on a store whose read rate
// they share. The owners need about a second of it to load all partitions. Callers read
// jobs meanwhile. Guards against reads of jobs that keep the store overloaded, so that
// accepted jobs can't be read.
func TestJobsCanBeReadSoonAfterRestartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 8, targets: 3})
		callers := &pollers{fleet: fleet, jobs: fleet.restartAll(1), since: time.Now()}
		callers.run(recoveryTime + 5*time.Second)
		callers.requireReadable()
	})
}

// The same restart, but the first read of a job comes after the time for the recovery.
// Guards against background services that keep the store overloaded by themselves. With
// large partitions, the first pages of all owners together take longer than one call may.
func TestOwnersLoadTheirPartitionsAfterRestartOfAllInstances(t *testing.T) {
	for name, finished := range map[string]int{"small partitions": 1, "large partitions": 4} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(t, fleetSize{domains: 3, instances: 8, targets: 3})
				callers := &pollers{fleet: fleet, jobs: fleet.restartAll(finished), since: time.Now()}
				sleep(recoveryTime)
				callers.run(recoveryTime + 5*time.Second)
				callers.requireReadable()
			})
		})
	}
}
