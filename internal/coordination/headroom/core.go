package headroom

import (
	"math"
	"time"

	"merlintiller/internal/protocol"
)

// Target is a target as the instance sees it now.
type Target struct {
	ID      protocol.TargetID
	Service protocol.ServiceName
	Domain  protocol.Domain
	Address string
	// Slots is the number of streams it runs well at the same time.
	Slots int
	// Usable is false for a leaving, dead or ejected target.
	Usable bool
	// Reported is the number of streams in the target's last report, from all
	// instances and of all kinds, and ReportedAt the time it stood for.
	Reported   int
	ReportedAt time.Time
}

// SlotID names a batch slot.
type SlotID uint64

// placed is a batch item at a target.
type placed struct {
	id SlotID
	at time.Time
}

// window is the state of one fed target.
type window struct {
	target Target
	// online is the number of online calls in flight that are known of at
	// once: own ones, and those of instances that send notices.
	online int
	// size is how many batch items may be placed now.
	size float64
	// slots are the placed items, oldest first.
	slots    []placed
	placedAt time.Time
	// startedAt is when the last known online call started.
	startedAt time.Time
	// reading is the mean time in which the target reads a batch prompt, 0 if
	// no item has shown it.
	reading  time.Duration
	grownAt  time.Time
	shrunkAt time.Time
	known    history
	// others is the load beyond the known one by the last report: instances
	// that can't send notices, and batch items of a second feeder.
	others     int
	reportedAt time.Time
}

// Core decides the batch windows of the targets that one instance feeds. It has
// no clock, no I/O and no goroutine, and is not safe for concurrent use.
type Core struct {
	settings Settings
	windows  map[protocol.TargetID]*window
	owners   map[SlotID]protocol.TargetID
	nextID   SlotID
	traffics map[protocol.TargetID]*traffic
	outbox   *outbox
}

// NewCore returns the state without any target.
func NewCore(settings Settings) *Core {
	return &Core{
		settings: settings,
		windows:  map[protocol.TargetID]*window{},
		owners:   map[SlotID]protocol.TargetID{},
		traffics: map[protocol.TargetID]*traffic{},
		outbox:   newOutbox(settings),
	}
}

// Observe takes in what is known of the fed targets and returns the slots to
// revoke, newest first. A target that is no longer fed, or not usable, loses
// all its slots.
func (c *Core) Observe(now time.Time, fed []Target) []SlotID {
	var revoked []SlotID
	seen := make(map[protocol.TargetID]bool, len(fed))
	for _, t := range fed {
		seen[t.ID] = true
		w, ok := c.windows[t.ID]
		if !ok {
			w = &window{grownAt: now}
			c.windows[t.ID] = w
		}
		w.target = t
		revoked = append(revoked, c.follow(now, w)...)
	}
	for id, w := range c.windows {
		if seen[id] {
			continue
		}
		w.target.Usable = false
		revoked = append(revoked, c.follow(now, w)...)
		if len(w.slots) == 0 {
			delete(c.windows, id)
		}
	}
	return revoked
}

// followTarget brings the window of one target to the load.
func (c *Core) followTarget(now time.Time, id protocol.TargetID) []SlotID {
	w, ok := c.windows[id]
	if !ok {
		return nil
	}
	return c.follow(now, w)
}

// follow brings a window to the load and returns the slots to revoke.
func (c *Core) follow(now time.Time, w *window) []SlotID {
	w.online = c.traffic(w.target.ID).sum(now, c.settings.NoticeLife)
	w.learn(now, c.settings)
	w.remember(now)
	room := w.room()
	if room < w.size {
		w.size = room
	} else {
		c.grow(now, w, room)
	}
	return c.revoke(now, w)
}

// room is what online traffic leaves free.
func (w *window) room() float64 {
	if !w.target.Usable {
		return 0
	}
	return float64(max(0, w.target.Slots-w.online-w.others))
}

// grow widens a window step by step, and leaves some slots free.
func (c *Core) grow(now time.Time, w *window, room float64) {
	if now.Sub(w.shrunkAt) < c.settings.CalmAfter || now.Sub(w.grownAt) < c.settings.GrowEvery {
		return
	}
	spare := math.Ceil(c.settings.SpareShare * float64(w.target.Slots))
	step := math.Max(1, math.Floor(c.settings.GrowStep*float64(w.target.Slots)))
	if aim := room - spare; aim > w.size {
		w.size = min(aim, w.size+step)
		w.grownAt = now
	}
}

