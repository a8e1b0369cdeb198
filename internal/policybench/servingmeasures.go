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

// worstServedPercent returns the percentage of in-rate requests served on time
// for the organisation where this percentage is lowest.
func (r servingResult) worstServedPercent() float64 {
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

// measureServing compares online traffic with and without batch traffic on the
// same targets, and fair with unfair queueing under overload.
func measureServing(d deployment) []measure {
	run := servingRun{deployment: d, length: servingLength, online: true, bursts: true, overload: -1, headroom: headroom.Defaults()}
	alone := run.run()
	run.batch = batchPreemptible
	preemptible := run.run()
	run.batch = batchNonPreemptible
	nonPreemptible := run.run()
	run.batch = batchFixedReserve
	fixedReserve := run.run()
	ratio := func(with, without []float64, q float64) float64 { return quantile(with, q) / quantile(without, q) }
	overload := servingRun{deployment: d, length: servingLength, online: true, overload: 0, batch: batchPreemptible, headroom: headroom.Defaults()}
	fair := overload.run()
	overload.singleQueue = true
	unfair := overload.run()
	return []measure{
		{name: "online.first_token_p99_ratio", unit: "ratio", deployment: d.name,
			baseline: ratio(nonPreemptible.firstToken, alone.firstToken, 0.99), current: ratio(preemptible.firstToken, alone.firstToken, 0.99)},
		{name: "online.between_token_p95_ratio", unit: "ratio", deployment: d.name,
			baseline: ratio(nonPreemptible.betweenTokens, alone.betweenTokens, 0.95), current: ratio(preemptible.betweenTokens, alone.betweenTokens, 0.95)},
		{name: "batch.of_oracle", unit: "ratio", deployment: d.name,
			baseline: fixedReserve.batchUseful / alone.oracle, current: preemptible.batchUseful / alone.oracle, oracle: 1, hasOracle: true},
		{name: "organisation.worst_served_percent", unit: "percent", deployment: d.name,
			baseline: unfair.worstServedPercent(), current: fair.worstServedPercent()},
		{name: "preempt.wasted_percent", unit: "percent", deployment: d.name,
			baseline: nonPreemptible.wastedPercent(), current: preemptible.wastedPercent()},
	}
}
