package headroom

import (
	"math"
	"time"

	"merlintiller/internal/protocol"
)

// Target is the current state of a target as seen by this instance.
type Target struct {
	ID      protocol.TargetID
	Service protocol.ServiceName
	Domain  protocol.Domain
	Address string
	// Version is the version of the target's software.
	Version string
	// Slots is the number of concurrent streams that the target serves well.
	Slots int
	// Usable is false if the target is leaving, dead or ejected.
	Usable bool
	// Reported is the number of online and batch streams of all instances in
	// the target's last report. ReportedAt is the time for which the report is
	// valid.
	Reported   int
	ReportedAt time.Time
}

// SlotID identifies a batch slot.
type SlotID uint64

// placedItem is a batch item that this instance placed at a target.
type placedItem struct {
	id       SlotID
	placedAt time.Time
}

// window is the batch window of a target that this instance feeds: the limit on
// its batch items, and the load that determines the limit.
type window struct {
	target Target
	// online is the number of known online calls in flight: those of this
	// instance and those of instances that send notices.
	online int
	// size is the maximum number of batch items.
	size float64
	// items are the placed items, oldest first.
	items          []placedItem
	lastBatchStart time.Time
	// lastOnlineStart is when the last known online call started.
	lastOnlineStart time.Time
	// prefillMean is the moving mean of the time that the target needs for the
	// prefill of a batch prompt. It is 0 until the first measurement.
	prefillMean time.Duration
	// grownAt is when the window last grew, and shrunkAt when items were last
	// revoked because it shrank.
	grownAt  time.Time
	shrunkAt time.Time
	// knownLoad is the history of the number of online calls and batch items
	// that this instance knows of.
	knownLoad history
	// unknownLoad is the number of streams in the last report beyond the known
	// load. They are calls of instances whose notices do not arrive, or batch
	// items of a second feeder.
	unknownLoad int
	reportedAt  time.Time
}

// Core decides the sizes of the batch windows of the targets that this instance
// feeds. It has no clock, no I/O and no goroutines, and is not safe for
// concurrent use.
type Core struct {
	settings Settings
	// windows holds a window for each target that this instance feeds.
	windows map[protocol.TargetID]*window
	// slotTargets maps each slot in use to its target.
	slotTargets     map[SlotID]protocol.TargetID
	nextID          SlotID
	trafficByTarget map[protocol.TargetID]*traffic
	noticeQueue     *noticeQueue
}

// NewCore returns a core without any targets.
func NewCore(settings Settings) *Core {
	return &Core{
		settings:        settings,
		windows:         map[protocol.TargetID]*window{},
		slotTargets:     map[SlotID]protocol.TargetID{},
		trafficByTarget: map[protocol.TargetID]*traffic{},
		noticeQueue:     newNoticeQueue(settings),
	}
}

// Observe updates the windows from the current state of the targets that this
// instance feeds. It returns the slots to revoke, newest first for each target.
// All slots of a target that is no longer fed by this instance, or that is not
// usable, are revoked.
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
		revoked = append(revoked, c.updateWindow(now, w)...)
	}
	for id, w := range c.windows {
		if seen[id] {
			continue
		}
		w.target.Usable = false
		revoked = append(revoked, c.updateWindow(now, w)...)
		if len(w.items) == 0 {
			delete(c.windows, id)
		}
	}
	return revoked
}

// updateTargetWindow updates the window of a target, if this instance feeds it,
// and returns the slots to revoke.
func (c *Core) updateTargetWindow(now time.Time, id protocol.TargetID) []SlotID {
	w, ok := c.windows[id]
	if !ok {
		return nil
	}
	return c.updateWindow(now, w)
}

// updateWindow adapts the size of a window to the online load and returns the
// slots to revoke.
func (c *Core) updateWindow(now time.Time, w *window) []SlotID {
	w.online = c.trafficOf(w.target.ID).onlineCalls(now, c.settings.NoticeMaxAge)
	w.updateUnknownLoad(now, c.settings)
	w.recordKnownLoad(now)
	free := w.freeSlots()
	if free < w.size {
		w.size = free
	} else {
		c.grow(now, w, free)
	}
	return c.revokeExcess(now, w)
}

// freeSlots returns the number of slots that are free apart from this instance's
// batch items. It is 0 if the target is not usable.
func (w *window) freeSlots() float64 {
	if !w.target.Usable {
		return 0
	}
	return float64(max(0, w.target.Slots-w.online-w.unknownLoad))
}

// grow increases the size of a window by at most one step, up to the free slots
// less the spare ones.
func (c *Core) grow(now time.Time, w *window, free float64) {
	if now.Sub(w.shrunkAt) < c.settings.GrowPause || now.Sub(w.grownAt) < c.settings.GrowInterval {
		return
	}
	spare := math.Ceil(c.settings.SpareShare * float64(w.target.Slots))
	step := math.Max(1, math.Floor(c.settings.GrowStep*float64(w.target.Slots)))
	if limit := free - spare; limit > w.size {
		w.size = min(limit, w.size+step)
		w.grownAt = now
	}
}

