// Package orders makes targets run what the configuration says: model, version,
// adapter and role.
//
// Orders are level-triggered. The duty to order the targets of one service in
// one failure domain is a lease in the log, and the offset of its claim is the
// fencing number of every order. Targets that check fencing numbers refuse the
// order of a former holder by themselves. At the others a former holder that
// was paused in the middle of sending may come late: the new holder first waits
// until no order that was given in time can still be worked on, and afterwards
// goes on reading what each target runs, so that a stale order is seen by its
// fencing number and corrected.
package orders

import (
	"slices"
	"time"

	"merlintiller/internal/defaults"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Policy holds the settings. A zero field takes its default.
type Policy struct {
	// HoldTime is how long a holder goes on after it sent its last confirmed
	// renewal (the session's own setting). Default 10 s.
	HoldTime time.Duration
	// Check is the time between two looks at what a target runs. Default 5 s:
	// a stale order stands for at most that long.
	Check time.Duration
	// Retry is the time after which an order or look that failed is repeated.
	// Default 2 s.
	Retry time.Duration
	// ClaimStep is how long each further candidate waits before it claims a
	// free duty. Default 2 s, so that one instance claims and not all.
	ClaimStep time.Duration
	// ChangeShare is the part of a service's targets in the domain that may
	// change what they run at the same time. Default 0.25: a new version is
	// rolled out while most targets go on serving.
	ChangeShare float64
	// LongestOrder is used for services that configure none. Default 2 min.
	LongestOrder time.Duration
}

func (p Policy) withDefaults() Policy {
	defaults.SetPositive(&p.HoldTime, 10*time.Second)
	defaults.SetPositive(&p.Check, 5*time.Second)
	defaults.SetPositive(&p.Retry, 2*time.Second)
	defaults.SetPositive(&p.ClaimStep, 2*time.Second)
	defaults.SetPositive(&p.ChangeShare, 0.25)
	defaults.SetPositive(&p.LongestOrder, 2*time.Minute)
	return p
}

// Resource names the duty to order a service's targets in a failure domain.
func Resource(service protocol.ServiceName, domain protocol.Domain) protocol.Resource {
	return protocol.Resource("orders/" + string(service) + "/" + string(domain))
}

// Wanted is the order that the configuration asks for. ok is false if no model
// names the service. Of several models the first by name counts, since a
// target takes one order.
func Wanted(fleet *protocol.Fleet, name protocol.ServiceName) (order external.Order, ok bool) {
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
