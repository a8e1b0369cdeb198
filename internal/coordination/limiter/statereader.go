package limiter

import (
	"sync"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// sessionRenewals are the renewals of a session that this instance has seen.
// They are kept while the session is open or holds a slot.
type sessionRenewals struct {
	// last and earlier are the two latest distinct renewals. The session must
	// have read back the earlier one, because a writer submits its next record
	// only once it knows the outcome of the one before.
	last, earlier protocol.Offset
}

// stateReader reads slots and sessions from the replayed state.
type stateReader struct {
	journal coordination.Journal

	mu       sync.Mutex
	renewals map[protocol.SessionID]*sessionRenewals
	// resources caches the lease names of the slots.
	resources map[SlotKey]protocol.Resource
}

func newStateReader(journal coordination.Journal) *stateReader {
	return &stateReader{
		journal:   journal,
		renewals:  map[protocol.SessionID]*sessionRenewals{},
		resources: map[SlotKey]protocol.Resource{},
	}
}

// view returns the open sessions and the slots of the failure domains that have
// a share.
func (r *stateReader) view(fleet *protocol.Fleet) View {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := View{Leases: map[SlotKey]SlotLease{}}
	r.journal.View(func(state *replica.State) {
		for _, info := range state.Sessions.All() {
			r.recordRenewal(info.Session, info.LastRenewal)
			view.Members = append(view.Members, Member{
				Instance: info.Instance,
				Session:  info.Session,
				Domain:   info.Domain,
				Address:  info.PeerAddress,
				Opened:   info.OpenedAt,
				Renewed:  info.LastRenewal,
			})
		}
		for domain := range fleet.Domains {
			for slot := range SlotsPerDomain {
				r.addLease(state, SlotKey{Domain: domain, Slot: slot}, view.Leases)
			}
		}
	})
	r.prune(view)
	return view
}

// recordRenewal updates the two latest renewals of a session.
func (r *stateReader) recordRenewal(session protocol.SessionID, renewal protocol.Offset) {
	renewals, ok := r.renewals[session]
	if !ok {
		renewals = &sessionRenewals{last: renewal, earlier: protocol.NoOffset}
		r.renewals[session] = renewals
	}
	if renewal > renewals.last {
		renewals.earlier, renewals.last = renewals.last, renewal
	}
}

func (r *stateReader) addLease(state *replica.State, key SlotKey, leases map[SlotKey]SlotLease) {
	resource, ok := r.resources[key]
	if !ok {
		resource = key.Resource()
		r.resources[key] = resource
	}
	lease, ok := state.Leases.Last(resource)
	if !ok {
		return
	}
	slotLease := SlotLease{
		Session: lease.Session,
		// Read from the lease, because an instance that started after the
		// session ended has no record of the session.
		Instance: lease.Instance,
		Address:  lease.Address,
		Fence:    lease.Fence,
		Ended:    lease.EndedAt != protocol.NoOffset,
		ReadBack: lease.Fence,
	}
	if renewals, ok := r.renewals[lease.Session]; ok {
		slotLease.ReadBack = max(slotLease.ReadBack, renewals.earlier)
	}
	leases[key] = slotLease
}

// prune removes the renewals of sessions that are not open and hold no slot.
func (r *stateReader) prune(view View) {
	keep := make(map[protocol.SessionID]bool)
	for _, m := range view.Members {
		keep[m.Session] = true
	}
	for _, h := range view.Leases {
		keep[h.Session] = true
	}
	for session := range r.renewals {
		if !keep[session] {
			delete(r.renewals, session)
		}
	}
}

// latestRenewal returns the latest renewal of a session, or NoOffset if the
// session is not open.
func (r *stateReader) latestRenewal(session protocol.SessionID) protocol.Offset {
	renewal := protocol.NoOffset
	r.journal.View(func(state *replica.State) {
		if info, ok := state.Sessions.Get(session); ok {
			renewal = info.LastRenewal
		}
	})
	return renewal
}

// consecutive reports whether there is no other configuration between two
// versions.
func (r *stateReader) consecutive(from, to protocol.Offset) bool {
	between := 0
	r.journal.View(func(state *replica.State) {
		for _, change := range state.Fleet.History() {
			if change.Version > from && change.Version < to {
				between++
			}
		}
	})
	return between == 0
}
