package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Router is a Core behind a lock and the process's clock. It implements
// coordination.Router.
type Router struct {
	mu   sync.Mutex
	core *Core
	// batchElsewhere is asked without the lock held, since it takes its own.
	batchElsewhere func(protocol.TargetID, time.Time) int
}

// NewRouter returns a router that knows no target.
func NewRouter(opts Options) *Router {
	return &Router{core: NewCore(opts), batchElsewhere: opts.PeerBatchItems}
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

// BatchStarted counts a batch call that headroom placed at a target.
func (r *Router) BatchStarted(id protocol.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.BatchStarted(time.Now(), id)
}

// BatchDone ends such a call.
func (r *Router) BatchDone(id protocol.TargetID, result coordination.CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.BatchDone(time.Now(), id, result)
}

// OnlineInFlight counts the own online calls at a target.
func (r *Router) OnlineInFlight(id protocol.TargetID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.OnlineInFlight(id)
}

// Capacity is what a service's usable targets hold and what other instances
// have in flight there.
func (r *Router) Capacity(service protocol.ServiceName) (slots int, others float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Capacity(time.Now(), service)
}

// Targets lists all known targets, by id.
func (r *Router) Targets() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Targets(time.Now())
}

// ApplyListing takes in the platform's list.
func (r *Router) ApplyListing(listing external.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.ApplyListing(time.Now(), listing)
}

// ApplyReport takes in a load report.
func (r *Router) ApplyReport(load external.Load) {
	now := time.Now()
	elsewhere := 0
	if r.batchElsewhere != nil {
		elsewhere = r.batchElsewhere(load.Target, now.Add(-time.Duration(load.AgeMS)*time.Millisecond))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetPeerBatchItems(load.Target, elsewhere)
	r.core.ApplyReport(now, load)
}

// SetServices takes in the configured services.
func (r *Router) SetServices(services map[protocol.ServiceName]protocol.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetServices(services)
}
