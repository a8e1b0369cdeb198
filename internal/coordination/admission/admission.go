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

// stats counts the calls that were rejected at once and those that expired in a queue.
var stats = expvar.NewMap("admission")

// CapacitySource provides the current capacity of services, as the router knows it.
type CapacitySource interface {
	Capacity(service protocol.ServiceName) Capacity
}

// Config holds the dependencies and settings of an Admission.
type Config struct {
	// Fleet returns the configuration in force.
	Fleet      func() *protocol.Fleet
	Capacities CapacitySource
	Settings   Settings
}

// Admission implements coordination.Admission. It adds the clock, the locking and the
// waiting to a Core. It is safe for concurrent use.
type Admission struct {
	Config

	mu   sync.Mutex
	core *Core
	// waiting holds, for each waiting call, the channel that is closed when the call
	// is admitted.
	waiting map[WaitID]chan struct{}
}

// New returns an Admission without any calls.
func New(config Config) *Admission {
	return &Admission{
		Config:  config,
		core:    NewCore(config.Settings),
		waiting: map[WaitID]chan struct{}{},
	}
}

// Services returns the background services, to be run by a supervisor.
func (a *Admission) Services() []suture.Service {
	return []suture.Service{&capacityRefresher{admission: a}}
}

// Enter implements coordination.Admission.
func (a *Admission) Enter(ctx context.Context, org protocol.OrganisationID, service protocol.ServiceName, deadline time.Time) (coordination.Ticket, *protocol.Refusal) {
	call := Call{
		Organisation: org,
		Weight:       a.Fleet().Organisations[org].Weight,
		Service:      service,
		Deadline:     deadline,
	}
	decision, granted := a.decide(call)
	switch {
	case decision.Admitted:
		return a.ticket(service), nil
	case decision.WaitID == 0:
		stats.Add("refused", 1)
		return nil, refusal(decision, service)
	}
	return a.wait(ctx, call, decision.WaitID, granted)
}

// decide asks the Core about a call. If the call has to wait, it also returns the channel
// that is closed when the call is admitted.
func (a *Admission) decide(call Call) (Decision, chan struct{}) {
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

// wait blocks until the call is admitted, its deadline passes or its caller
// disconnects.
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
		// The call was admitted after its deadline passed or its caller disconnected.
		// It releases its slot, and the next waiting call is admitted.
		a.release(call.Service, 0)
	}
	stats.Add("expired", 1)
	return nil, protocol.Refuse(protocol.CodeDeadline, retryAfter, "the deadline passed while waiting for %s", call.Service)
}

// remove takes a call out of its queue. It returns false if the call has been admitted.
func (a *Admission) remove(call Call, id WaitID) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	removed := a.core.Remove(call.Organisation, call.Service, id)
	return a.core.RetryAfter(call.Service), removed
}

// release frees the slot of a call that held it for a time, and admits waiting calls.
func (a *Admission) release(service protocol.ServiceName, held time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Release(service, held)
	a.admitWaiting(service)
}

// admitWaiting admits waiting calls to free slots and wakes them. The caller must hold
// a.mu.
func (a *Admission) admitWaiting(service protocol.ServiceName) {
	for _, id := range a.core.AdmitWaiting(service) {
		if granted, ok := a.waiting[id]; ok {
			close(granted)
			delete(a.waiting, id)
		}
	}
}

// refusal returns the refusal for a decision that rejects a call.
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

// ticket is the slot of an admitted call. Only the first Release has an effect.
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

// capacityRefresher periodically updates the capacities, so that waiting calls are also
// admitted when targets return and not only when another call ends.
type capacityRefresher struct{ admission *Admission }

// String names the service for the supervisor.
func (r *capacityRefresher) String() string { return "admission-capacity" }

// Serve implements suture.Service.
func (r *capacityRefresher) Serve(ctx context.Context) error {
	return wait.AtOnceAndEvery(ctx, r.admission.Settings.RefreshInterval, r.admission.refreshCapacities)
}

// refreshCapacities updates the capacity of each service and admits waiting calls.
func (a *Admission) refreshCapacities() {
	for name := range a.Fleet().Services {
		capacity := a.Capacities.Capacity(name)
		a.mu.Lock()
		a.core.SetCapacity(name, capacity)
		a.admitWaiting(name)
		a.mu.Unlock()
	}
}
