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

// defaultSlots is the number of slots of a service whose configuration gives none. It
// equals the default of the router.
const defaultSlots = 16

// fleetView provides the state of the router and the journal to admission and headroom.
type fleetView struct {
	router  *routing.Router
	journal *journal.Journal

	mu        sync.Mutex
	members   []headroom.Member
	membersAt time.Time
}

// membersTTL is the time for which the list of members is cached. The list is read many
// times a second but changes only when an instance joins or leaves. It only decides which
// instance sends batch items to which target and how the slots of a target are divided.
const membersTTL = time.Second

var (
	_ admission.CapacitySource = (*fleetView)(nil)
	_ headroom.Source          = (*fleetView)(nil)
)

func (v *fleetView) slotsOf(service protocol.ServiceName) int {
	if slots := v.journal.Fleet().Services[service].Slots; slots > 0 {
		return slots
	}
	return defaultSlots
}

// Capacity implements admission.CapacitySource.
func (v *fleetView) Capacity(service protocol.ServiceName) admission.Capacity {
	slots, otherLoad := v.router.Capacity(service)
	return admission.Capacity{
		Slots:     slots,
		OtherLoad: int(math.Round(otherLoad)),
		Instances: max(1, len(v.Members())),
	}
}

// Targets implements headroom.Source.
func (v *fleetView) Targets() []headroom.Target {
	statuses := v.router.Targets()
	targets := make([]headroom.Target, 0, len(statuses))
	for _, status := range statuses {
		// The targets of plain services run no batch items. If they were assigned too, an
		// instance that is assigned only such targets would have no batch work.
		if v.journal.Fleet().Services[status.Service].Kind == protocol.KindPlain {
			continue
		}
		targets = append(targets, headroom.Target{
			ID:         status.Target,
			Service:    status.Service,
			Domain:     status.Domain,
			Address:    status.Address,
			Version:    status.Version,
			Slots:      v.slotsOf(status.Service),
			Usable:     !status.Ejected && !status.Leaving,
			Reported:   status.Reported,
			ReportedAt: status.ReportedAt,
		})
	}
	return targets
}

// Members implements headroom.Source.
func (v *fleetView) Members() []headroom.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if v.members != nil && now.Sub(v.membersAt) < membersTTL {
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
