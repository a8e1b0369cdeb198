package daemon

import (
	"math"

	"merlintiller/internal/coordination/admission"
	"merlintiller/internal/coordination/headroom"
	"merlintiller/internal/coordination/journal"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// defaultSlots is used for a service whose configuration names none. It is the
// router's own default.
const defaultSlots = 16

// view shows what the router and the journal know to the parts that decide how
// much of the targets may be used.
type view struct {
	router  *routing.Router
	journal *journal.Journal
}

var (
	_ admission.Capacities = (*view)(nil)
	_ headroom.Source      = (*view)(nil)
)

func (v *view) slots(service protocol.ServiceName) int {
	if slots := v.journal.Fleet().Services[service].Slots; slots > 0 {
		return slots
	}
	return defaultSlots
}

// Capacity implements admission.Capacities.
func (v *view) Capacity(service protocol.ServiceName) admission.Capacity {
	capacity := admission.Capacity{Instances: max(1, len(v.Members()))}
	others := 0.0
	for _, target := range v.router.Targets() {
		if target.Service != service || target.Ejected || target.Leaving {
			continue
		}
		capacity.Slots += v.slots(service)
		others += target.Others
	}
	capacity.Others = int(math.Round(others))
	return capacity
}

// Targets implements headroom.Source.
func (v *view) Targets() []headroom.Target {
	statuses := v.router.Targets()
	targets := make([]headroom.Target, 0, len(statuses))
	for _, status := range statuses {
		targets = append(targets, headroom.Target{
			ID:         status.Target,
			Service:    status.Service,
			Domain:     status.Domain,
			Address:    status.Address,
			Slots:      v.slots(status.Service),
			Usable:     !status.Ejected && !status.Leaving,
			Reported:   status.Reported,
			ReportedAt: status.ReportedAt,
		})
	}
	return targets
}

// Members implements headroom.Source.
func (v *view) Members() []headroom.Member {
	var members []headroom.Member
	v.journal.View(func(s *replica.State) {
		for _, info := range s.Sessions.All() {
			members = append(members, headroom.Member{Instance: info.Instance, Domain: info.Domain})
		}
	})
	return members
}
