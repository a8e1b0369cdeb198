package admission

import (
	"math"
	"time"

	"merlintiller/internal/protocol"
)

// Capacity is the capacity of a service, as the router knows it.
type Capacity struct {
	// Slots is the sum of the slots of the usable targets.
	Slots int
	// OtherLoad is the number of slots that other instances occupy there. It comes
	// from reports that lag. Batch items do not count, because they yield.
	OtherLoad int
	// Instances is the number of live instances, at least 1.
	Instances int
}

// service is the state of one service.
type service struct {
	queue *queue
	// running is the number of admitted calls, capacity the most that this instance
	// admits at a time.
	running  int
	capacity int
	// capacityKnown is set once SetCapacity was called.
	capacityKnown bool
	// holdTime is the expected time for which a call occupies its slot.
	holdTime time.Duration
}

// Core decides admission for one instance. It has no clock, no I/O and no
// goroutine, and is not safe for concurrent use.
type Core struct {
	settings Settings
	services map[protocol.ServiceName]*service
	nextID   WaitID
}

// NewCore returns a Core without any services.
func NewCore(settings Settings) *Core {
	return &Core{settings: settings, services: map[protocol.ServiceName]*service{}}
}

// service returns the state of a service, which it creates if necessary.
func (c *Core) service(name protocol.ServiceName) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{queue: newQueue(), holdTime: c.settings.DefaultHoldTime, capacity: c.settings.InitialCapacity}
		c.services[name] = s
	}
	return s
}

// SetCapacity sets the capacity of a service. The instance may use the slots that other
// instances leave free, and always at least an equal share of all slots. A skewed load
// balancer must not make one instance queue calls in front of idle targets, and one
// instance must not starve because the reports of the other instances' load are old.
func (c *Core) SetCapacity(name protocol.ServiceName, capacity Capacity) {
	s := c.service(name)
	slots := float64(capacity.Slots) * c.settings.Overcommit
	fairShare := slots / float64(max(1, capacity.Instances))
	unused := slots - float64(capacity.OtherLoad)
	s.capacity = int(math.Ceil(max(fairShare, unused)))
	s.capacityKnown = true
}

// Call is a call that asks for admission.
type Call struct {
	Organisation protocol.OrganisationID
	// Weight is the organisation's weight in the fair queue; 0 means 1.
	Weight   float64
	Service  protocol.ServiceName
	Deadline time.Time
}

// Decision is the result of Enter: admitted, waiting or rejected.
type Decision struct {
	// Admitted is set if the call may run now.
	Admitted bool
	// WaitID is the id of a waiting call, 0 if the call does not wait.
	WaitID WaitID
	// Code and RetryAfter are the reason for a rejection and the time after which
	// the caller may retry.
	Code       protocol.Code
	RetryAfter time.Duration
}

// Enter admits a call, queues it or rejects it.
func (c *Core) Enter(now time.Time, call Call) Decision {
	s := c.service(call.Service)
	weight := call.Weight
	if weight <= 0 {
		weight = 1
	}
	if !call.Deadline.After(now) {
		return Decision{Code: protocol.CodeDeadline, RetryAfter: s.timeToFree(1)}
	}
	if s.capacityKnown && s.capacity == 0 {
		return Decision{Code: protocol.CodeNoTarget, RetryAfter: s.holdTime}
	}
	if s.running < s.capacity && s.queue.length == 0 {
		s.running++
		return Decision{Admitted: true}
	}
	if full := c.queueFull(s, call.Organisation); full {
		return Decision{Code: protocol.CodeOverloaded, RetryAfter: s.timeToFree(1)}
	}
	wait := s.timeToFree(s.queue.callsAhead(call.Organisation, weight) + 1)
	if late := wait - call.Deadline.Sub(now); late > 0 {
		return Decision{Code: protocol.CodeOverloaded, RetryAfter: late}
	}
	c.nextID++
	s.queue.push(call.Organisation, weight, queuedCall{id: c.nextID, deadline: call.Deadline})
	return Decision{WaitID: c.nextID}
}

// queueFull reports whether the queue of the service or the organisation's part of it is
// full.
func (c *Core) queueFull(s *service, org protocol.OrganisationID) bool {
	if s.queue.length >= c.settings.QueuePerService {
		return true
	}
	f, ok := s.queue.flows[org]
	return ok && len(f.calls) >= c.settings.QueuePerOrganisation
}

// timeToFree returns the expected time in which a number of running calls end.
func (s *service) timeToFree(calls float64) time.Duration {
	return time.Duration(calls * float64(s.holdTime) / float64(max(1, s.capacity)))
}

// Remove takes a waiting call out of its queue, because its deadline passed or its caller
// disconnected. It returns false if the call has been admitted before.
func (c *Core) Remove(org protocol.OrganisationID, name protocol.ServiceName, id WaitID) bool {
	return c.service(name).queue.remove(org, id)
}

// Release ends an admitted call that occupied its slot for a time, 0 if the call never
// ran.
func (c *Core) Release(name protocol.ServiceName, held time.Duration) {
	s := c.service(name)
	s.running--
	if s.running < 0 {
		panic("admission: Release without an admitted call")
	}
	if held <= 0 {
		// The call did not run, so its time says nothing about how long calls take.
		return
	}
	weight := c.settings.HoldTimeSmoothing
	s.holdTime = time.Duration((1-weight)*float64(s.holdTime) + weight*float64(held))
}

// AdmitWaiting admits waiting calls while the capacity allows it and returns their ids.
func (c *Core) AdmitWaiting(name protocol.ServiceName) []WaitID {
	s := c.service(name)
	var admitted []WaitID
	for s.running < s.capacity {
		call, ok := s.queue.pop()
		if !ok {
			break
		}
		s.running++
		admitted = append(admitted, call.id)
	}
	return admitted
}

// Load is the load of a service, for metrics.
type Load struct {
	Running, Waiting, Capacity int
}

// Load returns the load of a service.
func (c *Core) Load(name protocol.ServiceName) Load {
	s := c.service(name)
	return Load{Running: s.running, Waiting: s.queue.length, Capacity: s.capacity}
}

// RetryAfter returns the time after which a caller may retry a call whose deadline passed
// in the queue.
func (c *Core) RetryAfter(name protocol.ServiceName) time.Duration {
	s := c.service(name)
	return s.timeToFree(float64(s.queue.length + 1))
}
