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
	// lastStart holds, by service, the latest start of a listed target, by the clock of that
	// target.
	lastStart map[string]time.Time
}

func newHistory() *history {
	return &history{services: map[string]map[string]time.Time{}, lastStart: map[string]time.Time{}}
}

// setTargets applies the complete list, with the targets that are leaving.
func (h *history) setTargets(now time.Time, list []roster.Target) {
	if h.since.IsZero() {
		h.since = now
	}
	for _, t := range list {
		versions := h.services[t.Service]
		if versions == nil {
			versions = map[string]time.Time{}
			h.services[t.Service] = versions
		}
		versions[t.Version] = now
		if started := time.UnixMilli(t.Started); started.After(h.lastStart[t.Service]) {
			h.lastStart[t.Service] = started
		}
	}
}

// onlyVersion returns the version of a service if it had no other one since a time. It returns
// false if the list was not known for so long, unless no listed target has started since
// then: a version that has left may have been replaced by those that have started.
//
// A target without a known version counts as one of another version.
func (h *history) onlyVersion(since time.Time, service string) (only string, ok bool) {
	if h.since.IsZero() || h.since.After(since) && h.lastStart[service].After(since) {
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
