package routed

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/settings"
	"merlintiller/internal/standin/sharedstore"
)

// scarceObjective is the latency objective of the streams, and rejectedWithin the time within which
// a rejection counts as in time.
const (
	scarceObjective = 300 * time.Millisecond
	rejectedWithin  = scarceObjective / 4
)

// scarceResult counts the requests of one organisation.
type scarceResult struct {
	sent, onTime, late int
	// rejected were rejected within rejectedWithin, held after it without having run.
	rejected, held int
	// failed got no answer, or an error that does not say that they have not run.
	failed int
	// retryAfter are the times in which rejected callers are told to return.
	retryAfter []float64
}

// generatePeak sends requests of two organisations to the instances for a time, as two Poisson
// processes. The rates are per second. The first organisation has no rate, the second one of 10.
func (fleet *testFleet) generatePeak(instances []*testInstance, one, two float64, d time.Duration) (results map[string]*scarceResult) {
	results = map[string]*scarceResult{keyOne: {}, keyTwo: {}}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for key, perSecond := range map[string]float64{keyOne: one, keyTwo: two} {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(len(key)), uint64(key[len(key)-1])))
			until := time.Now().Add(d)
			for i := 0; ; i++ {
				sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
				if !time.Now().Before(until) {
					return
				}
				inst := instances[rng.IntN(len(instances))]
				callers.Go(func() {
					got := inst.send(callerRequest{id: fmt.Sprintf("%s-%d-%d", key, until.UnixMilli(), i), path: "/once/a/35", key: key})
					mu.Lock()
					defer mu.Unlock()
					results[key].count(got)
				})
			}
		})
	}
	callers.Wait()
	return results
}

func (r *scarceResult) count(got callerResponse) {
	r.sent++
	rejected := got.err == nil && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests)
	switch {
	case got.err == nil && got.status == http.StatusOK && got.firstByte <= scarceObjective:
		r.onTime++
	case got.err == nil && got.status == http.StatusOK:
		r.late++
	case rejected && got.firstByte <= rejectedWithin:
		r.rejected++
		retry, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		r.retryAfter = append(r.retryAfter, retry)
	case rejected:
		r.held++
	default:
		r.failed++
	}
}

func (r *scarceResult) String() string {
	return fmt.Sprintf("sent %d, on time %d, late %d, rejected %d, held %d, failed %d", r.sent, r.onTime, r.late, r.rejected, r.held, r.failed)
}

// logged returns the number of log lines of all instances that contain a text.
func (fleet *testFleet) logged(text string) (lines int) {
	for _, inst := range fleet.instances {
		lines += strings.Count(inst.logs.String(), text)
	}
	return lines
}

// scarceRun is one peak at a fleet.
type scarceRun struct {
	// one is the organisation without a rate, which sends most, two that with a rate of 10.
	one, two *scarceResult
	// queued is the number of log lines of requests that waited or were rejected, scarce that of
	// the brokers.
	queued, scarce int
}

func (r scarceRun) String() string {
	return fmt.Sprintf("one: %s; two: %s; %d lines with queue=, %d of brokers", r.one, r.two, r.queued, r.scarce)
}

// runPeak runs a trough of 2 s and a peak of 1.4 times capacity, with a fault that begins 600 ms after
// the start of the peak. callees are the instances that get requests.
func runPeak(t *testing.T, fairQueue bool, peak time.Duration, callees func(fleet *testFleet) []*testInstance, fault func(fleet *testFleet)) (run scarceRun) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 3, targets: 3, settings: func(s *settings.Routed) { s.Adaptive.FairQueue = fairQueue }})
		fleet.generatePeak(fleet.instances, 25, 8, 2*time.Second)
		list := fleet.instances
		if callees != nil {
			list = callees(fleet)
		}
		if fault != nil {
			time.AfterFunc(600*time.Millisecond, func() { fault(fleet) })
		}
		got := fleet.generatePeak(list, 85, 8, peak)
		// Brokers write their lines at most once per second.
		sleep(1500 * time.Millisecond)
		run = scarceRun{one: got[keyOne], two: got[keyTwo], queued: fleet.logged(" queue="), scarce: fleet.logged("event=slots_scarce")}
	})
	return run
}

