package pace

import "time"

const (
	// lineInterval is the least time between two log lines about the same target.
	lineInterval = time.Minute
	// maxLineTargets bounds the targets that a LineLimit keeps. Their ids come from the list of
	// targets, which has hundreds.
	maxLineTargets = 4096
)

// LineLimit limits the log lines about each target to one a minute. It is not safe for concurrent
// use.
type LineLimit struct{ targets map[string]*lineState }

type lineState struct {
	loggedAt time.Time
	// omitted is the number of lines omitted since then.
	omitted int
}

// NewLineLimit returns a limit without targets.
func NewLineLimit() *LineLimit { return &LineLimit{targets: map[string]*lineState{}} }

// Allow reports whether a line about a target may be written now, and how many lines were omitted
// since the last one.
func (l *LineLimit) Allow(now time.Time, id string) (omitted int, ok bool) {
	state := l.targets[id]
	switch {
	case state == nil && len(l.targets) >= maxLineTargets && !l.evict(now):
		return 0, false
	case state == nil:
		l.targets[id] = &lineState{loggedAt: now}
		return 0, true
	case now.Sub(state.loggedAt) < lineInterval:
		state.omitted++
		return 0, false
	}
	omitted = state.omitted
	*state = lineState{loggedAt: now}
	return omitted, true
}

// evict removes the targets without a recent line, and reports whether there were any.
func (l *LineLimit) evict(now time.Time) bool {
	evicted := false
	for id, state := range l.targets {
		if now.Sub(state.loggedAt) >= lineInterval {
			delete(l.targets, id)
			evicted = true
		}
	}
	return evicted
}
