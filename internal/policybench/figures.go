package policybench

import (
	"slices"
	"time"

	"merlintiller/internal/coordination/headroom"
)

const servingLength = 4 * time.Minute

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// worstServed is the least part of an organisation's in-rate requests that were
// served on time, in percent.
func (r servingResult) worstServed() float64 {
	worst := 100.0
	for org, count := range r.inRate {
		if count > 0 {
			worst = min(worst, 100*float64(r.onTime[org])/float64(count))
		}
	}
	return worst
}

func (r servingResult) wastedPercent() float64 {
	return 100 * r.batchWasted / max(1, r.batchUseful+r.batchWasted)
}

// measureServing compares online traffic with and without batch beside it.
func measureServing(u user) []measure {
	run := servingRun{user: u, length: servingLength, online: true, bursts: true, overload: -1, headroom: headroom.Defaults()}
	alone := run.run()
	run.batch = batchYields
	yields := run.run()
	run.batch = batchStays
	stays := run.run()
	run.batch = batchReserve
	reserve := run.run()
	ratio := func(with, without []float64, q float64) float64 { return quantile(with, q) / quantile(without, q) }
	overload := servingRun{user: u, length: servingLength, online: true, overload: 0, batch: batchYields, headroom: headroom.Defaults()}
	fair := overload.run()
	overload.unfair = true
	unfair := overload.run()
	return []measure{
		{name: "online.first_token_p99_ratio", unit: "ratio", user: u.name,
			baseline: ratio(stays.firstToken, alone.firstToken, 0.99), now: ratio(yields.firstToken, alone.firstToken, 0.99)},
		{name: "online.between_token_p95_ratio", unit: "ratio", user: u.name,
			baseline: ratio(stays.between, alone.between, 0.95), now: ratio(yields.between, alone.between, 0.95)},
		{name: "batch.of_oracle", unit: "ratio", user: u.name,
			baseline: reserve.batchUseful / alone.oracle, now: yields.batchUseful / alone.oracle, oracle: 1, hasOracle: true},
		{name: "organisation.worst_served_percent", unit: "percent", user: u.name,
			baseline: unfair.worstServed(), now: fair.worstServed()},
		{name: "preempt.wasted_percent", unit: "percent", user: u.name,
			baseline: stays.wastedPercent(), now: yields.wastedPercent()},
	}
}
