package origin

import (
	"maps"
	"slices"
	"strings"

	"merlintiller/internal/state/roster"
)

// VersionSet is a set of software versions, by service. Each has the sorted failure domains in which it served.
type VersionSet map[string]map[string][]string

func (s VersionSet) add(service, version, domain string) {
	versions := s[service]
	if versions == nil {
		versions = map[string][]string{}
		s[service] = versions
	}
	at, found := slices.BinarySearch(versions[version], domain)
	if !found {
		versions[version] = slices.Insert(versions[version], at, domain)
	}
}

func (s VersionSet) addAll(other VersionSet) {
	for service, versions := range other {
		for version, domains := range versions {
			for _, domain := range domains {
				s.add(service, version, domain)
			}
		}
	}
}

func (s VersionSet) equal(other VersionSet) bool {
	return maps.EqualFunc(s, other, func(a, b map[string][]string) bool { return maps.EqualFunc(a, b, slices.Equal) })
}

// String returns the versions for a log line.
func (s VersionSet) String() string {
	var out []string
	for _, service := range slices.Sorted(maps.Keys(s)) {
		versions := slices.Sorted(maps.Keys(s[service]))
		out = append(out, service+"="+strings.Join(versions, "/"))
	}
	return strings.Join(out, ",")
}

// changes are the changes of the list of targets since an offset.
type changes struct {
	// versions are those of the entries that were written.
	versions VersionSet
	// removed is set if an entry was removed.
	removed bool
	// end is the offset up to which changes were read.
	end int64
	// missing is set if the store had deleted some of them, or there were too many.
	missing bool
}

// summary says at which software versions streams may have begun, as of an offset of the list of
// targets.
type summary struct {
	Mark int64
	// Services has the versions that were listed at Mark or within settleTime before it, and those that
	// may serve in failure domains that are out of reach.
	Services VersionSet
	// Incomplete is set if versions may be missing, since changes were deleted before they were read.
	Incomplete bool
}

// mark returns the offset up to which the list is summarised, 0 without a summary.
func (s *summary) mark() int64 {
	if s == nil {
		return 0
	}
	return s.Mark
}

// next returns the summary that follows s, which has been in the store for settleTime. list has
// been applied up to s.Mark at least, since are the changes from s.Mark on, and recent are the versions
// at which streams may have begun a moment ago, as far as the writer knows.
//
// A version that is no longer listed is left out only if no entry was removed since: it may have
// been the last one of that version, a moment ago.
func (s *summary) next(list []roster.Target, since changes, recent VersionSet) *summary {
	out := &summary{Mark: since.end, Services: VersionSet{}, Incomplete: since.missing}
	for _, t := range list {
		out.Services.add(t.Service, t.Version, t.Domain)
	}
	out.Services.addAll(recent)
	out.Services.addAll(since.versions)
	if s != nil && (since.removed || since.missing) {
		out.Services.addAll(s.Services)
	}
	return out
}

func (s *summary) equal(other *summary) bool {
	return s != nil && s.Mark == other.Mark && s.Incomplete == other.Incomplete && s.Services.equal(other.Services)
}
