package origin

import (
	"time"

	"merlintiller/internal/state/roster"
)

// sighting is when a version may last have served.
type sighting struct {
	// listed is set while the list has a target of the version, and until is when it last had one.
	listed bool
	until  time.Time
}

// history records which software versions each service has had. It is pure and not safe for
// concurrent use.
type history struct {
	// since is when the list of targets first became known, zero before.
	since time.Time
	// services holds the sightings by service and version.
	services map[string]map[string]sighting
	// pastKnown is set once services includes the versions from before since.
	pastKnown bool
}

func newHistory() *history { return &history{services: map[string]map[string]sighting{}} }

// setTargets applies the complete list, with the targets that are leaving.
func (h *history) setTargets(now time.Time, list []roster.Target) {
	if h.since.IsZero() {
		h.since = now
	}
	for _, versions := range h.services {
		for version, seen := range versions {
			if seen.listed {
				versions[version] = sighting{until: now}
			}
		}
	}
	for _, t := range list {
		h.versionsOf(t.Service)[t.Version] = sighting{listed: true}
	}
}

// setPast applies the versions that services may have had until the list became known.
func (h *history) setPast(past versionSet) {
	h.pastKnown = true
	for service, names := range past {
		versions := h.versionsOf(service)
		for _, version := range names {
			if seen := versions[version]; !seen.listed && seen.until.Before(h.since) {
				versions[version] = sighting{until: h.since}
			}
		}
	}
}

func (h *history) versionsOf(service string) map[string]sighting {
	if h.services[service] == nil {
		h.services[service] = map[string]sighting{}
	}
	return h.services[service]
}

// needsPast reports whether it matters which versions services had before the list became known: it
// has not been known since a time.
func (h *history) needsPast(since time.Time) bool {
	return !h.since.IsZero() && !h.pastKnown && h.since.After(since)
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

// versions returns the versions that a service has had since a time.
func (h *history) versions(since time.Time, service string) map[string]sighting {
	for version, seen := range h.services[service] {
		if !seen.listed && seen.until.Before(since) {
			delete(h.services[service], version)
		}
	}
	return h.services[service]
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
