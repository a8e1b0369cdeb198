package broker

import (
	"time"

	"merlintiller/internal/state/roster"
)

// checkInterval is the time between two health checks of the same target.
const checkInterval = 250 * time.Millisecond

// checkSchedule decides which targets need a health check: those that may have restarted and
// could therefore handle only few requests. It is pure and not safe for concurrent use.
type checkSchedule struct {
	// pending are the targets that have not answered yet. The value is when the check of a
	// target becomes unnecessary.
	pending map[string]time.Time
	// lastCheck is when a target was last checked.
	lastCheck map[string]time.Time
	// assumedUntil is the end of the warm-up that the list of targets last assumed for a
	// target.
	assumedUntil map[string]time.Time
}

func newCheckSchedule() *checkSchedule {
	return &checkSchedule{pending: map[string]time.Time{}, lastCheck: map[string]time.Time{}, assumedUntil: map[string]time.Time{}}
}

// add schedules checks of a target until it answers, and no longer than the given time.
func (s *checkSchedule) add(id string, until time.Time) { s.pending[id] = until }

// addAssumed adds the targets for which the list newly assumes a warm-up. It reports whether
// there are any.
func (s *checkSchedule) addAssumed(now time.Time, targets map[string]roster.Target) (added bool) {
	for id, t := range targets {
		if w := t.Warming; w.Assumed && now.Before(w.Until) && !w.Until.Equal(s.assumedUntil[id]) {
			s.assumedUntil[id] = w.Until
			s.add(id, w.Until)
			added = true
		}
	}
	for id := range s.assumedUntil {
		if _, known := targets[id]; !known {
			delete(s.assumedUntil, id)
		}
	}
	return added
}

// due returns the targets to check now.
func (s *checkSchedule) due(now time.Time, targets map[string]roster.Target) (out []roster.Target) {
	for id, until := range s.pending {
		t, known := targets[id]
		switch {
		case !known || now.After(until):
			s.remove(id)
		case now.Sub(s.lastCheck[id]) >= checkInterval:
			s.lastCheck[id] = now
			out = append(out, t)
		}
	}
	return out
}

// remove removes a target that needs no further checks.
func (s *checkSchedule) remove(id string) {
	delete(s.pending, id)
	delete(s.lastCheck, id)
}
