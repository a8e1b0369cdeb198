package headroom

import (
	"context"
	"sync"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// NoticeArgs reports the number of online calls that an instance has in flight at
// targets. It is sent to the feeder of the targets.
type NoticeArgs struct {
	// From is the instance that sends the notice.
	From protocol.InstanceID
	// Counts holds the number of online calls of From by target.
	Counts []TargetCount
}

// NoticeReply reports the number of batch items that the feeder has at the
// targets. Load reports include batch items, but batch items yield to online
// calls, so the router of the sender subtracts them.
type NoticeReply struct {
	// Batch holds the number of batch items of the feeder by target.
	Batch []TargetCount
}

// Endpoint is the net/rpc receiver. It is registered under ReceiverName.
type Endpoint struct {
	headroom *Headroom
}

// Endpoint returns the net/rpc receiver for calls of other instances.
func (h *Headroom) Endpoint() *Endpoint { return &Endpoint{headroom: h} }

// Notice records the online calls of another instance and immediately revokes the
// slots that they need.
func (e *Endpoint) Notice(args *NoticeArgs, reply *NoticeReply) error {
	h := e.headroom
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.revoke(h.core.ApplyNotice(now, args.From, args.Counts))
	reply.Batch = h.core.PlacedItems(args.Counts)
	return nil
}

// noticeTimeout limits the call for one notice, so that a feeder that hangs delays
// the notices to other feeders by at most this time.
const noticeTimeout = 50 * time.Millisecond

// noticeService sends the queued notices to the feeders.
type noticeService struct{ headroom *Headroom }

// String returns the service's name for the supervisor.
func (s *noticeService) String() string { return "headroom-notices" }

// Serve implements suture.Service.
func (s *noticeService) Serve(ctx context.Context) error {
	for {
		notices, err := s.headroom.notices.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		for feeder, counts := range notices {
			s.headroom.sendNotice(ctx, feeder, counts)
		}
	}
}

func (h *Headroom) sendNotice(ctx context.Context, feeder protocol.InstanceID, counts []TargetCount) {
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

// PeerBatchItems returns the number of batch items that the target's feeder had
// there at a given time, as far as this instance knows. It is 0 if this instance
// feeds the target.
func (h *Headroom) PeerBatchItems(target protocol.TargetID, at time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.PeerBatchItems(target, at)
}

// WrapRouter returns a router that counts every online call that it routes, so
// that batch items yield before the call reaches the target.
func (h *Headroom) WrapRouter(router coordination.Router) coordination.Router {
	return &observedRouter{headroom: h, router: router}
}

type observedRouter struct {
	headroom *Headroom
	router   coordination.Router
}

// Pick implements coordination.Router.
func (w *observedRouter) Pick(req coordination.PickRequest) (coordination.Pick, func(coordination.CallResult), bool) {
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
