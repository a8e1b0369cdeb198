package bench

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
)

const (
	// warmupCalls is the number of calls that are not counted, while connections
	// are opened and caches are filled.
	warmupCalls = 300
	// latencyCalls is the number of calls that are counted on each path. The paths
	// alternate, so that noise on the machine affects both equally.
	latencyCalls = 4000
	// loadTime and loadCallers are the duration and the number of concurrent
	// callers of a throughput measurement.
	loadTime    = 4 * time.Second
	loadCallers = 24
)

// Entry measures the latency that one instance adds to a call, and its throughput.
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
	directTimes, throughTimes, err := measureLatencies(ctx, direct, through)
	if err != nil {
		return err
	}
	for _, quantile := range []struct {
		name string
		q    float64
	}{{"entry.added_p50_ms", 0.5}, {"entry.added_p99_ms", 0.99}} {
		base := valueAtQuantile(directTimes, quantile.q)
		added := valueAtQuantile(throughTimes, quantile.q) - base
		opts.print(Measure{Name: quantile.name, Unit: "ms", Baseline: &base, Now: added, Note: "baseline_is=direct_call"})
	}
	if err := measureThroughput(ctx, opts, f, through); err != nil {
		return err
	}
	return measureStreaming(ctx, opts, f, through)
}

// measureLatencies calls the target directly and through the instance in turn and
// returns the sorted times in ms.
func measureLatencies(ctx context.Context, direct, through *harness.Caller) (directTimes, throughTimes []float64, err error) {
	body := harness.ChatBody(model, "valve", 1, false)
	one := func(caller *harness.Caller) (float64, error) {
		answer, err := caller.Post(ctx, "/v1/chat/completions", body, nil)
		if err != nil {
			return 0, err
		}
		return float64(answer.Took) / float64(time.Millisecond), nil
	}
	for n := range warmupCalls + latencyCalls {
		base, err := one(direct)
		if err != nil {
			return nil, nil, err
		}
		took, err := one(through)
		if err != nil {
			return nil, nil, err
		}
		if n >= warmupCalls {
			directTimes = append(directTimes, base)
			throughTimes = append(throughTimes, took)
		}
	}
	slices.Sort(directTimes)
	slices.Sort(throughTimes)
	return directTimes, throughTimes, nil
}

func valueAtQuantile(sorted []float64, quantile float64) float64 {
	return sorted[int(quantile*float64(len(sorted)-1))]
}

// streamTokens is the length in tokens of the measured streams.
const streamTokens = 256

// measureStreaming divides the number of tokens relayed in streams by the processor
// time that the instance used for them.
func measureStreaming(ctx context.Context, opts Options, f *fleet, caller *harness.Caller) error {
	body := harness.ChatBody(model, "riser", streamTokens, true)
	served, cores, err := runLoad(ctx, f, caller, body)
	if err != nil {
		return err
	}
	opts.print(Measure{Name: "entry.tokens_per_core", Unit: "1/s", Now: float64(served*streamTokens) / cores})
	return nil
}

// measureThroughput divides the number of calls served under load by the processor
// time that the instance used for them.
func measureThroughput(ctx context.Context, opts Options, f *fleet, caller *harness.Caller) error {
	served, cores, err := runLoad(ctx, f, caller, harness.ChatBody(model, "valve", 1, false))
	if err != nil {
		return err
	}
	opts.print(Measure{Name: "entry.rps_per_core", Unit: "1/s", Now: float64(served) / cores})
	return nil
}

// runLoad sends a request repeatedly for loadTime. It returns the number of calls
// that were served completely, and the processor time of the instance in seconds.
func runLoad(ctx context.Context, f *fleet, caller *harness.Caller, body []byte) (calls int64, cores float64, err error) {
	before, err := f.Instances[0].Process.Usage()
	if err != nil {
		return 0, 0, err
	}
	var served atomic.Int64
	var running sync.WaitGroup
	until := time.Now().Add(loadTime)
	for range loadCallers {
		running.Go(func() {
			for time.Now().Before(until) {
				answer, err := caller.Post(ctx, "/v1/chat/completions", body, nil)
				if err == nil && answer.Status == http.StatusOK && answer.Complete {
					served.Add(1)
				}
			}
		})
	}
	running.Wait()
	after, err := f.Instances[0].Process.Usage()
	if err != nil {
		return 0, 0, err
	}
	return served.Load(), (after.CPU - before.CPU).Seconds(), nil
}
