// Package routing chooses targets for calls.
//
// Core is the decision: power of two choices on own calls in flight and the
// lagging reports of load, own failure domain first, slow and failing targets
// ejected for a while, leaving targets without new work. It has no clock, no
// I/O and no goroutine, so that the daemon, the tests and the policy bench
// drive the same code. Router puts a lock and a clock around it.
package routing

import (
	"time"

	"merlintiller/internal/defaults"
	"merlintiller/internal/protocol"
)

// Options are the policy's settings. A zero field takes its default.
type Options struct {
	// Domain is the instance's own failure domain.
	Domain protocol.Domain
	// Seed makes the random choices reproducible.
	Seed uint64
	// SlotsPerTarget is used for services that configure none. Default 16.
	SlotsPerTarget int
	// SpillAt is the load per slot from which another domain's target may be
	// taken. Default 1: below it the local target runs well, so crossing
	// domains would cost latency for nothing.
	SpillAt float64
	// SpillMargin is by how much less loaded per slot the other domain's target
	// must be. Default 0.25, so that two full domains don't trade calls.
	SpillMargin float64
	// ReportHalfLife is the age at which a load report counts half; the other
	// half is the mean over the service. Default 300 ms: reports are 1 to 2 s
	// old when they are used, and all instances that trusted them would turn
	// to the same targets (docs/design/10-routing.md has the figures).
	ReportHalfLife time.Duration
	// AffinityMargin is how far above the mean load per slot a target that
	// holds the prompt's prefix is still preferred. Zero is no affinity; the
	// daemon's setting is 0.25.
	AffinityMargin float64
	// AffinityFresh is the greatest age of a load report with which a prefix
	// may draw calls to its target. Default 4 s: two reports a second apart
	// may fail.
	AffinityFresh time.Duration
	// FailuresToEject is the run of failures that ejects a target. Default 3.
	FailuresToEject int
	// InitialEjection is the first ejection; it doubles up to MaxEjection. Defaults
	// 2 s and 60 s.
	InitialEjection, MaxEjection time.Duration
	// MaxEjectedShare bounds the part of a service that is ejected at the same
	// time. Default 0.5: one of three failure domains may be dead as a whole;
	// beyond a half the cause is more likely shared, and the rest could not
	// carry the load.
	MaxEjectedShare float64
	// SlowFactor ejects a target whose mean time to the first byte is so many
	// times the service's. Default 4.
	SlowFactor float64
	// SlowSamples is how many answers the mean needs. Default 8.
	SlowSamples int
	// SlowFloor is a time to the first byte that is never slow. Default
	// 100 ms, so that jitter on a fast service ejects nobody.
	SlowFloor time.Duration
	// PeerBatchItems is the number of batch items that other instances had at
	// a target at a time, as far as it is known; nil if it never is.
	PeerBatchItems func(protocol.TargetID, time.Time) int
	// LeavingFor keeps a target that said it is leaving out of use until the
	// list has dropped it. Default 60 s.
	LeavingFor time.Duration
}

func (o Options) withDefaults() Options {
	defaults.SetPositive(&o.SlotsPerTarget, 16)
	defaults.SetPositive(&o.SpillAt, 1)
	defaults.SetPositive(&o.SpillMargin, 0.25)
	defaults.SetPositive(&o.ReportHalfLife, 300*time.Millisecond)
	defaults.SetPositive(&o.AffinityFresh, 4*time.Second)
	defaults.SetPositive(&o.FailuresToEject, 3)
	defaults.SetPositive(&o.InitialEjection, 2*time.Second)
	defaults.SetPositive(&o.MaxEjection, time.Minute)
	defaults.SetPositive(&o.MaxEjectedShare, 0.5)
	defaults.SetPositive(&o.SlowFactor, 4)
	defaults.SetPositive(&o.SlowSamples, 8)
	defaults.SetPositive(&o.SlowFloor, 100*time.Millisecond)
	defaults.SetPositive(&o.LeavingFor, time.Minute)
	return o
}
