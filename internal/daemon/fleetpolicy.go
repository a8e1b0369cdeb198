package daemon

import (
	"github.com/cespare/xxhash/v2"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/admission"
	"merlintiller/internal/coordination/headroom"
	"merlintiller/internal/coordination/limiter"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/protocol"
)

const limiterName = limiter.ReceiverName

// fleetPolicy is who may use the fleet's targets, when and which.
type fleetPolicy struct {
	router    *routing.Router
	limits    *limiter.Limiter
	admission *admission.Admission
	headroom  *headroom.Headroom
	pollers   []suture.Service
}

func (f *fleetPolicy) services() []suture.Service {
	var out []suture.Service
	out = append(out, f.pollers...)
	out = append(out, f.limits.Services()...)
	out = append(out, f.admission.Services()...)
	return append(out, f.headroom.Services()...)
}

func (d *Daemon) joinFleetPolicy() {
	s := d.settings
	j := d.agreement.journal
	f := &d.fleet
	f.router = routing.NewRouter(routingOptions(s))
	f.pollers = routing.Pollers(routing.PollOptions{
		Router:    f.router,
		List:      d.outside.list,
		Loads:     d.outside.control,
		Fleet:     j.Fleet,
		Logger:    d.logger,
		ListEvery: s.Timings.ListPoll,
		LoadEvery: s.Timings.LoadPoll,
		Domain:    s.Domain,
	})
	f.limits = limiter.New(limiter.Config{
		Self: s.Instance, Domain: s.Domain,
		Journal: j, Peers: d.agreement.heartbeats,
		Settings: s.Limiter, Logger: d.logger,
	})
	shown := &view{router: f.router, journal: j}
	f.admission = admission.New(admission.Config{Fleet: j.Fleet, Capacities: shown, Settings: s.Admission})
	f.headroom = headroom.New(headroom.Config{Self: s.Instance, Source: shown, Settings: s.Headroom,
		Started: f.router.BatchStarted, Report: f.router.BatchDone,
	})
}

// seedOf makes the random choices of instances differ and those of a restart
// the same.
func seedOf(instance protocol.InstanceID) uint64 {
	return xxhash.Sum64String(string(instance))
}

// onlineRouter tells the headroom of every online pick, so that a burst takes
// places back at once and not with the next look at the counts.
type onlineRouter struct {
	coordination.Router
	router   *routing.Router
	headroom *headroom.Headroom
}

// Pick implements coordination.Router.
func (o *onlineRouter) Pick(req coordination.PickRequest) (coordination.Pick, func(coordination.CallResult), bool) {
	pick, done, ok := o.Router.Pick(req)
	if ok && !req.Batch {
		o.headroom.OnlineStarted(pick.Target, o.router.OnlineInFlight(pick.Target))
	}
	return pick, done, ok
}
