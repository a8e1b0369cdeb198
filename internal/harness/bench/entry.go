package bench

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
)

const (
	// warmCalls are not counted: connections open and caches fill.
	warmCalls = 300
	// latencyCalls are counted on each way, in turn so that noise of the
	// machine meets both alike.
	latencyCalls = 4000
	// loadTime and loadCallers give the throughput of one instance.
	loadTime    = 4 * time.Second
	loadCallers = 24
)

// Entry measures what one instance adds to a call, and its throughput.
func Entry(ctx context.Context, opts Options) error {
	f, err := start(ctx, harness.Options{
		Dir: opts.Dir, Bin: opts.Bin, Domains: domains[:1], PerDomain: 1,
		Targets: []harness.TargetGroup{{Service: service, Kind: protocol.KindModel, Count: 1, Args: instantTarget}},
	})
	if err != nil {
		return err
	}
	defer f.Kill()
	through := harness.NewCaller(f.secret, func() []string { return []string{f.Instances[0].Callers} })
	direct := harness.NewCaller("none", func() []string { return []string{f.Targets[0].Listed.Address} })
	directTimes, throughTimes, err := latencies(ctx, direct, through)
	if err != nil {
		return err
	}
	for _, quantile := range []struct {
		name string
		q    float64
	}{{"entry.added_p50_ms", 0.5}, {"entry.added_p99_ms", 0.99}} {
		base := at(directTimes, quantile.q)
		added := at(throughTimes, quantile.q) - base
		opts.print(Measure{Name: quantile.name, Unit: "ms", Baseline: &base, Now: added, Note: "baseline_is=direct_call"})
	}
	return throughput(ctx, opts, f, through)
}

// latencies calls both ways in turn and returns the sorted times in ms.
func latencies(ctx context.Context, direct, through *harness.Caller) (directTimes, throughTimes []float64, err error) {
	body := harness.ChatBody(model, "valve", 1, false)
	one := func(caller *harness.Caller) (float64, error) {
		answer, err := caller.Post(ctx, "/v1/chat/completions", body, nil)
		if err != nil {
			return 0, err
		}
		return float64(answer.Took) / float64(time.Millisecond), nil
	}
	for n := range warmCalls + latencyCalls {
		base, err := one(direct)
		if err != nil {
			return nil, nil, err
		}
		took, err := one(through)
		if err != nil {
			return nil, nil, err
		}
		if n >= warmCalls {
			directTimes = append(directTimes, base)
			throughTimes = append(throughTimes, took)
		}
	}
	slices.Sort(directTimes)
	slices.Sort(throughTimes)
	return directTimes, throughTimes, nil
}

func at(sorted []float64, quantile float64) float64 {
	return sorted[int(quantile*float64(len(sorted)-1))]
}

// throughput divides the calls served under load by the processor time that
// the instance took for them.
func throughput(ctx context.Context, opts Options, f *fleet, caller *harness.Caller) error {
	before, err := f.Instances[0].Process.Usage()
	if err != nil {
		return err
	}
	body := harness.ChatBody(model, "valve", 1, false)
	var served atomic.Int64
	var running sync.WaitGroup
	until := time.Now().Add(loadTime)
	for range loadCallers {
		running.Go(func() {
			for time.Now().Before(until) {
				answer, err := caller.Post(ctx, "/v1/chat/completions", body, nil)
				if err == nil && answer.Status == 200 {
					served.Add(1)
				}
			}
		})
	}
	running.Wait()
	after, err := f.Instances[0].Process.Usage()
	if err != nil {
		return err
	}
	cores := (after.CPU - before.CPU).Seconds()
	opts.print(Measure{Name: "entry.rps_per_core", Unit: "1/s", Now: float64(served.Load()) / cores})
	return nil
}
