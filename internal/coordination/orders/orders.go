// Package orders sends orders to targets so that they run what the configuration
// specifies: model, version, adapter and role.
//
// Orders are level-triggered. For each service and failure domain one instance
// sends the orders: the holder of a lease in the log. The offset of the lease's
// claim is the fencing number of every order. Targets that check fencing numbers
// reject the orders of a former holder themselves. At other targets, an order of
// a former holder that was paused while sending may arrive late. A new holder
// therefore waits until no order that was sent in time can still be in progress.
// After that it keeps reading the state of each target, so that a stale order is
// detected by its fencing number and corrected.
package orders

import (
	"slices"
	"time"

	"merlintiller/internal/defaults"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Policy holds the settings of a Reconciler. A zero field takes its default.
type Policy struct {
	// HoldTime is how long a holder continues after it sent its last confirmed
	// renewal. The daemon passes the session's own setting. Default 10 s.
	HoldTime time.Duration
	// CheckInterval is the time between two reads of a target's state. Default
	// 5 s: a stale order remains in effect for at most that long.
	CheckInterval time.Duration
	// RetryInterval is the delay before a failed order or read is repeated.
	// Default 2 s.
	RetryInterval time.Duration
	// ClaimDelay is the additional delay per rank before a candidate claims a
	// free lease. Default 2 s, so that one instance claims the lease and not
	// all.
	ClaimDelay time.Duration
	// MaxChangeShare is the fraction of a service's targets in the domain that
	// may load a change at the same time; at least one target always may.
	// Default 0.25: most targets keep serving while a new version is rolled
	// out.
	MaxChangeShare float64
	// MaxOrderTime is the longest time that a target takes to carry out an
	// order, for services whose configuration does not set it. Default 2 min.
	MaxOrderTime time.Duration
}

func (p Policy) withDefaults() Policy {
	defaults.SetPositive(&p.HoldTime, 10*time.Second)
	defaults.SetPositive(&p.CheckInterval, 5*time.Second)
	defaults.SetPositive(&p.RetryInterval, 2*time.Second)
	defaults.SetPositive(&p.ClaimDelay, 2*time.Second)
	defaults.SetPositive(&p.MaxChangeShare, 0.25)
	defaults.SetPositive(&p.MaxOrderTime, 2*time.Minute)
	return p
}

// LeaseResource returns the name of the lease for the orders to a service's
// targets in a failure domain.
func LeaseResource(service protocol.ServiceName, domain protocol.Domain) protocol.Resource {
	return protocol.Resource("orders/" + string(service) + "/" + string(domain))
}

// DesiredOrder returns the order that the configuration specifies for a service.
// ok is false if no model names the service. If several models do, the first by
// name is used, because a target takes only one order.
func DesiredOrder(fleet *protocol.Fleet, name protocol.ServiceName) (order external.Order, ok bool) {
	var models []protocol.Model
	for _, model := range fleet.Models {
		if model.Service == name {
			models = append(models, model)
		}
	}
	if len(models) == 0 {
		return external.Order{}, false
	}
	first := slices.MinFunc(models, func(a, b protocol.Model) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return external.Order{
		Model:   first.Name,
		Version: first.Version,
		Adapter: first.Adapter,
		Role:    fleet.Services[name].Role,
	}, true
}
