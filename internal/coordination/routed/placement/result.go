package placement

import "time"

// Result is how an exchange with a target ended.
type Result int

const (
	// Served: the target answered, whatever the answer was.
	Served Result = iota
	// Full: the target refused the request because it has no place.
	Full
	// Replaced: another target has the address by now.
	Replaced
	// Unreachable: no connection came about.
	Unreachable
	// Broken: the connection ended before the whole answer was there.
	Broken
	// TimedOut: the target did not go on in time, and was left.
	TimedOut
	// Cancelled: the exchange was ended from this side for a reason that says
	// nothing about the target.
	Cancelled
)

// Failure says that the target did not answer, or not to the end.
func (r Result) Failure() bool { return r == Unreachable || r == Broken || r == TimedOut }

// fullFor is how long a target that refused counts as full: about the time until one
// of its slots comes free.
const fullFor = 90 * time.Millisecond

// Done ends the exchange of a choice.
func (c *Core) Done(now time.Time, choice Choice, result Result) {
	t := c.targets[choice.ID]
	if t == nil {
		return
	}
	if t.same(choice) {
		t.release(choice.batch)
	}
	switch result {
	case Served:
		t.health.good()
	case Full:
		t.unseen = max(0, t.slots-t.busy(now))
		t.unseenUntil = now.Add(fullFor)
	case Replaced:
		t.listed = false
		t.health.bad(now, strikesToAvoid)
	case Unreachable:
		t.health.bad(now, strikesToAvoid)
	case Broken:
		t.health.bad(now, 1)
	case TimedOut:
		t.health.bad(now, strikesToAvoid)
	case Cancelled:
	}
	if !t.listed && t.online+t.batch == 0 {
		c.remove(choice.ID)
	}
}

// same says that a choice was made in this life of the target.
func (t *target) same(choice Choice) bool {
	return choice.Started == t.Started && choice.Address == t.Address
}

func (t *target) take(batch bool) {
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

// heardLately is how short ago a target must have been heard for an exchange that
// waits to be thought to stand in a queue: several events of one request.
const heardLately = 120 * time.Millisecond

// Heard notes that something came from a target.
func (c *Core) Heard(now time.Time, id string) {
	if t := c.targets[id]; t != nil {
		t.heard = now
	}
}

// Waiting notes that an exchange waits longer than it should, unless the target
// was heard a moment ago: then it is only busy. GoesOn notes that it went on or
// ended. Meanwhile the target is avoided.
func (c *Core) Waiting(now time.Time, choice Choice) bool {
	t := c.targets[choice.ID]
	if t == nil || now.Sub(t.heard) < heardLately {
		return false
	}
	t.health.waiting++
	return true
}

// GoesOn takes a note of Waiting back.
func (c *Core) GoesOn(choice Choice) {
	if t := c.targets[choice.ID]; t != nil {
		t.health.waiting = max(0, t.health.waiting-1)
	}
}
