package broker

import (
	"time"

	"merlintiller/internal/state/roster"
)

// orphanDelay is how long after an instance became silent the runs of its items are ended. It
// is added to the silence timeout. An instance that only paused briefly still reads the output
// of its items.
const orphanDelay = 500 * time.Millisecond

// Orphan is the run of a batch item whose output no instance reads.
type Orphan struct {
	Target roster.Target
	// Run is its ID at the target.
	Run string
	// EvacuateTo is the address of another target that has room for the run's memory.
	EvacuateTo string
}

// Orphans returns the runs of items whose instances have been silent for orphanDelay. It
// returns each run once.
//
// When a network partition isolates a failure domain, or instances lose power, no connection
// is closed. Without this, targets would continue to run the items of these instances for
// seconds, to the last event. The symptom is slots that no instance uses while online requests
// wait.
func (t *HoldTable) Orphans(now time.Time) (out []Orphan) {
	if t.pinned == 0 {
		return nil
	}
	for _, h := range t.holds {
		if !h.pinned || h.endRequested || h.Run == "" || now.Sub(h.pinnedSince) < orphanDelay {
			continue
		}
		if orphan, ok := t.orphan(now, h.Target, h.Run); ok {
			h.endRequested = true
			out = append(out, orphan)
		}
	}
	return out
}

// orphan returns how a run can be ended. It fails if the service has no other target.
func (t *HoldTable) orphan(now time.Time, target, run string) (Orphan, bool) {
	at, ok := t.targets[target]
	if !ok {
		return Orphan{}, false
	}
	evacuateTo, most := "", 0
	for id, other := range t.targets {
		if id == target || other.Service != at.Service {
			continue
		}
		if free := t.core.FreeAt(now, id); evacuateTo == "" || free > most {
			evacuateTo, most = other.Address, free
		}
	}
	return Orphan{Target: at, Run: run, EvacuateTo: evacuateTo}, evacuateTo != ""
}

// UnmatchedRuns returns the runs of a target that belong to no hold.
func (t *HoldTable) UnmatchedRuns(target string, runs []string) (out []TargetRun) {
	matched := map[string]bool{}
	for _, h := range t.holds {
		if h.Target == target && h.Run != "" {
			matched[h.Run] = true
		}
	}
	for _, run := range runs {
		if !matched[run] {
			out = append(out, TargetRun{Target: target, Run: run})
		}
	}
	return out
}

// RunEnded records that a run has ended, which frees its slot.
func (t *HoldTable) RunEnded(target, run string) {
	for key, h := range t.holds {
		if h.pinned && h.Target == target && h.Run == run {
			t.release(key)
		}
	}
}
