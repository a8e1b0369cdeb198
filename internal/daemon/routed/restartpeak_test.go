package routed

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

const (
	// peakOrganisations send peakPerSecond requests a second each, below peakRate. Together they
	// need four fifths of the slots of 16 targets.
	peakOrganisations = 8
	peakPerSecond     = 17
	peakRate          = 30
	// peakEvents events at peakEventInterval take three quarters of a second.
	peakEvents        = 20
	peakEventInterval = 37 * time.Millisecond
	// firstEventLimit is the latency objective of the route.
	firstEventLimit = 300 * time.Millisecond
)

// peakCallers are callers of several organisations at a peak, each of which sends a request to
// a random instance and returns once if told when to come back.
type peakCallers struct {
	fleet  *testFleet
	random *rand.Rand
	// events is the number of events of each answer.
	events int
	calls  sync.WaitGroup

	mu      sync.Mutex
	results []peakResult
}

// peakResult is a first try with its second one, if there was one.
type peakResult struct {
	sentAt        time.Time
	onTime        bool
	status        int
	retriedOnTime bool
}

func newPeakCallers(fleet *testFleet, seed uint64) *peakCallers {
	fleet.configure(func(config map[string]any) {
		tenants := config["tenants"].([]any)
		for n := range peakOrganisations {
			tenants = append(tenants, map[string]any{
				"name": fmt.Sprint("peak-", n), "api_keys": []string{fmt.Sprint("secret-of-peak-", n)}, "rate_per_s": peakRate, "burst": peakRate,
			})
		}
		config["tenants"] = tenants
	})
	return &peakCallers{fleet: fleet, events: peakEvents, random: rand.New(rand.NewPCG(seed, 7))}
}

// run sends requests to the given instances for a duration.
func (p *peakCallers) run(to []*testInstance, d time.Duration) {
	const step = 5 * time.Millisecond
	for until := time.Now().Add(d); time.Now().Before(until); sleep(step) {
		for due := peakOrganisations * peakPerSecond * step.Seconds(); p.random.Float64() < due; due-- {
			first, second := to[p.random.IntN(len(to))], to[p.random.IntN(len(to))]
			key := fmt.Sprint("secret-of-peak-", p.random.IntN(peakOrganisations))
			id := strconv.FormatUint(p.random.Uint64(), 16)
			p.calls.Go(func() { p.call(first, second, id, key) })
		}
	}
}

func (p *peakCallers) call(first, second *testInstance, id, key string) {
	request := callerRequest{id: id, path: fmt.Sprintf("/again/a/%d", p.events), key: key}
	result := peakResult{sentAt: time.Now()}
	got := first.send(request)
	result.status, result.onTime = got.status, p.onTime(id, got)
	if delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err == nil && got.status != http.StatusOK {
		sleep(time.Duration(delay * float64(time.Second)))
		result.retriedOnTime = p.onTime(id, second.send(request))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, result)
}

func (p *peakCallers) onTime(id string, got callerResponse) bool {
	return got.err == nil && got.status == http.StatusOK && got.firstByte <= firstEventLimit && got.body == streamBody(id, p.events)
}

// served returns the part of the first tries between two times that were served on time, and that
// of the rejected ones whose second try was.
func (p *peakCallers) served(from, to time.Time) (first, second float64, statuses map[int]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all, good, rejected, recovered float64
	statuses = map[int]int{}
	for _, r := range p.results {
		if r.sentAt.Before(from) || !r.sentAt.Before(to) {
			continue
		}
		all++
		statuses[r.status]++
		switch {
		case r.onTime:
			good++
		default:
			rejected++
			if r.retriedOnTime {
				recovered++
			}
		}
	}
	return good / max(1, all), recovered / max(1, rejected), statuses
}

// Guards against a start of the whole fleet that waits for an instance that is gone for good, and
// tells callers to come back before the levels of the rates are known.
func TestFleetServesPeakSoonAfterRestartOfAllInstances(t *testing.T) {
	for name, gone := range map[string]func(*testInstance){
		"connections refused": (*testInstance).kill,
		"packets dropped":     func(inst *testInstance) { inst.fleet.net.PowerOff(inst.ip); inst.daemon.kill(); <-inst.done },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(t, fleetSize{
					domains: 4, instances: 6, targets: 4,
					engine: engine.Options{Slots: 8, QueueSize: 24, EventInterval: peakEventInterval},
				})
				callers := newPeakCallers(fleet, 1)
				sleep(time.Second)
				callers.run(fleet.instances, time.Second)
				for _, inst := range fleet.instances[1:] {
					inst.kill()
				}
				gone(fleet.instances[0])
				back := fleet.instances[1:]
				sleep(500 * time.Millisecond)
				for _, inst := range back {
					inst.start()
				}
				lastBack := time.Now()
				callers.run(back, 4*time.Second)
				callers.calls.Wait()
				for n := range 8 {
					from := lastBack.Add(time.Duration(n) * 500 * time.Millisecond)
					first, second, statuses := callers.served(from, from.Add(500*time.Millisecond))
					t.Logf("%s after the start: first tries on time %.3f %v, second tries %.3f", from.Sub(lastBack), first, statuses, second)
				}
				first, _, _ := callers.served(lastBack.Add(time.Second), lastBack.Add(4*time.Second))
				require.GreaterOrEqual(t, first, 0.95, "from a second after the last instance is back")
				_, second, _ := callers.served(lastBack, lastBack.Add(time.Second))
				require.GreaterOrEqual(t, second, 0.95, "those that were rejected at the start and came back once")
			})
		})
	}
}
