package admission

import (
	"math"
	"time"

	"merlintiller/internal/protocol"
)

// Capacity is what the router knows of a service.
type Capacity struct {
	// Slots is the sum of the slots of the usable targets.
	Slots int
	// OtherLoad is the load that other instances place there, from reports that
	// lag; batch work does not count, because it yields.
	OtherLoad int
	// Instances is the number of live instances, at least 1.
	Instances int
}

// service is the state of one service.
type service struct {
	queue    *queue
	running  int
	capacity int
	// known says that a capacity was ever told.
	known bool
	// hold is the expected time of a call.
	hold time.Duration
}

// Core decides admission for one instance. It has no clock, no I/O and no
// goroutine, and is not safe for concurrent use.
type Core struct {
	settings Settings
	services map[protocol.ServiceName]*service
	nextID   WaitID
}

// NewCore returns the state without any service.
func NewCore(settings Settings) *Core {
	return &Core{settings: settings, services: map[protocol.ServiceName]*service{}}
}

func (c *Core) service(name protocol.ServiceName) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{queue: newQueue(), hold: c.settings.DefaultHold, capacity: c.settings.DefaultSlots}
		c.services[name] = s
	}
	return s
}

// SetCapacity tells what the router knows of a service. The instance may use
// what the others leave free, and always its even part: a skewed balancer must
// not make one instance queue in front of idle targets, nor one instance starve
// because the reports of the others' load are old.
func (c *Core) SetCapacity(name protocol.ServiceName, capacity Capacity) {
	s := c.service(name)
	slots := float64(capacity.Slots) * c.settings.Overcommit
	even := slots / float64(max(1, capacity.Instances))
	left := slots - float64(capacity.OtherLoad)
	s.capacity = int(math.Ceil(max(even, left)))
	s.known = true
}

// Call asks for a place.
type Call struct {
	Organisation protocol.OrganisationID
	// Weight is the organisation's fair share; 0 means 1.
	Weight   float64
	Service  protocol.ServiceName
	Deadline time.Time
}

// Decision is the answer to a call.
type Decision struct {
	// Admitted: the call has a place.
	Admitted bool
	// WaitID is the id under which it waits, if not zero.
	WaitID WaitID
	// Code and RetryAfter tell a refusal.
	Code       protocol.Code
	RetryAfter time.Duration
}

// Enter decides on a call.
func (c *Core) Enter(now time.Time, call Call) Decision {
	s := c.service(call.Service)
	weight := call.Weight
	if weight <= 0 {
		weight = 1
	}
	if !call.Deadline.After(now) {
		return Decision{Code: protocol.CodeDeadline, RetryAfter: s.drain(1)}
	}
	if s.known && s.capacity == 0 {
		return Decision{Code: protocol.CodeNoTarget, RetryAfter: s.hold}
	}
	if s.running < s.capacity && s.queue.length == 0 {
		s.running++
		return Decision{Admitted: true}
	}
	if full := c.full(s, call.Organisation); full {
		return Decision{Code: protocol.CodeOverloaded, RetryAfter: s.drain(1)}
	}
	wait := s.drain(s.queue.ahead(call.Organisation, weight) + 1)
	if late := wait - call.Deadline.Sub(now); late > 0 {
		return Decision{Code: protocol.CodeOverloaded, RetryAfter: late}
	}
	c.nextID++
	s.queue.push(call.Organisation, weight, waiting{id: c.nextID, deadline: call.Deadline})
	return Decision{WaitID: c.nextID}
}

func (c *Core) full(s *service, org protocol.OrganisationID) bool {
	if s.queue.length >= c.settings.QueuePerService {
		return true
	}
	l, ok := s.queue.lanes[org]
	return ok && len(l.calls) >= c.settings.QueuePerOrganisation
}

// drain is the time in which a number of places become free.
func (s *service) drain(calls float64) time.Duration {
	return time.Duration(calls * float64(s.hold) / float64(max(1, s.capacity)))
}

// Remove takes a waiting call out: its deadline passed or its caller left. It
// reports false if the call got a place before.
func (c *Core) Remove(org protocol.OrganisationID, name protocol.ServiceName, id WaitID) bool {
	return c.service(name).queue.remove(org, id)
}

// Release gives a place back after the call held it for a time, 0 if the call
// never ran.
func (c *Core) Release(name protocol.ServiceName, held time.Duration) {
	s := c.service(name)
	s.running--
	if s.running < 0 {
		panic("admission: more places given back than taken")
	}
	if held <= 0 {
		// The place went unused, which says nothing of how long calls take.
		return
	}
	m := c.settings.HoldMemory
	s.hold = time.Duration((1-m)*float64(s.hold) + m*float64(held))
}

// AdmitWaiting gives free places to waiting calls and returns their ids.
func (c *Core) AdmitWaiting(name protocol.ServiceName) []WaitID {
	s := c.service(name)
	var run []WaitID
	for s.running < s.capacity {
		call, ok := s.queue.pop()
		if !ok {
			break
		}
		s.running++
		run = append(run, call.id)
	}
	return run
}

// Load is a service's state, for metrics.
type Load struct {
	Running, Waiting, Capacity int
}

// Load shows the state of a service.
func (c *Core) Load(name protocol.ServiceName) Load {
	s := c.service(name)
	return Load{Running: s.running, Waiting: s.queue.length, Capacity: s.capacity}
}

// RetryAfter is when a call that ran into its deadline should come back.
func (c *Core) RetryAfter(name protocol.ServiceName) time.Duration {
	s := c.service(name)
	return s.drain(float64(s.queue.length + 1))
}
