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

// The size of the target: 340 instances in four failure domains, 3,400
// organisations that send 3,400 requests a second, 850 targets.
const (
	bigInstances = 340
	bigOrgs      = 3400
	bigTargets   = 850
	bigRequests  = 3400.0
	bigLength    = 10 * time.Second
	costRounds   = 200_000
)

// bigUser is a fleet of the target's size. Its rates fall off like 1/n: a few
// organisations are large.
func bigUser() user {
	u := user{
		name: "target", service: "big", instances: bigInstances, targets: bigTargets, seed: 3,
		domains: []protocol.Domain{"r1-a", "r1-b", "r2-a", "r2-b"},
	}
	sum := 0.0
	for i := range bigOrgs {
		u.rates = append(u.rates, 1/float64(i+10))
		sum += u.rates[i]
	}
	for i := range u.rates {
		u.rates[i] *= bigRequests / meanUse / sum
	}
	return u
}

// measureLimiterCost runs the limiter at the target's size.
func measureLimiterCost() []measure {
	u := bigUser()
	run := rateRun{user: u, length: bigLength, policy: slotPolicy(), overload: -1, even: true}
	result := run.run()
	perInstance := float64(result.requests) / bigLength.Seconds() / bigInstances
	exchanges := float64(result.exchanges) / bigLength.Seconds() / bigInstances
	size := exchangeBytes()
	now, bytesNow := limiterCost(u)
	base, bytesBase := splitCost(u)
	return []measure{
		{name: "limiter.ns_per_decision", unit: "ns", baseline: base, now: now},
		{name: "limiter.state_bytes", unit: "bytes", baseline: bytesBase, now: bytesNow},
		// Each exchange is sent by one instance and received by another.
		{name: "limiter.control_bytes_per_s", unit: "bytes/s", baseline: 2 * perInstance * size, now: 2 * exchanges * size},
	}
}

// limiterCost is the time of a decision with all organisations in use, answers
// included, and the bytes of state.
func limiterCost(u user) (ns, state float64) {
	random := rand.New(rand.NewPCG(u.seed, 5))
	before := heapBytes()
	fleet := newRateFleet(u, slotPolicy(), virtual.NewClock(), random)
	shared := heapBytes() - before
	core := fleet.instances[0].core
	clock := virtual.Start.Add(warmUp)
	ids := make([]protocol.OrganisationID, len(u.rates))
	for i := range ids {
		ids[i] = u.organisation(i).ID
		decideOnce(core, clock, ids[i])
	}
	state = heapBytes() - before - shared
	order := random.Perm(len(ids))
	begin := time.Now()
	for i := range costRounds {
		clock = clock.Add(100 * time.Microsecond)
		decideOnce(core, clock, ids[order[i%len(order)]])
	}
	ns = float64(time.Since(begin).Nanoseconds()) / costRounds
	runtime.KeepAlive(fleet)
	return ns, state
}

// decideOnce makes a decision; a holder elsewhere always has a token.
func decideOnce(core *limiter.Core, now time.Time, id protocol.OrganisationID) {
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

// splitCost is the same for an equal split: a local bucket for each
// organisation.
func splitCost(u user) (ns, state float64) {
	before := heapBytes()
	buckets := make(map[protocol.OrganisationID]*exactBucket, len(u.rates))
	ids := make([]protocol.OrganisationID, len(u.rates))
	for i := range ids {
		ids[i] = u.organisation(i).ID
		buckets[ids[i]] = newExactBucket(u.organisation(i))
	}
	state = heapBytes() - before
	clock := virtual.Start
	begin := time.Now()
	for i := range costRounds {
		clock = clock.Add(100 * time.Microsecond)
		buckets[ids[i%len(ids)]].take(clock)
	}
	return float64(time.Since(begin).Nanoseconds()) / costRounds, state
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// exchangeBytes is the size of a Take and its answer by net/rpc with gob, once
// the connection has sent its types.
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

// measureRouterCost is the time of a routing decision at the target's size,
// against a look at every target.
func measureRouterCost() measure {
	core := routing.NewCore(routing.Options{Domain: "r1-a", Seed: 1})
	u := bigUser()
	listing := external.Listing{}
	for i := range bigTargets {
		listing.Targets = append(listing.Targets, external.ListedTarget{
			ID: protocol.TargetID(fmt.Sprintf("t%03d", i)), Service: u.service, Domain: u.domainOf(i),
		})
	}
	core.SetServices(map[protocol.ServiceName]protocol.Service{u.service: {Name: u.service, Slots: slotsPerTarget}})
	core.ApplyListing(virtual.Start, listing)
	loads := make([]int, bigTargets)
	random := rand.New(rand.NewPCG(1, 1))
	for i, listed := range listing.Targets {
		loads[i] = random.IntN(slotsPerTarget)
		core.ApplyReport(virtual.Start, external.Load{Target: listed.ID, Running: loads[i]})
	}
	now := virtual.Start
	begin := time.Now()
	for range costRounds {
		now = now.Add(100 * time.Microsecond)
		choice, ok := core.Pick(now, coordination.PickRequest{Service: u.service})
		if !ok {
			panic("policybench: no target")
		}
		core.Done(now, choice, coordination.CallResult{FirstByte: time.Millisecond})
	}
	ns := float64(time.Since(begin).Nanoseconds()) / costRounds
	return measure{name: "router.ns_per_decision", unit: "ns", baseline: scanCost(loads), now: ns}
}

func scanCost(loads []int) float64 {
	const rounds = costRounds / 10
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
