package quarantine

import "time"

// maxRecentParts bounds the parts of one generation of recentParts.
const maxRecentParts = 4096

// recentParts holds when parts last had a first event. It keeps at least the last maxRecentParts
// of them.
type recentParts struct {
	current, previous map[string]time.Time
}

func newRecentParts() recentParts {
	return recentParts{current: map[string]time.Time{}, previous: map[string]time.Time{}}
}

func (r *recentParts) add(part string, at time.Time) {
	if len(r.current) >= maxRecentParts {
		r.previous, r.current = r.current, map[string]time.Time{}
	}
	r.current[part] = at
}

// last returns when a part last had a first event, zero if that is not known.
func (r *recentParts) last(part string) time.Time {
	if at, known := r.current[part]; known {
		return at
	}
	return r.previous[part]
}
