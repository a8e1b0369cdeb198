package placement

import "time"

// Result is the outcome of an exchange with a target.
type Result int

const (
	// Served: the target answered, with any status.
	Served Result = iota
	// Full: the target rejected the request because it has no free slot.
	Full
	// Replaced: another target now uses the address.
	Replaced
	// Unreachable: no connection could be established.
	Unreachable
	// Broken: the connection ended before the answer was complete.
	Broken
	// TimedOut: the target did not continue in time, and the exchange was ended.
	TimedOut
	// Cancelled: this instance ended the exchange for a reason unrelated to the target.
	Cancelled
)

// Failure reports whether the target did not answer, or not completely.
func (r Result) Failure() bool { return r == Unreachable || r == Broken || r == TimedOut }

// fullTTL is how long a target that rejected a request counts as full: roughly the time
// until one of its slots becomes free.
const fullTTL = 90 * time.Millisecond

// Done ends the exchange of a choice.
func (c *Core) Done(now time.Time, choice Choice, result Result) {
	t := c.targets[choice.ID]
	if t == nil {
		return
	}
	if t.sameIncarnation(choice) {
		t.release(choice.batch)
	}
	switch result {
	case Served:
		t.health.succeeded()
	case Full:
		t.unaccounted = max(0, t.slots-t.busy(now))
		t.unaccountedUntil = now.Add(fullTTL)
	case Replaced:
		c.MarkReplaced(IncarnationOf(choice.Target))
	case Unreachable:
		t.health.failed(now, avoidanceThreshold)
	case Broken:
		t.health.failed(now, 1)
	case TimedOut:
		t.health.failed(now, avoidanceThreshold)
	case Cancelled:
	}
	if !t.listed && t.online+t.batch == 0 {
		c.remove(choice.ID)
	}
}

// sameIncarnation reports whether a choice was made for this incarnation of the target.
func (t *target) sameIncarnation(choice Choice) bool {
	return choice.Started == t.Started && choice.Address == t.Address
}

func (t *target) acquire(batch bool) {
	if batch {
		t.batch++
	} else {
		t.online++
	}
}

func (t *target) release(batch bool) {
	if batch {
		t.batch = max(0, t.batch-1)
	} else {
		t.online = max(0, t.online-1)
	}
}

// recentData bounds the age of the last data from a target below which an exchange that
// waits is assumed to be queued there. It covers several events of one request.
const recentData = 120 * time.Millisecond

// DataReceived records that data arrived from a target.
func (c *Core) DataReceived(now time.Time, id string) {
	if t := c.targets[id]; t != nil {
		t.lastData = now
	}
}

// DataAt returns when data last arrived from a target, zero if none has.
func (c *Core) DataAt(id string) time.Time {
	if t := c.targets[id]; t != nil {
		return t.lastData
	}
	return time.Time{}
}

// MarkStalled records that an exchange is waiting longer than it should. The target is
// avoided until ClearStalled is called. It returns false, and records nothing, if data
// arrived from the target within recentData: the target is then only busy.
func (c *Core) MarkStalled(now time.Time, choice Choice) bool {
	t := c.targets[choice.ID]
	if t == nil || now.Sub(t.lastData) < recentData {
		return false
	}
	t.health.stalled++
	return true
}

// ClearStalled records that a stalled exchange continued or ended.
func (c *Core) ClearStalled(choice Choice) {
	if t := c.targets[choice.ID]; t != nil {
		t.health.stalled = max(0, t.health.stalled-1)
	}
}
