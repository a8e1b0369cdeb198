package limiter

import (
	"time"

	"merlintiller/internal/protocol"
)

// generation is a configuration that some holder may still follow.
type generation struct {
	// version is the one that replaced it.
	version protocol.Offset
	domains map[protocol.Domain]protocol.DomainShare
	// organisations holds the ones that the change touched, as they were.
	organisations map[protocol.OrganisationID]protocol.Organisation
	// indirect says that there were others in between, which this instance
	// did not see and which another holder may follow.
	indirect bool
}

// generations remembers past configurations until every holder follows a later
// one, and when an organisation's rate last changed here.
//
// A change that makes one slot's part grow and another's shrink would let
// through more than both the old and the new rate if the growing holder
// followed first. So such a part stays at the lowest of the old and the new
// ones until all holders follow. Where all parts grow, or all shrink, each
// holder follows at once and the sum stays between the old and the new rate.
type generations struct {
	past []generation
	// changed is when an organisation's rate, burst or division last changed
	// here. A bucket made later must not seem to have filled before.
	changed map[protocol.OrganisationID]time.Time
	since   time.Time
}

// replace notes that a configuration is replaced by a later one.
func (g *generations) replace(now time.Time, old, fleet *protocol.Fleet, direct bool) {
	if g.changed == nil {
		g.changed = map[protocol.OrganisationID]time.Time{}
		g.since = now
		return
	}
	redivided := !sameShares(old.Domains, fleet.Domains)
	gen := generation{
		version:       fleet.Version,
		domains:       old.Domains,
		organisations: map[protocol.OrganisationID]protocol.Organisation{},
		indirect:      !direct,
	}
	for id, org := range fleet.Organisations {
		was, existed := old.Organisations[id]
		if existed && !redivided && was.Rate == org.Rate && was.Burst == org.Burst {
			continue
		}
		g.changed[id] = now
		gen.organisations[id] = was
	}
	for id := range old.Organisations {
		if _, ok := fleet.Organisations[id]; !ok {
			gen.organisations[id] = old.Organisations[id]
		}
	}
	if len(gen.organisations) > 0 {
		g.past = append(g.past, gen)
	}
}

func sameShares(a, b map[protocol.Domain]protocol.DomainShare) bool {
	if len(a) != len(b) {
		return false
	}
	for name, share := range a {
		if b[name].Share != share.Share {
			return false
		}
	}
	return true
}

// settle notes that every holder follows a version at least.
func (g *generations) settle(version protocol.Offset) bool {
	kept := g.past[:0]
	for _, gen := range g.past {
		if gen.version > version {
			kept = append(kept, gen)
		}
	}
	settled := len(kept) < len(g.past)
	g.past = kept
	return settled
}

// fillsFrom is the earliest time from which a new bucket may have filled.
func (g *generations) fillsFrom(id protocol.OrganisationID) time.Time {
	if at, ok := g.changed[id]; ok {
		return at
	}
	return g.since
}

// parts are an organisation's parts as they may be used now.
func (g *generations) parts(org protocol.Organisation, domains map[protocol.Domain]protocol.DomainShare) []Part {
	parts := Divide(org, domains)
	var older [][]Part
	direct := true
	for _, gen := range g.past {
		if was, ok := gen.organisations[org.ID]; ok {
			older = append(older, Divide(was, gen.domains))
			direct = direct && !gen.indirect
		}
	}
	if len(older) == 0 || direct && allGrow(parts, older) {
		return parts
	}
	return lowest(parts, older)
}

func partOf(parts []Part, key SlotKey) Part {
	for _, p := range parts {
		if p.Key == key {
			return p
		}
	}
	return Part{Key: key}
}

// allGrow reports whether no old part was larger than the new one.
func allGrow(parts []Part, older [][]Part) bool {
	for _, old := range older {
		for _, was := range old {
			is := partOf(parts, was.Key)
			if is.Rate < was.Rate || is.Burst < was.Burst {
				return false
			}
		}
	}
	return true
}

func lowest(parts []Part, older [][]Part) []Part {
	low := make([]Part, len(parts))
	for i, p := range parts {
		for _, old := range older {
			was := partOf(old, p.Key)
			p.Rate = min(p.Rate, was.Rate)
			p.Burst = min(p.Burst, was.Burst)
		}
		low[i] = p
	}
	return low
}
