package batchjobs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/state/route"
)

// lack is what a service of a test lacks. "" is nothing.
type lack string

const (
	// lacksTargets: none is listed. lacksTargetsHere: none is listed in the own domain.
	lacksTargets     lack = "targets"
	lacksTargetsHere lack = "targets in a domain"
	// lacksSlots: all are taken, reserved or cold, so that items wait at the broker.
	lacksSlots lack = "slots"
	// lacksBroker: the call to the broker waits for its time limit.
	lacksBroker lack = "a broker"
)

// servicePlacer grants slots of services that lack nothing.
type servicePlacer struct {
	listPlacer
	lacks map[string]lack

	mu     sync.Mutex
	asked  map[string]int
	placed map[string]int
}

// lackOf returns what a service lacks.
func (p *servicePlacer) lackOf(service string) lack {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lacks[service]
}

func (p *servicePlacer) Domains() []string { return []string{"d0", "d1", "d2"} }

func (p *servicePlacer) HasTargets(req placement.Requirements) bool {
	kind := p.lackOf(req.Service)
	return kind != lacksTargets && !(kind == lacksTargetsHere && req.Domain == "d0")
}

func (p *servicePlacer) PlaceItem(ctx context.Context, domain string, item broker.Item) (placement.Choice, bool) {
	p.mu.Lock()
	p.asked[item.Service]++
	p.mu.Unlock()
	wait := map[lack]time.Duration{lacksSlots: item.Wait, lacksTargets: item.Wait, lacksBroker: 2 * time.Second}[p.lackOf(item.Service)]
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return placement.Choice{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed[item.Service]++
	return placement.Choice{}, true
}

// silentTargets answer nothing.
type silentTargets struct{}

func (silentTargets) Send(ctx context.Context, _ string, _ *exchange.Dispatch) (external.OpenAnswer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (silentTargets) Forget(string) {}

// servicesRunner returns a runner with items of many services, those of the ones that lack something first.
func servicesRunner(t *testing.T, lacking int, kind lack) (*Runner, *servicePlacer) {
	p := newTestPartition(t, 0)
	placer := &servicePlacer{lacks: map[string]lack{}, asked: map[string]int{}, placed: map[string]int{}}
	p.opts.Placer = placer
	p.opts.Targets = silentTargets{}
	var config route.Config
	r := NewRunner(p.opts)
	for n := range lacking + 1 {
		service := fmt.Sprint("lacking-", n)
		if n == lacking {
			service = "sound"
		} else {
			placer.lacks[service] = kind
		}
		prefix := "/" + service + "/"
		config.Routes = append(config.Routes, route.Route{
			Host: "h", Prefix: prefix, Kind: route.Batch, MaxAttempts: 3, Split: []route.WeightedService{{Service: service, Weight: 1}},
		})
		for item := range 10 {
			r.waiting = append(r.waiting, &task{
				openItem: openItem{
					id:  itemID{"job-" + service, fmt.Sprint(service, "-", item)},
					job: jobs.Job{Host: "h", Prefix: prefix, Due: time.Now().Add(time.Duration(10+n) * time.Second), GiveUp: time.Now().Add(time.Minute)},
				},
				runner: r, position: exchange.FromStart,
			})
		}
	}
	table := route.NewTable(config)
	p.opts.Table = func() *route.Table { return table }
	return r, placer
}

// Guards against items of a sound service that aren't run while older ones of other services wait for slots
// that they can't get, whatever these lack and however many they are.
func TestServicesThatLackSlotsHoldUpNoOther(t *testing.T) {
	for _, kind := range []lack{lacksTargets, lacksTargetsHere, lacksSlots, lacksBroker} {
		for _, lacking := range []int{1, 5, 37} {
			t.Run(fmt.Sprint(kind, "/", lacking), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r, placer := servicesRunner(t, lacking, kind)
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					go func() { _ = r.Serve(ctx) }()
					sleep(100 * time.Millisecond)
					placer.mu.Lock()
					require.GreaterOrEqual(t, placer.placed["sound"], 10)
					placer.mu.Unlock()
					sleep(9 * time.Second)
					placer.mu.Lock()
					defer placer.mu.Unlock()
					asked := 0
					for service, count := range placer.asked {
						if service != "sound" {
							asked += count
						}
					}
					t.Logf("%d services that lack %s: %.1f requests a second for their slots", lacking, kind, float64(asked)/9.1)
					if kind == lacksTargets {
						require.Zero(t, asked, "brokers are not asked for targets that nobody lists")
					}
				})
			})
		}
	}
}

// Guards against a service whose items wait for long after it has targets again.
func TestServiceThatGetsTargetsBackIsServedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, placer := servicesRunner(t, 5, lacksTargets)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go func() { _ = r.Serve(ctx) }()
		sleep(3 * time.Second)
		placer.mu.Lock()
		delete(placer.lacks, "lacking-2")
		placer.mu.Unlock()
		sleep(targetsCheckInterval + 2*pollInterval)
		placer.mu.Lock()
		defer placer.mu.Unlock()
		require.GreaterOrEqual(t, placer.placed["lacking-2"], 10)
		require.Zero(t, placer.placed["lacking-3"])
	})
}