// requireFair compares the runs of a peak without and with fair queueing.
func requireFair(t *testing.T, off, on scarceRun) {
	t.Helper()
	t.Logf("off: %s\non: %s", off, on)
	require.Zero(t, off.one.rejected+off.two.rejected, "all requests wait")
	require.Zero(t, on.one.held+on.two.held, "held and not served")
	require.LessOrEqual(t, on.one.failed+on.two.failed, off.one.failed+off.two.failed)
	require.Less(t, on.one.late, off.one.late)
	require.GreaterOrEqual(t, on.two.onTime, off.two.onTime)
	require.Zero(t, on.two.rejected, "within its share")
	require.GreaterOrEqual(t, on.one.onTime, off.one.onTime*3/4, "slots are used")
	for _, seconds := range on.one.retryAfter {
		require.GreaterOrEqual(t, seconds, 0.35)
		require.LessOrEqual(t, seconds, 1.51)
	}
}

// Guards against an organisation without a rate that takes the slots of one within its rate, against
// requests that are held and then not served, and against decisions that the logs do not show.
func TestScarceSlotsGoToOrganisationsByWeight(t *testing.T) {
	off, on := runPeak(t, false, 2400*time.Millisecond, nil, nil), runPeak(t, true, 2400*time.Millisecond, nil, nil)
	requireFair(t, off, on)
	require.Equal(t, on.two.sent, on.two.onTime)
	require.Positive(t, on.one.rejected)
	require.GreaterOrEqual(t, on.queued, on.one.rejected)
	require.Positive(t, on.scarce)
	different := map[float64]bool{}
	for _, seconds := range on.one.retryAfter {
		different[seconds] = true
	}
	require.Greater(t, len(different), on.one.rejected/2, "callers must not return together")
}

// Guards against decisions of fair queueing while it is turned off.
func TestFairQueueOffKeepsRequestsWaiting(t *testing.T) {
	off := runPeak(t, false, 2400*time.Millisecond, nil, nil)
	t.Log(off)
	require.Zero(t, off.one.rejected+off.two.rejected)
	require.Zero(t, off.queued)
	require.Zero(t, off.scarce)
	require.Positive(t, off.one.late)
}

// brokers returns the instances that are the brokers of their failure domains.
func (fleet *testFleet) brokers() (list []*testInstance) {
	for _, inst := range fleet.instances {
		if inst.daemon.brokerClient.IsBroker() {
			list = append(list, inst)
		}
	}
	return list
}

// Guards against requests that are lost or held in vain when the brokers of all domains are killed at a
// peak: their successors know neither who waits nor how fast slots become free.
func TestScarceSlotsSurviveBrokerFailure(t *testing.T) {
	remaining := func(fleet *testFleet) (list []*testInstance) {
		for _, inst := range fleet.instances {
			if !slices.Contains(fleet.brokers(), inst) {
				list = append(list, inst)
			}
		}
		return list
	}
	kill := func(fleet *testFleet) {
		for _, inst := range fleet.brokers() {
			go inst.kill()
		}
	}
	off, on := runPeak(t, false, 2400*time.Millisecond, remaining, kill), runPeak(t, true, 2400*time.Millisecond, remaining, kill)
	requireFair(t, off, on)
}

// Guards against requests of a domain that is cut off at a peak which wait for brokers that do not
// answer, with dropped packets and with refused connections.
func TestScarceSlotsWhileDomainIsCutOff(t *testing.T) {
	for name, fault := range map[string]func(fleet *testFleet){
		"dropped": func(fleet *testFleet) { fleet.isolateDomain("d0") },
		"refused": func(fleet *testFleet) {
			fleet.net.PartitionRefusing(fleet.domainIPs("d0"), append(fleet.domainIPs("d1"), storeIP))
		},
	} {
		t.Run(name, func(t *testing.T) {
			off, on := runPeak(t, false, 2400*time.Millisecond, nil, fault), runPeak(t, true, 2400*time.Millisecond, nil, fault)
			requireFair(t, off, on)
		})
	}
}

// Guards against fair queueing that depends on the store: it does not respond for 7 s of a peak.
func TestScarceSlotsWhileStoreIsSilent(t *testing.T) {
	silent := func(fleet *testFleet) {
		for _, inst := range fleet.instances {
			inst.storeAccess.Set(sharedstore.Fault{Silent: true})
		}
	}
	off, on := runPeak(t, false, 7600*time.Millisecond, nil, silent), runPeak(t, true, 7600*time.Millisecond, nil, silent)
	requireFair(t, off, on)
}
