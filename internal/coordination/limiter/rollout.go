package limiter

import (
	"time"

	"merlintiller/internal/protocol"
)

// supersededConfig is a configuration that some holder may still use.
type supersededConfig struct {
	// replacedBy is the version of the configuration that replaced it.
	replacedBy protocol.Offset
	domains    map[protocol.Domain]protocol.DomainShare
	// organisations holds the previous state of the organisations that the
	// change affected.
	organisations map[protocol.OrganisationID]protocol.Organisation
	// versionsSkipped is true if there were versions in between that this
	// instance did not apply and that another holder may still use.
	versionsSkipped bool
}

// rollout keeps superseded configurations until every holder has applied a
// later one, and when each organisation's quotas last changed here.
//
// If a change increases the quota of one slot and decreases that of another,
// and the holder of the growing quota applied it first, both together would
// admit more than both the old and the new rate. Such a quota therefore stays
// at the minimum of the old and new values until all holders have applied the
// change. If all quotas grow, or all shrink, each holder applies the change
// immediately and the sum stays between the old and the new rate.
type rollout struct {
	superseded []supersededConfig
	// changedAt is when an organisation's rate, burst or division last changed
	// here. A bucket that is created later must not count as filled since
	// before that time.
	changedAt map[protocol.OrganisationID]time.Time
	startedAt time.Time
}

// supersede records that a configuration was replaced by a later one.
func (r *rollout) supersede(now time.Time, old, fleet *protocol.Fleet, consecutive bool) {
	if r.changedAt == nil {
		r.changedAt = map[protocol.OrganisationID]time.Time{}
		r.startedAt = now
		return
	}
	redivided := !sameShares(old.Domains, fleet.Domains)
	superseded := supersededConfig{
		replacedBy:      fleet.Version,
		domains:         old.Domains,
		organisations:   map[protocol.OrganisationID]protocol.Organisation{},
		versionsSkipped: !consecutive,
	}
	for id, org := range fleet.Organisations {
		previous, existed := old.Organisations[id]
		if existed && !redivided && previous.Rate == org.Rate && previous.Burst == org.Burst {
			continue
		}
		r.changedAt[id] = now
		superseded.organisations[id] = previous
	}
	for id := range old.Organisations {
		if _, ok := fleet.Organisations[id]; !ok {
			superseded.organisations[id] = old.Organisations[id]
		}
	}
	if len(superseded.organisations) > 0 {
		r.superseded = append(r.superseded, superseded)
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

// confirm records that every holder has applied at least the given version. It
// reports whether this completes a rollout.
func (r *rollout) confirm(version protocol.Offset) bool {
	kept := r.superseded[:0]
	for _, config := range r.superseded {
		if config.replacedBy > version {
			kept = append(kept, config)
		}
	}
	completed := len(kept) < len(r.superseded)
	r.superseded = kept
	return completed
}

// bucketStart returns the earliest time from which a new bucket may have
// filled.
func (r *rollout) bucketStart(id protocol.OrganisationID) time.Time {
	if at, ok := r.changedAt[id]; ok {
		return at
	}
	return r.startedAt
}

// quotas returns an organisation's quotas as they may be used now.
func (r *rollout) quotas(org protocol.Organisation, domains map[protocol.Domain]protocol.DomainShare) []Quota {
	current := Divide(org, domains)
	var previousQuotas [][]Quota
	consecutive := true
	for _, config := range r.superseded {
		if previous, ok := config.organisations[org.ID]; ok {
			previousQuotas = append(previousQuotas, Divide(previous, config.domains))
			consecutive = consecutive && !config.versionsSkipped
		}
	}
	if len(previousQuotas) == 0 || consecutive && noneShrinks(current, previousQuotas) {
		return current
	}
	return minQuotas(current, previousQuotas)
}

func quotaOf(quotas []Quota, key SlotKey) Quota {
	for _, q := range quotas {
		if q.Key == key {
			return q
		}
	}
	return Quota{Key: key}
}

// noneShrinks reports whether no quota is lower than before.
func noneShrinks(current []Quota, previous [][]Quota) bool {
	for _, old := range previous {
		for _, before := range old {
			after := quotaOf(current, before.Key)
			if after.Rate < before.Rate || after.Burst < before.Burst {
				return false
			}
		}
	}
	return true
}

func minQuotas(current []Quota, previous [][]Quota) []Quota {
	lowest := make([]Quota, len(current))
	for i, q := range current {
		for _, old := range previous {
			before := quotaOf(old, q.Key)
			q.Rate = min(q.Rate, before.Rate)
			q.Burst = min(q.Burst, before.Burst)
		}
		lowest[i] = q
	}
	return lowest
}
