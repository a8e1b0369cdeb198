package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Router adds a lock and the system clock to a Core. It implements
// coordination.Router.
type Router struct {
	mu   sync.Mutex
	core *Core
	// peerBatchItems is called without mu held, because it takes a lock of its
	// own.
	peerBatchItems func(protocol.TargetID, time.Time) int
}

// NewRouter returns a router without any targets.
func NewRouter(opts Options) *Router {
	return &Router{core: NewCore(opts), peerBatchItems: opts.PeerBatchItems}
}

// Pick implements coordination.Router.
func (r *Router) Pick(req coordination.PickRequest) (coordination.Pick, func(coordination.CallResult), bool) {
	r.mu.Lock()
	choice, ok := r.core.Pick(time.Now(), req)
	r.mu.Unlock()
	if !ok {
		return coordination.Pick{}, nil, false
	}
	var ended atomic.Bool
	done := func(result coordination.CallResult) {
		if ended.Swap(true) {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.core.Done(time.Now(), choice, result)
	}
	return choice.Pick, done, true
}

// BatchStarted counts a batch call that package headroom placed at a target.
func (r *Router) BatchStarted(id protocol.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.BatchStarted(time.Now(), id)
}

// BatchDone records the end of a call that BatchStarted counted.
func (r *Router) BatchDone(id protocol.TargetID, result coordination.CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.BatchDone(time.Now(), id, result)
}

// OnlineInFlight returns the number of this instance's online calls in flight at
// a target.
func (r *Router) OnlineInFlight(id protocol.TargetID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.OnlineInFlight(id)
}

// Capacity returns the number of slots of a service's usable targets and the
// estimated number of streams that other instances have there.
func (r *Router) Capacity(service protocol.ServiceName) (slots int, peerStreams float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Capacity(time.Now(), service)
}

// Targets returns the status of all targets, sorted by target ID.
func (r *Router) Targets() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Targets(time.Now())
}

// ApplyListing updates the targets from the platform's list.
func (r *Router) ApplyListing(listing external.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.ApplyListing(time.Now(), listing)
}

// ApplyReport updates a target from its load report.
func (r *Router) ApplyReport(load external.Load) {
	now := time.Now()
	peerItems := 0
	if r.peerBatchItems != nil {
		peerItems = r.peerBatchItems(load.Target, now.Add(-time.Duration(load.AgeMS)*time.Millisecond))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetPeerBatchItems(load.Target, peerItems)
	r.core.ApplyReport(now, load)
}

// SetServices sets the configured services.
func (r *Router) SetServices(services map[protocol.ServiceName]protocol.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetServices(services)
}
