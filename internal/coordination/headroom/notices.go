package headroom

import (
	"context"
	"sync"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// NoticeArgs tells the feeder of targets how many online calls an instance has
// in flight there.
type NoticeArgs struct {
	From   protocol.InstanceID
	Counts []TargetCount
}

// NoticeReply tells the batch items that the feeder has placed at the targets.
// Reports count them with the online calls, but they yield, so whoever decides
// on online calls takes them off.
type NoticeReply struct {
	Batch []TargetCount
}

// Endpoint is the net/rpc receiver, to be registered under ReceiverName.
type Endpoint struct {
	headroom *Headroom
}

// Endpoint returns the receiver for other instances.
func (h *Headroom) Endpoint() *Endpoint { return &Endpoint{headroom: h} }

// Notice takes in the online calls of another instance, and makes room at once.
func (e *Endpoint) Notice(args *NoticeArgs, reply *NoticeReply) error {
	h := e.headroom
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.revoke(h.core.ApplyNotice(now, args.From, args.Counts))
	reply.Batch = h.core.PlacedItems(args.Counts)
	return nil
}

// noticeTimeout bounds one notice, so that a feeder that hangs delays the others
// for a moment only.
const noticeTimeout = 50 * time.Millisecond

// noticeService tells the feeders of other targets.
type noticeService struct{ headroom *Headroom }

// String names the service for the supervisor.
func (s *noticeService) String() string { return "headroom-notices" }

// Serve implements suture.Service.
func (s *noticeService) Serve(ctx context.Context) error {
	for {
		notices, err := s.headroom.notices.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		for feeder, counts := range notices {
			s.headroom.tell(ctx, feeder, counts)
		}
	}
}

func (h *Headroom) tell(ctx context.Context, feeder protocol.InstanceID, counts []TargetCount) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	args := &NoticeArgs{From: h.Self, Counts: counts}
	stats.Add("notices", 1)
	var reply NoticeReply
	if err := h.Peers.Call(ctx, feeder, ReceiverName+".Notice", args, &reply); err != nil {
		stats.Add("notices_failed", 1)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.RecordPeerBatchItems(time.Now(), reply.Batch)
}

// PeerBatchItems is the number of batch items that another instance had at a
// target at a time, as far as it is known here.
func (h *Headroom) PeerBatchItems(target protocol.TargetID, at time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.PeerBatchItems(target, at)
}

// WrapRouter returns a router that tells of every online call it routes, so that
// batch yields before the call reaches the target.
func (h *Headroom) WrapRouter(router coordination.Router) coordination.Router {
	return &watchedRouter{headroom: h, router: router}
}

type watchedRouter struct {
	headroom *Headroom
	router   coordination.Router
}

// Pick implements coordination.Router.
func (w *watchedRouter) Pick(req coordination.PickRequest) (coordination.Pick, func(coordination.CallResult), bool) {
	pick, done, ok := w.router.Pick(req)
	if !ok || req.Batch {
		return pick, done, ok
	}
	w.headroom.onlineStarted(pick.Target)
	var once sync.Once
	return pick, func(result coordination.CallResult) {
		once.Do(func() { w.headroom.onlineEnded(pick.Target) })
		done(result)
	}, true
}

func (h *Headroom) onlineStarted(target protocol.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revoke(h.core.OnlineStarted(time.Now(), target))
}

func (h *Headroom) onlineEnded(target protocol.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.OnlineEnded(target)
}
