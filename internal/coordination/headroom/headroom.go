package headroom

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/ring"
	"merlintiller/internal/wait"
)

var stats = expvar.NewMap("headroom")

// ReceiverName is the name under which the Endpoint is registered with net/rpc.
const ReceiverName = "Headroom"

// Source provides the currently known targets and instances.
type Source interface {
	// Targets returns all targets.
	Targets() []Target
	// Members returns the instances with an open session, including this one.
	Members() []Member
}

// Config holds the dependencies and settings of a Headroom.
type Config struct {
	Self     protocol.InstanceID
	Source   Source
	Peers    coordination.Peers
	Settings Settings
	// OnBatchStarted is called when a batch call is placed at a target, so that
	// the router counts it. May be nil.
	OnBatchStarted func(protocol.TargetID)
	// OnBatchDone is called with the result of a batch call, for the router. May
	// be nil.
	OnBatchDone func(protocol.TargetID, coordination.CallResult)
}

// Headroom implements coordination.BatchSlots. It adds a lock, the system clock
// and the calls between instances to a Core.
type Headroom struct {
	Config

	mu    sync.Mutex
	core  *Core
	slots map[SlotID]*slot
	// feeders maps each target to the instance that feeds it. It was last
	// updated at refreshedAt.
	feeders     map[protocol.TargetID]protocol.InstanceID
	refreshedAt time.Time
	// polledAt is when the targets were last polled. Only windowService uses it.
	polledAt time.Time
	// slotFreed is closed and replaced when a slot may have become free.
	slotFreed chan struct{}
	// notices holds the notices to send, one entry for each tick.
	notices *ring.Ring[map[protocol.InstanceID][]TargetCount]
}

// noticeRingCapacity is the maximum number of ticks whose notices are queued. If
// the ring is full, notices are dropped, and the next repetition replaces them.
const noticeRingCapacity = 16

// New returns a Headroom without any targets. The caller must run its Services.
func New(config Config) *Headroom {
	return &Headroom{
		Config:    config,
		core:      NewCore(config.Settings),
		slots:     map[SlotID]*slot{},
		slotFreed: make(chan struct{}),
		notices:   ring.New[map[protocol.InstanceID][]TargetCount]("headroom.notices", noticeRingCapacity),
	}
}

// Services returns the background services, for the supervisor.
func (h *Headroom) Services() []suture.Service {
	return []suture.Service{&windowService{headroom: h}, &noticeService{headroom: h}}
}

// Acquire implements coordination.BatchSlots.
func (h *Headroom) Acquire(ctx context.Context, service protocol.ServiceName) (coordination.BatchSlot, error) {
	for {
		s, slotFreed := h.tryAcquire(service)
		if s != nil {
			return s, nil
		}
		if err := h.waitForSlot(ctx, service, slotFreed); err != nil {
			return nil, fmt.Errorf("waiting for a batch slot of %s: %w", service, err)
		}
	}
}

// maxSlotWait is the maximum time that waitForSlot waits while no target has a
// free slot. Usually slotFreed ends the wait earlier.
const maxSlotWait = time.Second

// waitForSlot waits until a slot may have become free, or until a target with a
// free slot has finished the prefill of the prompts sent to it.
func (h *Headroom) waitForSlot(ctx context.Context, service protocol.ServiceName, slotFreed <-chan struct{}) error {
	h.mu.Lock()
	wait, hasSlot := h.core.NextStart(time.Now(), service)
	h.mu.Unlock()
	if !hasSlot {
		wait = maxSlotWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-slotFreed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryAcquire takes a slot at a target of the service. If there is none, it
// returns nil and the channel that is closed when a slot may have become free.
func (h *Headroom) tryAcquire(service protocol.ServiceName) (*slot, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, target, ok := h.core.Place(time.Now(), service)
	if !ok {
		return nil, h.slotFreed
	}
	s := &slot{
		headroom: h,
		id:       id,
		pick:     coordination.Pick{Target: target.ID, Address: target.Address, Domain: target.Domain, Version: target.Version},
		revoked:  make(chan struct{}),
	}
	h.slots[id] = s
	stats.Add("placed", 1)
	if h.OnBatchStarted != nil {
		h.OnBatchStarted(target.ID)
	}
	return s, nil
}

// Capacity implements coordination.BatchSlots.
func (h *Headroom) Capacity(service protocol.ServiceName) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Places(service)
}

// revoke closes the Revoked channels of the slots. The caller holds mu.
func (h *Headroom) revoke(ids []SlotID) {
	for _, id := range ids {
		if s, ok := h.slots[id]; ok {
			close(s.revoked)
			delete(h.slots, id)
			stats.Add("revoked", 1)
		}
	}
}

// tick polls the targets if PollInterval has passed, and returns the notices to
// send.
func (h *Headroom) tick(now time.Time) map[protocol.InstanceID][]TargetCount {
	if now.Sub(h.polledAt) >= h.Settings.PollInterval {
		h.polledAt = now
		h.pollTargets(now)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.DueNotices(now, h.feeders, h.Self)
}

// pollTargets updates the windows of the targets that this instance feeds. It
// also updates the feeders if FeederRefreshInterval has passed.
func (h *Headroom) pollTargets(now time.Time) {
	targets := h.Source.Targets()
	members := h.Source.Members()
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.refreshedAt) >= h.Settings.FeederRefreshInterval {
		h.refreshedAt = now
		h.feeders = Feeders(targets, members)
		h.core.SyncTargets(targets)
	}
	fed := targets[:0:0]
	for _, t := range targets {
		if h.feeders[t.ID] == h.Self {
			fed = append(fed, t)
		}
	}
	h.revoke(h.core.Observe(now, fed))
	h.wakeWaiters()
}

// wakeWaiters makes waiting callers of Acquire try again. The caller holds mu.
func (h *Headroom) wakeWaiters() {
	close(h.slotFreed)
	h.slotFreed = make(chan struct{})
}

// slot implements coordination.BatchSlot.
type slot struct {
	headroom *Headroom
	id       SlotID
	pick     coordination.Pick
	revoked  chan struct{}
	once     sync.Once
}

// Pick implements coordination.BatchSlot.
func (s *slot) Pick() coordination.Pick { return s.pick }

// Revoked implements coordination.BatchSlot.
func (s *slot) Revoked() <-chan struct{} { return s.revoked }

// Release implements coordination.BatchSlot.
func (s *slot) Release(result coordination.CallResult) {
	s.once.Do(func() { s.headroom.release(s, result) })
}

func (h *Headroom) release(s *slot, result coordination.CallResult) {
	h.mu.Lock()
	h.core.Release(time.Now(), s.id)
	h.core.RecordFirstByte(s.pick.Target, result.FirstByte)
	delete(h.slots, s.id)
	h.wakeWaiters()
	h.mu.Unlock()
	if h.OnBatchDone != nil {
		h.OnBatchDone(s.pick.Target, result)
	}
}

// windowService updates the windows and queues the notices once per tick.
type windowService struct{ headroom *Headroom }

// String returns the service's name for the supervisor.
func (s *windowService) String() string { return "headroom-windows" }

// Serve implements suture.Service.
func (s *windowService) Serve(ctx context.Context) error {
	return wait.AtOnceAndEvery(ctx, s.headroom.Settings.NoticeInterval, func() {
		s.headroom.notices.Offer(s.headroom.tick(time.Now()))
	})
}