// revokeExcess revokes the newest items until the rest fit into the window.
func (c *Core) revokeExcess(now time.Time, w *window) []SlotID {
	var revoked []SlotID
	for len(w.items) > int(w.size) {
		revoked = append(revoked, c.revokeNewest(w))
		w.shrunkAt = now
	}
	return revoked
}

func (c *Core) revokeNewest(w *window) SlotID {
	last := len(w.items) - 1
	id := w.items[last].id
	delete(c.slotTargets, id)
	w.items = w.items[:last]
	return id
}

// revokePrefilling revokes the items whose prompts are probably still in prefill
// at the target. The target processes prompts in the order of their arrival, so
// an online call would wait behind them for its first token. The revoked items
// lose no output, because they have generated none yet.
func (c *Core) revokePrefilling(now time.Time, w *window) []SlotID {
	var revoked []SlotID
	for n := len(w.items); n > 0 && now.Sub(w.items[n-1].placedAt) < w.prefillEstimate(c.settings.PrefillTime); n-- {
		revoked = append(revoked, c.revokeNewest(w))
	}
	return revoked
}

// onlineStarted records that online calls started at a target and returns the
// slots to revoke for them.
func (c *Core) onlineStarted(now time.Time, id protocol.TargetID) []SlotID {
	w, ok := c.windows[id]
	if !ok {
		return nil
	}
	w.lastOnlineStart = now
	return append(c.revokePrefilling(now, w), c.updateWindow(now, w)...)
}

// updateUnknownLoad sets the unknown load from a new report. It is the reported
// load less the known load at the time for which the report is valid.
func (w *window) updateUnknownLoad(now time.Time, settings Settings) {
	t := &w.target
	if t.ReportedAt.IsZero() || !t.ReportedAt.After(w.reportedAt) || now.Sub(t.ReportedAt) > settings.ReportMaxAge {
		return
	}
	w.reportedAt = t.ReportedAt
	w.unknownLoad = max(0, t.Reported-w.knownLoad.countAt(t.ReportedAt))
}

// recordKnownLoad adds the current known load to its history.
func (w *window) recordKnownLoad(now time.Time) {
	w.knownLoad.record(now, w.online+len(w.items))
}

// Place takes a batch slot at the target of the service whose window has the
// most free slots. Targets that probably still process a prompt are skipped. ok
// is false if no target has a slot.
func (c *Core) Place(now time.Time, service protocol.ServiceName) (id SlotID, target Target, ok bool) {
	var best *window
	bestFree := 0.0
	for _, w := range c.windows {
		if w.target.Service != service || !w.target.Usable {
			continue
		}
		free := math.Floor(w.size) - float64(len(w.items))
		if w.isPrefilling(now, c.settings) {
			continue
		}
		if free < 1 || free < bestFree || (free == bestFree && best != nil && w.target.ID > best.target.ID) {
			continue
		}
		best, bestFree = w, free
	}
	if best == nil {
		return 0, Target{}, false
	}
	c.nextID++
	best.items = append(best.items, placedItem{id: c.nextID, placedAt: now})
	best.lastBatchStart = now
	c.slotTargets[c.nextID] = best.target.ID
	best.recordKnownLoad(now)
	return c.nextID, best.target, true
}

// isPrefilling reports whether a prompt is probably still in prefill at the
// target.
func (w *window) isPrefilling(now time.Time, settings Settings) bool {
	return w.prefilledAt(settings).After(now)
}

// prefilledAt returns the time at which the target has probably finished the
// prefill of the prompts sent to it.
func (w *window) prefilledAt(settings Settings) time.Time {
	afterBatch := w.lastBatchStart.Add(w.prefillEstimate(settings.BatchStartGap))
	afterOnline := w.lastOnlineStart.Add(w.prefillEstimate(settings.OnlineStartGap))
	if afterBatch.After(afterOnline) {
		return afterBatch
	}
	return afterOnline
}

// NextStart returns the time until a batch item may start at a target of the
// service with a free slot. ok is false if no target has a free slot.
func (c *Core) NextStart(now time.Time, service protocol.ServiceName) (wait time.Duration, ok bool) {
	for _, w := range c.windows {
		hasSlot := math.Floor(w.size)-float64(len(w.items)) >= 1
		if w.target.Service != service || !w.target.Usable || !hasSlot {
			continue
		}
		remaining := max(0, w.prefilledAt(c.settings).Sub(now))
		if !ok || remaining < wait {
			wait, ok = remaining, true
		}
	}
	return wait, ok
}

// Release frees a slot. It does nothing if the slot was already freed or
// revoked.
func (c *Core) Release(now time.Time, id SlotID) {
	target, ok := c.slotTargets[id]
	if !ok {
		return
	}
	delete(c.slotTargets, id)
	w := c.windows[target]
	for i := range w.items {
		if w.items[i].id == id {
			w.items = append(w.items[:i], w.items[i+1:]...)
			break
		}
	}
	w.recordKnownLoad(now)
}

// Places returns the number of batch slots that this instance has for a service,
// including those in use. It limits how much batch work the instance should
// claim.
func (c *Core) Places(service protocol.ServiceName) int {
	sum := 0
	for _, w := range c.windows {
		if w.target.Service == service {
			sum += int(w.size)
		}
	}
	return sum
}
