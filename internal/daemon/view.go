package daemon

import (
	"math"
	"sync"
	"time"

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

	mu        sync.Mutex
	members   []headroom.Member
	membersAt time.Time
}

// membersFresh is how long the members are kept. They change when an instance
// comes or goes, are asked for many times a second, and decide only who feeds
// which target and how a target's slots are divided.
const membersFresh = time.Second

var (
	_ admission.CapacitySource = (*view)(nil)
	_ headroom.Source          = (*view)(nil)
)

func (v *view) slots(service protocol.ServiceName) int {
	if slots := v.journal.Fleet().Services[service].Slots; slots > 0 {
		return slots
	}
	return defaultSlots
}

// Capacity implements admission.Capacities.
func (v *view) Capacity(service protocol.ServiceName) admission.Capacity {
	slots, others := v.router.Capacity(service)
	return admission.Capacity{
		Slots:     slots,
		OtherLoad: int(math.Round(others)),
		Instances: max(1, len(v.Members())),
	}
}

// Targets implements headroom.Source.
func (v *view) Targets() []headroom.Target {
	statuses := v.router.Targets()
	targets := make([]headroom.Target, 0, len(statuses))
	for _, status := range statuses {
		// Shared out too, a plain service's targets would leave an instance
		// that feeds only those without any batch work.
		if v.journal.Fleet().Services[status.Service].Kind == protocol.KindPlain {
			continue
		}
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
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if v.members != nil && now.Sub(v.membersAt) < membersFresh {
		return v.members
	}
	var members []headroom.Member
	v.journal.View(func(s *replica.State) {
		for _, info := range s.Sessions.All() {
			members = append(members, headroom.Member{Instance: info.Instance, Domain: info.Domain})
		}
	})
	v.members, v.membersAt = members, now
	return members
}
