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

// Source shows the targets and the instances as they are known now.
type Source interface {
	// Targets are all targets.
	Targets() []Target
	// Members are the instances with an open session, the own one included.
	Members() []Member
}

// Config wires a Headroom.
type Config struct {
	Self     protocol.InstanceID
	Source   Source
	Peers    coordination.Peers
	Settings Settings
	// OnBatchStarted tells the router of a batch call at a target; may be nil.
	OnBatchStarted func(protocol.TargetID)
	// OnBatchDone tells the router how a batch call went; may be nil.
	OnBatchDone func(protocol.TargetID, coordination.CallResult)
}

// Headroom implements coordination.BatchSlots around the pure Core.
type Headroom struct {
	Config

	mu    sync.Mutex
	core  *Core
	slots map[SlotID]*slot
	// feeders says who feeds which target.
	feeders     map[protocol.TargetID]protocol.InstanceID
	refreshedAt time.Time
	// lookedAt is used by the windowService alone.
	lookedAt time.Time
	// changed is closed when a place may have become free.
	changed chan struct{}
	notices *ring.Ring[map[protocol.InstanceID][]TargetCount]
}

// noticeCapacity bounds the ticks whose notices wait. A drop is repaired by the
// next repeat.
const noticeCapacity = 16

// New returns a Headroom without any target. Its Services must run.
func New(config Config) *Headroom {
	return &Headroom{
		Config:  config,
		core:    NewCore(config.Settings),
		slots:   map[SlotID]*slot{},
		changed: make(chan struct{}),
		notices: ring.New[map[protocol.InstanceID][]TargetCount]("headroom.notices", noticeCapacity),
	}
}

// Services are the duties, for the supervisor.
func (h *Headroom) Services() []suture.Service {
	return []suture.Service{&windowService{headroom: h}, &noticeService{headroom: h}}
}

// Acquire implements coordination.BatchSlots.
func (h *Headroom) Acquire(ctx context.Context, service protocol.ServiceName) (coordination.BatchSlot, error) {
	for {
		s, changed := h.tryAcquire(service)
		if s != nil {
			return s, nil
		}
		if err := h.awaitRoom(ctx, service, changed); err != nil {
			return nil, fmt.Errorf("waiting for a batch slot of %s: %w", service, err)
		}
	}
}

// noRoomWait bounds the wait for room, which shows as a change.
const noRoomWait = time.Second

// awaitRoom waits until a place may have become free, or until a target with
// room has read the prompts it was sent.
func (h *Headroom) awaitRoom(ctx context.Context, service protocol.ServiceName, changed <-chan struct{}) error {
	h.mu.Lock()
	wait, hasRoom := h.core.NextStart(time.Now(), service)
	h.mu.Unlock()
	if !hasRoom {
		wait = noRoomWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Headroom) tryAcquire(service protocol.ServiceName) (*slot, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, target, ok := h.core.Place(time.Now(), service)
	if !ok {
		return nil, h.changed
	}
	s := &slot{
		headroom: h,
		id:       id,
		pick:     coordination.Pick{Target: target.ID, Address: target.Address, Domain: target.Domain},
		revoked:  make(chan struct{}),
	}
	h.slots[id] = s
	stats.Add("placed", 1)
	if h.OnBatchStarted != nil {
		h.OnBatchStarted(target.ID)
	}
	return s, nil
}

// Places is how many batch items of a service fit at this instance now, placed
// ones included.
func (h *Headroom) Places(service protocol.ServiceName) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Places(service)
}

// revoke tells the holders. The caller holds the lock.
func (h *Headroom) revoke(ids []SlotID) {
	for _, id := range ids {
		if s, ok := h.slots[id]; ok {
			close(s.revoked)
			delete(h.slots, id)
			stats.Add("revoked", 1)
		}
	}
}

// tick returns the notices to send, and looks at the targets when it is time.
func (h *Headroom) tick(now time.Time) map[protocol.InstanceID][]TargetCount {
	if now.Sub(h.lookedAt) >= h.Settings.PollInterval {
		h.lookedAt = now
		h.look(now)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.DueNotices(now, h.feeders, h.Self)
}

// look follows the targets and who feeds them.
func (h *Headroom) look(now time.Time) {
	targets := h.Source.Targets()
	members := h.Source.Members()
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.refreshedAt) >= h.Settings.Refresh {
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
	h.wake()
}

// wake lets waiting batch items look again. The caller holds the lock.
func (h *Headroom) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
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
	h.core.FirstByte(s.pick.Target, result.FirstByte)
	delete(h.slots, s.id)
	h.wake()
	h.mu.Unlock()
	if h.OnBatchDone != nil {
		h.OnBatchDone(s.pick.Target, result)
	}
}

// windowService follows the load at a steady pace.
type windowService struct{ headroom *Headroom }

// String names the service for the supervisor.
func (s *windowService) String() string { return "headroom-windows" }

// Serve implements suture.Service.
func (s *windowService) Serve(ctx context.Context) error {
	return wait.AtOnceAndEvery(ctx, s.headroom.Settings.NoticeInterval, func() {
		s.headroom.notices.Offer(s.headroom.tick(time.Now()))
	})
}
