package orders

import (
	"errors"
	"fmt"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/lease"
)

const (
	testService       = protocol.ServiceName("dispecer-lm")
	testDomain        = protocol.Domain("ploiesti")
	testHoldTime      = 10 * time.Second
	testSessionExpiry = 15 * time.Second
	testOrderTime     = 3 * time.Second
)

var errNoResponse = errors.New("no response")

// delivery is how the network delivers an order.
type delivery int

const (
	delivered delivery = iota
	responseLost
	lost
	duplicated
	// delayed orders arrive when deliverDelayed is called.
	delayed
)

// simulation consists of two instances, three targets, one lease table and its
// own clock. It advances in steps of one second.
type simulation struct {
	now       time.Time
	offset    protocol.Offset
	leases    *lease.Table
	instances []*instance
	targets   []*fakeTarget
	service   protocol.Service
	desired   external.Order
	logDown   bool
	// orderDelivery decides how each order is delivered. If it is nil, all
	// orders arrive.
	orderDelivery func(n *instance, target protocol.TargetID) delivery
	// swapReads makes every read return the state of the last target.
	swapReads     bool
	delayedOrders []func()
	ordersSent    int
	variant       variant
}

// variant disables parts of the decision, to check that the tests fail without
// them. The zero value is the real code.
type variant struct {
	// noFence sends every order without its fencing number.
	noFence bool
	// readOnce never reads a target again that ran the desired order.
	readOnce bool
	// ignoreLapse continues to send orders after the session has lapsed.
	ignoreLapse bool
}

type instance struct {
	session    protocol.SessionID
	controller *Controller
	// running is false while the process is terminated or paused. logReachable
	// is false while the instance is isolated from the log.
	running, logReachable bool
	renewedAt             time.Time
	sessionEnded          bool
}

// fakeTarget takes testOrderTime to carry out an order that changes it. The order
// that finishes last takes effect.
type fakeTarget struct {
	id            protocol.TargetID
	checksFencing bool
	down          bool
	highestFence  protocol.Offset
	runs          external.Order
	inProgress    []runningOrder
	// regressions counts accepted orders of former holders at a target that
	// checks fencing numbers.
	regressions int
}

type runningOrder struct {
	order external.Order
	end   time.Time
}

func newSimulation(checksFencing bool, v variant) *simulation {
	sim := &simulation{
		now:     time.Unix(1_000_000, 0),
		leases:  lease.New(),
		service: protocol.Service{Name: testService, Kind: protocol.KindModel, ChecksFencing: checksFencing, LongestOrder: 5 * time.Second},
		desired: external.Order{Model: "roster", Version: "v1"},
		variant: v,
	}
	policy := Policy{HoldTime: testHoldTime, MaxChangeShare: 0.34}
	if v.readOnce {
		policy.CheckInterval = 1000 * time.Hour
	}
	for i := range 2 {
		sim.instances = append(sim.instances, &instance{
			session: protocol.SessionID(i + 1), running: true, logReachable: true, renewedAt: sim.now,
			controller: NewController(policy, LeaseResource(testService, testDomain)),
		})
	}
	for i := range 3 {
		sim.targets = append(sim.targets, &fakeTarget{id: protocol.TargetID(fmt.Sprint("runner-", i)), checksFencing: checksFencing, highestFence: protocol.NoOffset})
	}
	return sim
}

// run advances the simulation by the given number of seconds.
func (sim *simulation) run(seconds int) {
	for range seconds {
		sim.now = sim.now.Add(time.Second)
		for _, t := range sim.targets {
			t.finish(sim.now)
		}
		for rank, n := range sim.instances {
			sim.renew(n)
			if n.running {
				sim.step(n, rank)
			}
		}
	}
}

func (sim *simulation) renew(n *instance) {
	if n.running && n.logReachable && !sim.logDown && !n.sessionEnded {
		n.renewedAt = sim.now
	}
	if !sim.logDown && !n.sessionEnded && sim.now.Sub(n.renewedAt) > testSessionExpiry {
		n.sessionEnded = true
		sim.offset++
		sim.leases.SessionEnded(sim.offset, n.session)
	}
}

func (sim *simulation) mayHold(n *instance) bool {
	if sim.variant.ignoreLapse {
		return true
	}
	return !n.sessionEnded && sim.now.Sub(n.renewedAt) < testHoldTime
}

func (sim *simulation) step(n *instance, rank int) {
	in := Inputs{
		Session: n.session, MayHold: sim.mayHold(n), LogCurrent: n.logReachable && !sim.logDown, Rank: rank,
		Service: sim.service, Desired: sim.desired,
		Lease: lease.Lease{Fence: protocol.NoOffset, EndedAt: protocol.NoOffset},
	}
	if last, ok := sim.leases.Last(LeaseResource(testService, testDomain)); ok {
		in.Lease = last
	}
	for _, t := range sim.targets {
		in.Targets = append(in.Targets, external.ListedTarget{ID: t.id, Service: testService, Domain: testDomain})
	}
	for _, action := range n.controller.Step(sim.now, in) {
		sim.perform(n, action)
	}
}

