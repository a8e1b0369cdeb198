package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/admission"
	"merlintiller/internal/coordination/headroom"
	"merlintiller/internal/coordination/limiter"
	"merlintiller/internal/coordination/orders"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/protocol"
)

const (
	limiterName  = limiter.ReceiverName
	headroomName = headroom.ReceiverName
)

// fleetPolicy holds the components that limit, admit and route requests.
type fleetPolicy struct {
	router    *routing.Router
	limits    *limiter.Limiter
	admission *admission.Admission
	headroom  *headroom.Headroom
	orders    *orders.Reconciler
	pollers   []suture.Service
}

func (f *fleetPolicy) services() []suture.Service {
	var out []suture.Service
	out = append(out, f.pollers...)
	out = append(out, f.limits.Services()...)
	out = append(out, f.admission.Services()...)
	out = append(out, f.headroom.Services()...)
	return append(out, f.orders.Services()...)
}

func (d *Daemon) setupFleetPolicy() {
	s := d.settings
	j := d.cluster.journal
	f := &d.fleet
	options := routingOptions(s)
	options.PeerBatchItems = f.peerBatchItems
	f.router = routing.NewRouter(options)
	f.orders = orders.New(orders.Options{
		Instance: s.Instance,
		Domain:   s.Domain,
		Journal:  j,
		Peers:    d.cluster.heartbeats,
		Orders:   d.adapters.control,
		Logger:   d.logger,
		Policy:   orders.Policy{HoldTime: s.Timings.Hold},
	})
	polls := pollOptions(s)
	polls.Router = f.router
	polls.List = d.adapters.list
	polls.Loads = d.adapters.control
	polls.Fleet = j.Fleet
	polls.Logger = d.logger
	polls.OnListing = f.orders.SetListing
	f.pollers = routing.Pollers(polls)
	f.limits = limiter.New(limiter.Config{
		Self: s.Instance, Domain: s.Domain, Address: s.Listen.Peers,
		Journal: j, Peers: d.cluster.heartbeats,
		Settings: s.Limiter, Logger: d.logger,
	})
	view := &fleetView{router: f.router, journal: j}
	f.admission = admission.New(admission.Config{Fleet: j.Fleet, Capacities: view, Settings: s.Admission})
	f.headroom = headroom.New(headroom.Config{Self: s.Instance, Source: view, Settings: s.Headroom,
		Peers:          d.cluster.heartbeats,
		OnBatchStarted: f.router.BatchStarted, OnBatchDone: f.router.BatchDone,
	})
}

// peerBatchItems returns the number of batch items that other instances ran at a target
// at a given time.
func (f *fleetPolicy) peerBatchItems(target protocol.TargetID, at time.Time) int {
	return f.headroom.PeerBatchItems(target, at)
}

// leave releases the leases of the order controllers and hands the tokens of the rate
// limits over to other instances. It must be called when no call is in flight any more.
func (f *fleetPolicy) leave(ctx context.Context) error {
	f.orders.Release(ctx)
	f.limits.Leave(ctx)
	return ctx.Err()
}

// randomSeed returns a seed for random choices. It differs between instances and is the
// same after a restart.
func randomSeed(instance protocol.InstanceID) uint64 {
	return xxhash.Sum64String(string(instance))
}
