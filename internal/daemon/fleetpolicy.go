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

// fleetPolicy is who may use the fleet's targets, when and which.
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

func (d *Daemon) joinFleetPolicy() {
	s := d.settings
	j := d.agreement.journal
	f := &d.fleet
	options := routingOptions(s)
	options.PeerBatchItems = f.batchElsewhere
	f.router = routing.NewRouter(options)
	f.orders = orders.New(orders.Options{
		Instance: s.Instance,
		Domain:   s.Domain,
		Journal:  j,
		Peers:    d.agreement.heartbeats,
		Orders:   d.outside.control,
		Logger:   d.logger,
		Policy:   orders.Policy{HoldTime: s.Timings.Hold},
	})
	polls := pollOptions(s)
	polls.Router = f.router
	polls.List = d.outside.list
	polls.Loads = d.outside.control
	polls.Fleet = j.Fleet
	polls.Logger = d.logger
	polls.OnListing = f.orders.SetListing
	f.pollers = routing.Pollers(polls)
	f.limits = limiter.New(limiter.Config{
		Self: s.Instance, Domain: s.Domain, Address: s.Listen.Peers,
		Journal: j, Peers: d.agreement.heartbeats,
		Settings: s.Limiter, Logger: d.logger,
	})
	shown := &view{router: f.router, journal: j}
	f.admission = admission.New(admission.Config{Fleet: j.Fleet, Capacities: shown, Settings: s.Admission})
	f.headroom = headroom.New(headroom.Config{Self: s.Instance, Source: shown, Settings: s.Headroom,
		Peers:          d.agreement.heartbeats,
		OnBatchStarted: f.router.BatchStarted, OnBatchDone: f.router.BatchDone,
	})
}

// batchElsewhere is the number of batch items that other instances had at a
// target.
func (f *fleetPolicy) batchElsewhere(target protocol.TargetID, at time.Time) int {
	return f.headroom.PeerBatchItems(target, at)
}

// leave gives up the duties and hands the rate's tokens to others. No call runs
// any more.
func (f *fleetPolicy) leave(ctx context.Context) error {
	f.orders.Release(ctx)
	f.limits.Leave(ctx)
	return ctx.Err()
}

// seedOf makes the random choices of instances differ and those of a restart
// the same.
func seedOf(instance protocol.InstanceID) uint64 {
	return xxhash.Sum64String(string(instance))
}
