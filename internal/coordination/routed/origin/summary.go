package origin

import (
	"maps"
	"slices"
	"strings"

	"merlintiller/internal/state/roster"
)

// versionSet is a set of software versions, by service. The versions are sorted.
type versionSet map[string][]string

func (s versionSet) add(service, version string) {
	at, found := slices.BinarySearch(s[service], version)
	if !found {
		s[service] = slices.Insert(s[service], at, version)
	}
}

func (s versionSet) addAll(other versionSet) {
	for service, versions := range other {
		for _, version := range versions {
			s.add(service, version)
		}
	}
}

// String returns the versions for a log line.
func (s versionSet) String() string {
	var out []string
	for _, service := range slices.Sorted(maps.Keys(s)) {
		out = append(out, service+"="+strings.Join(s[service], "/"))
	}
	return strings.Join(out, ",")
}

// changes are the changes of the list of targets since an offset.
type changes struct {
	// versions are those of the entries that were written.
	versions versionSet
	// removed is set if an entry was removed.
	removed bool
	// end is the offset up to which changes were read.
	end int64
	// missing is set if the store had deleted some of them, or there were too many.
	missing bool
}

// summary says at which software versions streams may have begun, as of an offset of the list of
// targets. It is stored with CBOR.
type summary struct {
	Mark int64 `cbor:"1,keyasint"`
	// Services has the versions that were listed at Mark or within settleTime before it.
	Services versionSet `cbor:"2,keyasint,omitempty"`
	// Incomplete is set if versions may be missing, since changes were deleted before they were read.
	Incomplete bool `cbor:"3,keyasint,omitempty"`
}

// mark returns the offset up to which the list is summarised, 0 without a summary.
func (s *summary) mark() int64 {
	if s == nil {
		return 0
	}
	return s.Mark
}

// next returns the summary that follows s, which has been in the store for settleTime. list has
// been applied up to s.Mark at least, since are the changes from s.Mark on.
//
// A version that is no longer listed is left out only if no entry was removed since: it may have
// been the last one of that version, a moment ago.
func (s *summary) next(list []roster.Target, since changes) *summary {
	out := &summary{Mark: since.end, Services: versionSet{}, Incomplete: since.missing}
	for _, t := range list {
		out.Services.add(t.Service, t.Version)
	}
	out.Services.addAll(since.versions)
	if s != nil && (since.removed || since.missing) {
		out.Services.addAll(s.Services)
	}
	return out
}

func (s *summary) equal(other *summary) bool {
	return s != nil && s.Mark == other.Mark && s.Incomplete == other.Incomplete &&
		maps.EqualFunc(s.Services, other.Services, slices.Equal)
}
