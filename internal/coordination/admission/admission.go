package admission

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/wait"
)

var stats = expvar.NewMap("admission")

// CapacitySource tells what the router knows of a service.
type CapacitySource interface {
	Capacity(service protocol.ServiceName) Capacity
}

// Config wires an Admission.
type Config struct {
	// Fleet is the configuration in force.
	Fleet      func() *protocol.Fleet
	Capacities CapacitySource
	Settings   Settings
}

// Admission implements coordination.Admission around the pure Core.
type Admission struct {
	Config

	mu      sync.Mutex
	core    *Core
	waiting map[WaitID]chan struct{}
}

// New returns an admission without any call.
func New(config Config) *Admission {
	return &Admission{
		Config:  config,
		core:    NewCore(config.Settings),
		waiting: map[WaitID]chan struct{}{},
	}
}

// Services are the duties, for the supervisor.
func (a *Admission) Services() []suture.Service {
	return []suture.Service{&refresher{admission: a}}
}

// Enter implements coordination.Admission.
func (a *Admission) Enter(ctx context.Context, org protocol.OrganisationID, service protocol.ServiceName, deadline time.Time) (coordination.Ticket, *protocol.Refusal) {
	call := Call{
		Organisation: org,
		Weight:       a.Fleet().Organisations[org].Weight,
		Service:      service,
		Deadline:     deadline,
	}
	decision, granted := a.enter(call)
	switch {
	case decision.Admitted:
		return a.ticket(service), nil
	case decision.WaitID == 0:
		stats.Add("refused", 1)
		return nil, refusal(decision, service)
	}
	return a.wait(ctx, call, decision.WaitID, granted)
}

func (a *Admission) enter(call Call) (Decision, chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	decision := a.core.Enter(time.Now(), call)
	if decision.WaitID == 0 {
		return decision, nil
	}
	granted := make(chan struct{})
	a.waiting[decision.WaitID] = granted
	return decision, granted
}

// wait holds the call until it has a place, its deadline passes or its caller
// leaves.
func (a *Admission) wait(ctx context.Context, call Call, id WaitID, granted chan struct{}) (coordination.Ticket, *protocol.Refusal) {
	timer := time.NewTimer(time.Until(call.Deadline))
	defer timer.Stop()
	select {
	case <-granted:
		return a.ticket(call.Service), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	retryAfter, removed := a.remove(call, id)
	if !removed {
		// The place came in the same moment. The call's time is over, so the
		// place goes on to the next one.
		a.release(call.Service, 0)
	}
	stats.Add("expired", 1)
	return nil, protocol.Refuse(protocol.CodeDeadline, retryAfter, "the deadline passed while waiting for %s", call.Service)
}

func (a *Admission) remove(call Call, id WaitID) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	removed := a.core.Remove(call.Organisation, call.Service, id)
	return a.core.RetryAfter(call.Service), removed
}

func (a *Admission) release(service protocol.ServiceName, held time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Release(service, held)
	a.next(service)
}

// next wakes the calls that got a place. The caller holds the lock.
func (a *Admission) next(service protocol.ServiceName) {
	for _, id := range a.core.AdmitWaiting(service) {
		if granted, ok := a.waiting[id]; ok {
			close(granted)
			delete(a.waiting, id)
		}
	}
}

func refusal(d Decision, service protocol.ServiceName) *protocol.Refusal {
	switch d.Code {
	case protocol.CodeDeadline:
		return protocol.Refuse(d.Code, d.RetryAfter, "the deadline has passed already")
	case protocol.CodeNoTarget:
		return protocol.Refuse(d.Code, d.RetryAfter, "no target of %s is usable", service)
	default:
		return protocol.Refuse(d.Code, d.RetryAfter, "%s is overloaded", service)
	}
}

// ticket is a place that is given back once.
type ticket struct {
	admission *Admission
	service   protocol.ServiceName
	since     time.Time
	once      sync.Once
}

func (a *Admission) ticket(service protocol.ServiceName) *ticket {
	return &ticket{admission: a, service: service, since: time.Now()}
}

// Release implements coordination.Ticket.
func (t *ticket) Release() {
	t.once.Do(func() { t.admission.release(t.service, time.Since(t.since)) })
}

// refresher follows the capacities, so that calls that wait start when targets
// come back and not only when a place is given back.
type refresher struct{ admission *Admission }

// String names the service for the supervisor.
func (r *refresher) String() string { return "admission-capacity" }

// Serve implements suture.Service.
func (r *refresher) Serve(ctx context.Context) error {
	return wait.AtOnceAndEvery(ctx, r.admission.Settings.Refresh, r.admission.refresh)
}

func (a *Admission) refresh() {
	for name := range a.Fleet().Services {
		capacity := a.Capacities.Capacity(name)
		a.mu.Lock()
		a.core.SetCapacity(name, capacity)
		a.next(name)
		a.mu.Unlock()
	}
}
