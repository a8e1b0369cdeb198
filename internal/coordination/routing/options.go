// Package routing selects targets for calls.
//
// Core contains the routing policy. It uses power of two choices on the
// instance's own calls in flight and on load reports, which lag. It prefers
// targets of the local failure domain, ejects slow and failing targets for
// limited periods and sends no new calls to leaving targets. Core has no clock,
// no I/O and no goroutines, so the daemon, the tests and the policy benchmark
// run the same code. Router adds a lock and the system clock.
package routing

import (
	"time"

	"merlintiller/internal/defaults"
	"merlintiller/internal/protocol"
)

// Options are the settings of the routing policy. A zero field takes its
// default.
type Options struct {
	// Domain is the local failure domain, the one of this instance.
	Domain protocol.Domain
	// Seed makes the random choices reproducible.
	Seed uint64
	// DefaultSlots is the number of slots of a target whose service configures
	// none. Default 16.
	DefaultSlots int
	// SpillAt is the load per slot of a local target from which a target of
	// another domain may be picked instead. Default 1: below that load the
	// local target runs well, so crossing domains would only add latency.
	SpillAt float64
	// SpillMargin is the difference in load per slot by which a target of
	// another domain must be less loaded than the local one. Default 0.25, so
	// that two full domains do not send calls to each other.
	SpillMargin float64
	// ReportHalfLife is the age at which a load report has a weight of one
	// half. The mean over the service has the other half. Default 300 ms:
	// reports are 1 to 2 s old when they are used, and if all instances fully
	// trusted them, all would pick the same targets. The measurements are in
	// docs/design/10-routing.md.
	ReportHalfLife time.Duration
	// AffinityMargin is how far the load of the target that owns the prompt's
	// prefix may exceed the mean load per slot, as a fraction of the mean.
	// Above it, other targets are considered. Zero disables prefix affinity.
	// The daemon's setting is 0.25.
	AffinityMargin float64
	// AffinityReportMaxAge is the maximum age of a target's load report for
	// prefix affinity to that target. Default 4 s: at one report per second,
	// two reports may be lost.
	AffinityReportMaxAge time.Duration
	// FailuresToEject is the number of consecutive failures that ejects a
	// target. Default 3.
	FailuresToEject int
	// InitialEjection is the duration of the first ejection. Each further
	// ejection lasts twice as long, up to MaxEjection. Defaults 2 s and 60 s.
	InitialEjection, MaxEjection time.Duration
	// MaxEjectedShare is the maximum share of a service's targets that is
	// ejected at the same time. Default 0.5: one of three failure domains may
	// be down completely. If more than half of the targets fail, they more
	// likely share a cause, and the remaining targets could not carry the load.
	MaxEjectedShare float64
	// SlowFactor ejects a target whose mean time to the first byte is more
	// than this many times the mean of the service's other targets. Default 4.
	SlowFactor float64
	// SlowMinSamples is the number of answers that a mean time to the first
	// byte needs before it is compared. Default 8.
	SlowMinSamples int
	// SlowMinFirstByte is the mean time to the first byte below which a target
	// is never slow. Default 100 ms, so that jitter of a fast service does not
	// eject targets.
	SlowMinFirstByte time.Duration
	// PeerBatchItems returns the number of batch items that other instances
	// had at a target at a given time, as far as this instance knows. Nil if
	// this instance never knows.
	PeerBatchItems func(protocol.TargetID, time.Time) int
	// LeavingTimeout is how long a target gets no calls after it reported itself
	// as leaving, even if the platform's list does not mark it as leaving. The
	// list should have dropped the target by then. Default 60 s.
	LeavingTimeout time.Duration
}

func (o Options) withDefaults() Options {
	defaults.SetPositive(&o.DefaultSlots, 16)
	defaults.SetPositive(&o.SpillAt, 1)
	defaults.SetPositive(&o.SpillMargin, 0.25)
	defaults.SetPositive(&o.ReportHalfLife, 300*time.Millisecond)
	defaults.SetPositive(&o.AffinityReportMaxAge, 4*time.Second)
	defaults.SetPositive(&o.FailuresToEject, 3)
	defaults.SetPositive(&o.InitialEjection, 2*time.Second)
	defaults.SetPositive(&o.MaxEjection, time.Minute)
	defaults.SetPositive(&o.MaxEjectedShare, 0.5)
	defaults.SetPositive(&o.SlowFactor, 4)
	defaults.SetPositive(&o.SlowMinSamples, 8)
	defaults.SetPositive(&o.SlowMinFirstByte, 100*time.Millisecond)
	defaults.SetPositive(&o.LeavingTimeout, time.Minute)
	return o
}