// revoke takes back what the window does not hold any more, newest first.
func (c *Core) revoke(now time.Time, w *window) []SlotID {
	var revoked []SlotID
	for len(w.slots) > int(w.size) {
		revoked = append(revoked, c.revokeNewest(w))
		w.shrunkAt = now
	}
	return revoked
}

func (c *Core) revokeNewest(w *window) SlotID {
	last := len(w.slots) - 1
	id := w.slots[last].id
	delete(c.owners, id)
	w.slots = w.slots[:last]
	return id
}

// revokeYoung takes back the items that the target probably still reads the
// prompt of. Prompts share the processor in the order they come, so an online
// call would wait for its first token behind them. An item that was taken back
// so has made nothing yet.
func (c *Core) revokeYoung(now time.Time, w *window) []SlotID {
	var revoked []SlotID
	for n := len(w.slots); n > 0 && now.Sub(w.slots[n-1].at) < w.reads(c.settings.Young); n-- {
		revoked = append(revoked, c.revokeNewest(w))
	}
	return revoked
}

// started notes that online calls started at a target and makes room for them.
func (c *Core) started(now time.Time, id protocol.TargetID) []SlotID {
	w, ok := c.windows[id]
	if !ok {
		return nil
	}
	w.startedAt = now
	return append(c.revokeYoung(now, w), c.follow(now, w)...)
}

// learn takes the others' load out of a new report: what it counts beyond the
// known load at the time it stood for.
func (w *window) learn(now time.Time, settings Settings) {
	t := &w.target
	if t.ReportedAt.IsZero() || !t.ReportedAt.After(w.reportedAt) || now.Sub(t.ReportedAt) > settings.ReportMaxAge {
		return
	}
	w.reportedAt = t.ReportedAt
	w.others = max(0, t.Reported-w.known.at(t.ReportedAt))
}

// remember notes the known load.
func (w *window) remember(now time.Time) {
	w.known.note(now, w.online+len(w.slots))
}

// Place gives a batch slot at the target of the service with the most room. ok
// is false if there is none.
func (c *Core) Place(now time.Time, service protocol.ServiceName) (id SlotID, target Target, ok bool) {
	var best *window
	bestRoom := 0.0
	for _, w := range c.windows {
		if w.target.Service != service || !w.target.Usable {
			continue
		}
		room := math.Floor(w.size) - float64(len(w.slots))
		if w.startsTooSoon(now, c.settings) {
			continue
		}
		if room < 1 || room < bestRoom || (room == bestRoom && best != nil && w.target.ID > best.target.ID) {
			continue
		}
		best, bestRoom = w, room
	}
	if best == nil {
		return 0, Target{}, false
	}
	c.nextID++
	best.slots = append(best.slots, placed{id: c.nextID, at: now})
	best.placedAt = now
	c.owners[c.nextID] = best.target.ID
	best.remember(now)
	return c.nextID, best.target, true
}

// startsTooSoon reports whether the target probably reads a prompt now.
func (w *window) startsTooSoon(now time.Time, settings Settings) bool {
	return w.startableAt(settings).After(now)
}

// startableAt is when the target has probably read the prompts it was sent.
func (w *window) startableAt(settings Settings) time.Time {
	afterBatch := w.placedAt.Add(w.reads(settings.StartGap))
	afterOnline := w.startedAt.Add(w.reads(settings.QuietBefore))
	if afterBatch.After(afterOnline) {
		return afterBatch
	}
	return afterOnline
}

// NextStart is the time until a target of the service that has room may start
// a batch item; ok is false if none has room.
func (c *Core) NextStart(now time.Time, service protocol.ServiceName) (wait time.Duration, ok bool) {
	for _, w := range c.windows {
		hasRoom := math.Floor(w.size)-float64(len(w.slots)) >= 1
		if w.target.Service != service || !w.target.Usable || !hasRoom {
			continue
		}
		left := max(0, w.startableAt(c.settings).Sub(now))
		if !ok || left < wait {
			wait, ok = left, true
		}
	}
	return wait, ok
}

// Release gives a slot back. It is idempotent.
func (c *Core) Release(now time.Time, id SlotID) {
	target, ok := c.owners[id]
	if !ok {
		return
	}
	delete(c.owners, id)
	w := c.windows[target]
	for i := range w.slots {
		if w.slots[i].id == id {
			w.slots = append(w.slots[:i], w.slots[i+1:]...)
			break
		}
	}
	w.remember(now)
}

// Places is the number of batch items of a service that fit at this instance
// now, placed ones included: how much work is worth claiming.
func (c *Core) Places(service protocol.ServiceName) int {
	sum := 0
	for _, w := range c.windows {
		if w.target.Service == service {
			sum += int(w.size)
		}
	}
	return sum
}
