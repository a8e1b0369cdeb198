package bench

import (
	"context"
	"fmt"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
)

const (
	// settleTime is the wait for the end of start-up work before an idle fleet is
	// measured.
	settleTime = 5 * time.Second
	// idleTime is the measured time. It covers several cycles of all periodic work
	// except snapshots.
	idleTime = 15 * time.Second
)

// fleetSize is the size of a fleet to measure.
type fleetSize struct{ instances, targets int }

// Control measures the resource usage of an idle instance at the current fleet
// sizes of the users, with the default settings.
func Control(ctx context.Context, opts Options) error {
	return measureControlSizes(ctx, opts, "", "default", []fleetSize{{3, 10}, {6, 10}, {12, 10}})
}

// largeSettings holds the intervals for 340 instances, as in docs/CAPACITY.md.
const largeSettings = `timings:
  renew: 10s
  hold: 30s
  expire: 40s
  log_wait: 2s
  log_down_after: 6s
  read_spacing: 200ms
  heartbeat: 5s
  peer_silent: 15s
  list_poll: 2s
  load_poll: 10s
routing:
  loads_per_second: 5
`

// Scale measures how resource usage grows with the number of instances and of
// targets, with largeSettings, for the slopes in docs/CAPACITY.md.
func Scale(ctx context.Context, opts Options) error {
	return measureControlSizes(ctx, opts, largeSettings, "large", []fleetSize{{12, 20}, {24, 20}, {48, 20}, {96, 20}, {12, 60}, {12, 120}})
}

func measureControlSizes(ctx context.Context, opts Options, settings, profile string, sizes []fleetSize) error {
	for _, one := range sizes {
		if err := measureControl(ctx, opts, settings, profile, one); err != nil {
			return err
		}
	}
	return nil
}

func measureControl(ctx context.Context, opts Options, settings, profile string, size fleetSize) error {
	f, err := start(ctx, harness.Options{
		Dir: fmt.Sprintf("%s-%d-%d", opts.Dir, size.instances, size.targets), Bin: opts.Bin,
		Domains: domains, PerDomain: size.instances / len(domains),
		Targets:  []harness.TargetGroup{{Service: service, Kind: protocol.KindModel, Count: size.targets}},
		Settings: settings,
	})
	if err != nil {
		return err
	}
	defer f.Kill()
	time.Sleep(settleTime)
	before, err := totalUsage(f)
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	after, err := totalUsage(f)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("instances=%d targets=%d settings=%s", size.instances, size.targets, profile)
	count := float64(len(f.Instances))
	cpu := (after.CPU - before.CPU).Seconds() / idleTime.Seconds() / count * 100
	opts.print(Measure{Name: "control.cpu_percent", Unit: "percent_of_core", Now: cpu, Note: note})
	opts.print(Measure{Name: "control.rss_mb", Unit: "MB", Now: float64(after.ResidentBytes) / count / 1e6, Note: note})
	bytes := float64(after.IOBytes-before.IOBytes) / idleTime.Seconds() / count
	opts.print(Measure{Name: "control.bytes_per_s", Unit: "B/s", Now: bytes, Note: note})
	return nil
}

// totalUsage returns the sum of the usage of all instances.
func totalUsage(f *fleet) (harness.Usage, error) {
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
