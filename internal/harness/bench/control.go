package bench

import (
	"context"
	"fmt"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
)

const (
	// settleTime lets start-up work end before an idle fleet is measured.
	settleTime = 5 * time.Second
	// idleTime is measured; it holds several of every period but snapshots.
	idleTime = 15 * time.Second
)

// Control measures what an idle instance costs, at several sizes: the slopes
// of the capacity page.
func Control(ctx context.Context, opts Options) error {
	for _, size := range []struct{ instances, targets int }{{3, 10}, {6, 10}, {12, 10}, {24, 10}, {12, 40}} {
		if err := control(ctx, opts, size.instances, size.targets); err != nil {
			return err
		}
	}
	return nil
}

func control(ctx context.Context, opts Options, instances, targets int) error {
	f, err := start(ctx, harness.Options{
		Dir: fmt.Sprintf("%s-%d-%d", opts.Dir, instances, targets), Bin: opts.Bin,
		Domains: domains, PerDomain: instances / len(domains),
		Targets: []harness.TargetGroup{{Service: service, Kind: protocol.KindModel, Count: targets}},
	})
	if err != nil {
		return err
	}
	defer f.Kill()
	time.Sleep(settleTime)
	before, err := totals(f)
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	after, err := totals(f)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("instances=%d targets=%d", instances, targets)
	count := float64(len(f.Instances))
	cpu := (after.CPU - before.CPU).Seconds() / idleTime.Seconds() / count * 100
	opts.print(Measure{Name: "control.cpu_percent", Unit: "percent_of_core", Now: cpu, Note: note})
	opts.print(Measure{Name: "control.rss_mb", Unit: "MB", Now: float64(after.ResidentBytes) / count / 1e6, Note: note})
	bytes := float64(after.IOBytes-before.IOBytes) / idleTime.Seconds() / count
	opts.print(Measure{Name: "control.bytes_per_s", Unit: "B/s", Now: bytes, Note: note})
	return nil
}

// totals adds up the usage of all instances.
func totals(f *fleet) (harness.Usage, error) {
	var sum harness.Usage
	for _, instance := range f.Instances {
		usage, err := instance.Process.Usage()
		if err != nil {
			return sum, err
		}
		sum.CPU += usage.CPU
		sum.ResidentBytes += usage.ResidentBytes
		sum.IOBytes += usage.IOBytes
	}
	return sum, nil
}