func (sim *simulation) perform(n *instance, action Action) {
	fence := n.controller.fence
	switch {
	case action.Claim != nil:
		sim.offset++
		sim.leases.Apply(sim.offset, &protocol.Record{ID: protocol.RecordID{Session: n.session}, LeaseClaim: action.Claim}, nil)
		n.controller.ClaimFinished()
	case action.ReadState:
		state, err := sim.readState(action.Target.ID)
		n.controller.HandleState(sim.now, action.Target.ID, fence, state, err)
	default:
		sim.sendOrder(n, fence, action)
	}
}

func (sim *simulation) target(id protocol.TargetID) *fakeTarget {
	for _, t := range sim.targets {
		if t.id == id {
			return t
		}
	}
	panic("no such target")
}

func (sim *simulation) readState(id protocol.TargetID) (external.OrderState, error) {
	if sim.target(id).down {
		return external.OrderState{}, errNoResponse
	}
	if sim.swapReads {
		last := sim.targets[len(sim.targets)-1]
		return last.state(), nil
	}
	return sim.target(id).state(), nil
}

func (sim *simulation) sendOrder(n *instance, fence protocol.Offset, action Action) {
	order := *action.Order
	if sim.variant.noFence {
		order.Fence = 0
	}
	target := sim.target(action.Target.ID)
	outcome := delivered
	if sim.orderDelivery != nil {
		outcome = sim.orderDelivery(n, target.id)
	}
	if target.down {
		outcome = lost
	}
	sim.ordersSent++
	switch outcome {
	case lost:
		n.controller.HandleOrderResult(sim.now, target.id, fence, false, errNoResponse)
	case responseLost:
		_ = target.accept(sim.now, order, fence)
		n.controller.HandleOrderResult(sim.now, target.id, fence, false, errNoResponse)
	case delayed:
		sim.delayedOrders = append(sim.delayedOrders, func() { _ = target.accept(sim.now, order, fence) })
		n.controller.HandleOrderResult(sim.now, target.id, fence, false, errNoResponse)
	case duplicated:
		_ = target.accept(sim.now, order, fence)
		fallthrough
	default:
		err := target.accept(sim.now, order, fence)
		n.controller.HandleOrderResult(sim.now, target.id, fence, errors.Is(err, external.ErrStaleFence), err)
	}
}

// deliverDelayed delivers the delayed orders.
func (sim *simulation) deliverDelayed() {
	for _, arrive := range sim.delayedOrders {
		arrive()
	}
	sim.delayedOrders = nil
}

// accept begins an order. claim is the fencing number of the sender's lease, also
// if the order does not carry it.
func (t *fakeTarget) accept(now time.Time, order external.Order, claim protocol.Offset) error {
	if t.checksFencing && order.Fence < t.highestFence {
		return external.ErrStaleFence
	}
	if t.checksFencing && claim < t.highestClaim() {
		t.regressions++
	}
	t.highestFence = max(t.highestFence, order.Fence)
	order.Fence = max(order.Fence, claim)
	duration := testOrderTime
	if sameContent(order, t.runs) && len(t.inProgress) == 0 {
		duration = 0
	}
	t.inProgress = append(t.inProgress, runningOrder{order: order, end: now.Add(duration)})
	t.finish(now)
	return nil
}

func (t *fakeTarget) highestClaim() protocol.Offset {
	highest := t.runs.Fence
	for _, j := range t.inProgress {
		highest = max(highest, j.order.Fence)
	}
	return highest
}

func (t *fakeTarget) finish(now time.Time) {
	var remaining []runningOrder
	for _, j := range t.inProgress {
		if j.end.After(now) {
			remaining = append(remaining, j)
			continue
		}
		t.runs = j.order
	}
	t.inProgress = remaining
}

func (t *fakeTarget) state() external.OrderState {
	return external.OrderState{Fence: t.runs.Fence, Order: t.runs, Busy: len(t.inProgress) > 0}
}

// checkConverged checks that all targets that are up run the desired order and
// that no target that checks fencing numbers accepted an order of a former
// holder.
func (sim *simulation) checkConverged() error {
	for _, t := range sim.targets {
		if t.regressions > 0 {
			return fmt.Errorf("%s accepted %d orders of a former holder", t.id, t.regressions)
		}
		if !t.down && !sameContent(t.runs, sim.desired) {
			return fmt.Errorf("%s runs version %s, desired %s", t.id, t.runs.Version, sim.desired.Version)
		}
	}
	return nil
}
