package policybench

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"runtime"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/limiter"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/external"
	"merlintiller/internal/policybench/virtual"
	"merlintiller/internal/protocol"
)

// The size that the design has to reach: 340 instances in four failure domains,
// 3,400 organisations that send 3,400 requests per second together, 850 targets.
const (
	largeInstances     = 340
	largeOrganisations = 3400
	largeTargets       = 850
	largeRequestRate   = 3400.0
	largeRunLength     = 10 * time.Second
	decisionRounds     = 200_000
)

// largeDeployment returns a deployment of the size above. The rates of its
// organisations fall off roughly as 1/n, so a few organisations are large.
func largeDeployment() deployment {
	d := deployment{
		name: "large", service: "big", instances: largeInstances, targets: largeTargets, seed: 3,
		domains: []protocol.Domain{"r1-a", "r1-b", "r2-a", "r2-b"},
	}
	sum := 0.0
	for i := range largeOrganisations {
		d.rates = append(d.rates, 1/float64(i+10))
		sum += d.rates[i]
	}
	for i := range d.rates {
		d.rates[i] *= largeRequestRate / meanRateUse / sum
	}
	return d
}

// measureLimiterCost measures the limiter in the large deployment.
func measureLimiterCost() []measure {
	d := largeDeployment()
	run := rateRun{deployment: d, length: largeRunLength, policy: slotPolicy(), overload: -1, evenLoad: true}
	result := run.run()
	perInstance := float64(result.requests) / largeRunLength.Seconds() / largeInstances
	exchanges := float64(result.exchanges) / largeRunLength.Seconds() / largeInstances
	size := exchangeBytes()
	nsCurrent, bytesCurrent := limiterCost(d)
	nsBaseline, bytesBaseline := equalSplitCost(d)
	return []measure{
		{name: "limiter.ns_per_decision", unit: "ns", baseline: nsBaseline, current: nsCurrent},
		{name: "limiter.state_bytes", unit: "bytes", baseline: bytesBaseline, current: bytesCurrent},
		// Each exchange counts twice: one instance sends it and another receives it.
		{name: "limiter.control_bytes_per_s", unit: "bytes/s", baseline: 2 * perInstance * size, current: 2 * exchanges * size},
	}
}

// limiterCost returns the time of one decision with all organisations in use,
// including the handling of replies, and the size of one instance's state in bytes.
func limiterCost(d deployment) (ns, state float64) {
	random := rand.New(rand.NewPCG(d.seed, 5))
	before := heapBytes()
	fleet := newRateFleet(d, slotPolicy(), virtual.NewClock(), random)
	shared := heapBytes() - before
	core := fleet.instances[0].core
	clock := virtual.Start.Add(warmUp)
	ids := make([]protocol.OrganisationID, len(d.rates))
	for i := range ids {
		ids[i] = d.organisation(i).ID
		decide(core, clock, ids[i])
	}
	state = heapBytes() - before - shared
	order := random.Perm(len(ids))
	begin := time.Now()
	for i := range decisionRounds {
		clock = clock.Add(100 * time.Microsecond)
		decide(core, clock, ids[order[i%len(order)]])
	}
	ns = float64(time.Since(begin).Nanoseconds()) / decisionRounds
	runtime.KeepAlive(fleet)
	return ns, state
}

// decide takes one decision. A slot holder on another instance always grants the token.
func decide(core *limiter.Core, now time.Time, id protocol.OrganisationID) {
	request := &limiter.Request{Organisation: id, Tokens: 1}
	for {
		verdict := core.Decide(now, request)
		if verdict.Call == nil {
			return
		}
		reply := limiter.TakeReply{Holder: true, Now: verdict.Call.Args.Now, Level: 1}
		core.HandleReply(now, verdict.Call, reply, false)
	}
}

// equalSplitCost returns the same figures as limiterCost for an equal split of the
// rates, where each instance has a local bucket for each organisation.
func equalSplitCost(d deployment) (ns, state float64) {
	before := heapBytes()
	buckets := make(map[protocol.OrganisationID]*tokenBucket, len(d.rates))
	ids := make([]protocol.OrganisationID, len(d.rates))
	for i := range ids {
		ids[i] = d.organisation(i).ID
		buckets[ids[i]] = newTokenBucket(d.organisation(i))
	}
	state = heapBytes() - before
	clock := virtual.Start
	begin := time.Now()
	for i := range decisionRounds {
		clock = clock.Add(100 * time.Microsecond)
		buckets[ids[i%len(ids)]].take(clock)
	}
	return float64(time.Since(begin).Nanoseconds()) / decisionRounds, state
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// exchangeBytes returns the size in bytes of a Take call and its reply, as net/rpc
// sends them with gob. The type descriptions, which gob sends once per connection,
// are not counted.
func exchangeBytes() float64 {
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	send := func() {
		values := []any{
			&rpc.Request{ServiceMethod: "Limiter.Take", Seq: 1 << 20},
			&limiter.TakeArgs{Organisation: "org-1234", Slot: limiter.SlotKey{Domain: "r1-a", Slot: 31}, Now: 1, Ahead: 1},
			&rpc.Response{ServiceMethod: "Limiter.Take", Seq: 1 << 20},
			&limiter.TakeReply{Holder: true, Now: 1, Ahead: 1, Level: 12.345, Version: 123456},
		}
		for _, value := range values {
			if err := encoder.Encode(value); err != nil {
				panic(err)
			}
		}
	}
	send()
	wire.Reset()
	send()
	return float64(wire.Len())
}

// measureRouterCost measures the time of a routing decision in the large
// deployment. The baseline is a linear scan over all targets.
func measureRouterCost() measure {
	core := routing.NewCore(routing.Options{Domain: "r1-a", Seed: 1})
	d := largeDeployment()
	listing := external.Listing{}
	for i := range largeTargets {
		listing.Targets = append(listing.Targets, external.ListedTarget{
			ID: protocol.TargetID(fmt.Sprintf("t%03d", i)), Service: d.service, Domain: d.domainOf(i),
		})
	}
	core.SetServices(map[protocol.ServiceName]protocol.Service{d.service: {Name: d.service, Slots: slotsPerTarget}})
	core.ApplyListing(virtual.Start, listing)
	loads := make([]int, largeTargets)
	random := rand.New(rand.NewPCG(1, 1))
	for i, listed := range listing.Targets {
		loads[i] = random.IntN(slotsPerTarget)
		core.ApplyReport(virtual.Start, external.Load{Target: listed.ID, Running: loads[i]})
	}
	now := virtual.Start
	begin := time.Now()
	for range decisionRounds {
		now = now.Add(100 * time.Microsecond)
		choice, ok := core.Pick(now, coordination.PickRequest{Service: d.service})
		if !ok {
			panic("policybench: router found no usable target")
		}
		core.Done(now, choice, coordination.CallResult{FirstByte: time.Millisecond})
	}
	ns := float64(time.Since(begin).Nanoseconds()) / decisionRounds
	return measure{name: "router.ns_per_decision", unit: "ns", baseline: linearScanCost(loads), current: ns}
}

// linearScanCost returns the time in nanoseconds of finding the least loaded target by
// a linear scan.
func linearScanCost(loads []int) float64 {
	const rounds = decisionRounds / 10
	begin := time.Now()
	least := 0
	for round := range rounds {
		for i := range loads {
			if loads[i] < loads[least] {
				least = i
			}
		}
		loads[least] += round % 2
	}
	return float64(time.Since(begin).Nanoseconds()) / rounds
}
