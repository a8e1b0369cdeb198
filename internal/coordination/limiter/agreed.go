package limiter

import (
	"sync"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// sessionTrace is what this instance remembers of a session, also after it
// ended.
type sessionTrace struct {
	// last and earlier are the two latest distinct renewals seen. The session
	// has surely read back the earlier one: a writer sends its next record only
	// when it knows the fate of the one before.
	last, earlier protocol.Offset
}

// agreed reads the slots out of the replayed state.
type agreed struct {
	journal coordination.Journal

	mu     sync.Mutex
	traces map[protocol.SessionID]*sessionTrace
	// resources are the slots' lease names, made once.
	resources map[SlotKey]protocol.Resource
}

func newAgreed(journal coordination.Journal) *agreed {
	return &agreed{
		journal:   journal,
		traces:    map[protocol.SessionID]*sessionTrace{},
		resources: map[SlotKey]protocol.Resource{},
	}
}

// view shows the slots of the domains that have a share.
func (a *agreed) view(fleet *protocol.Fleet) View {
	a.mu.Lock()
	defer a.mu.Unlock()
	view := View{Holdings: map[SlotKey]Holding{}}
	a.journal.View(func(state *replica.State) {
		for _, info := range state.Sessions.All() {
			a.trace(info.Session, info.LastRenewal)
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
				a.holding(state, SlotKey{Domain: domain, Slot: slot}, view.Holdings)
			}
		}
	})
	a.forget(view)
	return view
}

func (a *agreed) trace(session protocol.SessionID, renewal protocol.Offset) {
	t, ok := a.traces[session]
	if !ok {
		t = &sessionTrace{last: renewal, earlier: protocol.NoOffset}
		a.traces[session] = t
	}
	if renewal > t.last {
		t.earlier, t.last = t.last, renewal
	}
}

func (a *agreed) holding(state *replica.State, key SlotKey, into map[SlotKey]Holding) {
	resource, ok := a.resources[key]
	if !ok {
		resource = key.Resource()
		a.resources[key] = resource
	}
	lease, ok := state.Leases.Last(resource)
	if !ok {
		return
	}
	h := Holding{
		Session: lease.Session,
		// From the lease, since an instance that started after the session
		// ended has never seen it.
		Instance: lease.Instance,
		Address:  lease.Address,
		Fence:    lease.Fence,
		Ended:    lease.EndedAt != protocol.NoOffset,
		Settled:  lease.Fence,
	}
	if t, ok := a.traces[lease.Session]; ok {
		h.Settled = max(h.Settled, t.earlier)
	}
	into[key] = h
}

// forget drops sessions that neither are open nor hold a slot.
func (a *agreed) forget(view View) {
	keep := make(map[protocol.SessionID]bool)
	for _, m := range view.Members {
		keep[m.Session] = true
	}
	for _, h := range view.Holdings {
		keep[h.Session] = true
	}
	for session := range a.traces {
		if !keep[session] {
			delete(a.traces, session)
		}
	}
}

// ownRenewal is the latest renewal of an open session, NoOffset if it is not
// open.
func (a *agreed) ownRenewal(session protocol.SessionID) protocol.Offset {
	renewal := protocol.NoOffset
	a.journal.View(func(state *replica.State) {
		if info, ok := state.Sessions.Get(session); ok {
			renewal = info.LastRenewal
		}
	})
	return renewal
}

// direct reports whether no other configuration lies between two versions.
func (a *agreed) direct(from, to protocol.Offset) bool {
	between := 0
	a.journal.View(func(state *replica.State) {
		for _, change := range state.Fleet.History() {
			if change.Version > from && change.Version < to {
				between++
			}
		}
	})
	return between == 0
}
