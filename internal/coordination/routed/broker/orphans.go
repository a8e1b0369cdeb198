package broker

import (
	"time"

	"merlintiller/internal/state/roster"
)

// orphanAfter is how long an item's instance must be silent, beyond the silence that
// makes it count as silent, until the item's run is ended. One that only paused for a
// moment still takes what comes.
const orphanAfter = 500 * time.Millisecond

// Orphan is the run of a batch item that nobody reads.
type Orphan struct {
	Target roster.Target
	// Run is its id at the target.
	Run string
	// By is another target that has room for the run's memory.
	By string
}

// Orphans gives the runs of items whose instances have been silent for a while,
// each once.
//
// What goes wrong without it: a failure domain is cut off, or instances lose power.
// No connection is closed, so targets go on with the items of those instances for
// seconds, to the last event. It shows as slots that are taken by nobody while
// online requests wait.
func (b *Book) Orphans(now time.Time) (out []Orphan) {
	if b.stuck == 0 {
		return nil
	}
	for _, h := range b.holds {
		if !h.stuck || h.ending || h.Run == "" || now.Sub(h.stuckSince) < orphanAfter {
			continue
		}
		if orphan, ok := b.orphan(now, h.Target, h.Run); ok {
			h.ending = true
			out = append(out, orphan)
		}
	}
	return out
}

// orphan says how a run can be ended, if there is another target of the service.
func (b *Book) orphan(now time.Time, target, run string) (Orphan, bool) {
	at, ok := b.targets[target]
	if !ok {
		return Orphan{}, false
	}
	by, most := "", 0
	for id, t := range b.targets {
		if id == target || t.Service != at.Service {
			continue
		}
		if free := b.core.FreeAt(now, id); by == "" || free > most {
			by, most = t.Address, free
		}
	}
	return Orphan{Target: at, Run: run, By: by}, by != ""
}

// Unexplained gives the runs of a target that no hold names.
func (b *Book) Unexplained(target string, runs []string) (out []TargetRun) {
	named := map[string]bool{}
	for _, h := range b.holds {
		if h.Target == target && h.Run != "" {
			named[h.Run] = true
		}
	}
	for _, run := range runs {
		if !named[run] {
			out = append(out, TargetRun{Target: target, Run: run})
		}
	}
	return out
}

// Ended notes that a run has ended, so that its slot is free.
func (b *Book) Ended(target, run string) {
	for key, h := range b.holds {
		if h.stuck && h.Target == target && h.Run == run {
			b.release(key)
		}
	}
}
