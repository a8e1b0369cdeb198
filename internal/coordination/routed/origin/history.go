package origin

import (
	"time"

	"merlintiller/internal/state/roster"
)

// maxUnreachable is how long after its last ready target was listed a version may still serve in a failure domain that
// is out of reach. After that the domain counts as gone: a version that ended together with a domain would
// otherwise count for ever.
const maxUnreachable = 5 * time.Minute

// serviceVersion names a version of a service.
type serviceVersion struct{ service, version string }

// servedAt names a version of a service in a failure domain.
type servedAt struct{ version, domain string }

// sighting is when a version may last have served in a failure domain.
type sighting struct {
	// listed is set while the list has such a target, ready while it has one that is not leaving.
	listed, ready bool
	// readyUntil is when the list last had one that is not leaving.
	readyUntil time.Time
	// until is when such a target may last have served: when the list last had one, or later if the failure
	// domain has been out of reach.
	until time.Time
}

// history records which software versions each service has had. It is pure and not safe for
// concurrent use.
type history struct {
	// since is when the list of targets first became known, zero before.
	since time.Time
	// listedSince holds since when each version of a service has been listed, zero for those of the first list.
	listedSince map[serviceVersion]time.Time
	// services holds the sightings by service.
	services map[string]map[servedAt]sighting
	// reachedAt is when each failure domain was last in reach, unreachableAt when any with a sighting was not.
	reachedAt     map[string]time.Time
	unreachableAt time.Time
	// pastKnown is set once services includes the versions from before since, or streams of these
	// can't be taken up any more.
	pastKnown bool
}

func newHistory() *history {
	return &history{services: map[string]map[servedAt]sighting{}, listedSince: map[serviceVersion]time.Time{}, reachedAt: map[string]time.Time{}}
}

// setTargets applies the complete list, with the targets that are leaving.
func (h *history) setTargets(now time.Time, list []roster.Target) {
	h.updateListedSince(now, list)
	if h.since.IsZero() {
		h.since = now
	}
	for _, sightings := range h.services {
		for where, seen := range sightings {
			sightings[where] = seen.unlist(now)
		}
	}
	for _, t := range list {
		where := servedAt{t.Version, t.Domain}
		seen := h.sightings(t.Service)[where]
		seen.listed, seen.ready = true, seen.ready || !t.Leaving
		h.sightings(t.Service)[where] = seen
	}
}

// updateListedSince records since when the versions of a complete list have been listed.
func (h *history) updateListedSince(now time.Time, list []roster.Target) {
	before := h.listedSince
	h.listedSince = make(map[serviceVersion]time.Time, len(before))
	for _, t := range list {
		listed := serviceVersion{t.Service, t.Version}
		since, known := before[listed]
		if !known && !h.since.IsZero() {
			since = now
		}
		h.listedSince[listed] = since
	}
}

// settled returns the versions of a service that have been listed since a time, empty if all have, or if none of
// those has a target that is not leaving.
func (h *history) settled(since time.Time, service string) (versions []string) {
	unsettled := false
	for listed, at := range h.listedSince {
		switch {
		case listed.service != service:
		case at.After(since):
			unsettled = true
		case h.isReady(listed):
			versions = append(versions, listed.version)
		}
	}
	if !unsettled {
		return nil
	}
	return versions
}

// isReady reports whether a version of a service has a listed target that is not leaving.
func (h *history) isReady(v serviceVersion) bool {
	for where, seen := range h.services[v.service] {
		if where.version == v.version && seen.ready {
			return true
		}
	}
	return false
}

// unlist returns a sighting of which the list has no target from now on.
func (s sighting) unlist(now time.Time) sighting {
	if s.ready {
		s.readyUntil = now
	}
	if s.listed {
		s.until = now
	}
	s.listed, s.ready = false, false
	return s
}

// setPast applies the versions that services may have had until the list became known, or until now in failure
// domains that are out of reach.
func (h *history) setPast(past VersionSet) {
	h.pastKnown = true
	at := h.since
	if h.unreachableAt.After(at) {
		at = h.unreachableAt
	}
	for service, versions := range past {
		sightings := h.sightings(service)
		for version, domains := range versions {
			for _, domain := range domains {
				where := servedAt{version, domain}
				if seen := sightings[where]; !seen.listed && seen.until.Before(at) {
					sightings[where] = sighting{readyUntil: at, until: at}
				}
			}
		}
	}
}

func (h *history) sightings(service string) map[servedAt]sighting {
	if h.services[service] == nil {
		h.services[service] = map[servedAt]sighting{}
	}
	return h.services[service]
}

// setReached applies which failure domains are in reach now. In others, targets may serve although their
// entries have lapsed. It has to be called several times within streamLifetime.
func (h *history) setReached(now time.Time, reached map[string]bool) {
	for domain := range reached {
		h.reachedAt[domain] = now
	}
	for _, sightings := range h.services {
		for where, seen := range sightings {
			if reached[where.domain] {
				continue
			}
			h.unreachableAt = now
			if !seen.listed && h.mayServeUnlisted(now, where, seen) {
				seen.until = now
				sightings[where] = seen
			}
		}
	}
	if !h.since.IsZero() && !h.needsPast(now.Add(-streamLifetime)) {
		h.pastKnown = true
	}
}

// mayServeUnlisted reports whether streams may begin at unlisted targets in a failure domain that is out of reach: its
// instances had not learned that the targets left while they could be reached.
func (h *history) mayServeUnlisted(now time.Time, where servedAt, seen sighting) bool {
	knowsUntil := h.reachedAt[where.domain].Add(-maxListAge)
	return seen.readyUntil.After(knowsUntil) && now.Sub(seen.readyUntil) <= maxUnreachable
}

// needsPast reports whether it matters which versions services had before the list became known: since
// a time, it has not been known all the while, or a failure domain has been out of reach.
func (h *history) needsPast(since time.Time) bool {
	return !h.since.IsZero() && !h.pastKnown && (h.since.After(since) || h.unreachableAt.After(since))
}

// onlyVersion returns the version of a service if it had no other one since a time. It returns
// false if the list has not been known for so long, and the past before it is not known either: a
// list does not show the versions that have just left, are not listed yet, or whose entries have
// lapsed for a moment.
//
// A target without a known version counts as one of another version.
func (h *history) onlyVersion(since time.Time, service string) (only string, ok bool) {
	if h.since.IsZero() || h.needsPast(since) {
		return "", false
	}
	for version := range h.versions(since, service) {
		if only != "" || version == "" {
			return "", false
		}
		only = version
	}
	return only, only != ""
}

// versions returns the versions that a service may have had since a time, with their failure domains.
func (h *history) versions(since time.Time, service string) map[string][]string {
	out := map[string][]string{}
	for where, seen := range h.services[service] {
		if !seen.listed && seen.until.Before(since) {
			delete(h.services[service], where)
			continue
		}
		out[where.version] = append(out[where.version], where.domain)
	}
	return out
}

// allVersions returns the versions that services may have had since a time.
func (h *history) allVersions(since time.Time) VersionSet {
	out := VersionSet{}
	for service := range h.services {
		for version, domains := range h.versions(since, service) {
			for _, domain := range domains {
				out.add(service, version, domain)
			}
		}
	}
	return out
}

// hasNoOther reports whether a service has had no other version than the given one since a
// time, as far as this instance knows.
func (h *history) hasNoOther(since time.Time, service, version string) bool {
	for other := range h.versions(since, service) {
		if other != version {
			return false
		}
	}
	return true
}
