package origin

import (
	"time"

	"merlintiller/internal/state/roster"
)

// history records which software versions each service has had. It is pure and not safe for
// concurrent use.
type history struct {
	// since is when the list of targets first became known, zero before.
	since time.Time
	// services holds, by service and version, when a target was listed last.
	services map[string]map[string]time.Time
	// pastKnown is set once services includes the versions from before since.
	pastKnown bool
}

func newHistory() *history { return &history{services: map[string]map[string]time.Time{}} }

// setTargets applies the complete list, with the targets that are leaving.
func (h *history) setTargets(now time.Time, list []roster.Target) {
	if h.since.IsZero() {
		h.since = now
	}
	for _, t := range list {
		h.listed(now, t.Service, t.Version)
	}
}

// setPast applies the versions that services may have had until the list became known.
func (h *history) setPast(past versionSet) {
	h.pastKnown = true
	for service, versions := range past {
		for _, version := range versions {
			h.listed(h.since, service, version)
		}
	}
}

// listed records that a target of a version was listed at a time.
func (h *history) listed(at time.Time, service, version string) {
	versions := h.services[service]
	if versions == nil {
		versions = map[string]time.Time{}
		h.services[service] = versions
	}
	if at.After(versions[version]) {
		versions[version] = at
	}
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
func (h *history) versions(since time.Time, service string) map[string]time.Time {
	for version, listed := range h.services[service] {
		if listed.Before(since) {
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
