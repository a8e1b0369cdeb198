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
	testService = protocol.ServiceName("dispecer-lm")
	testDomain  = protocol.Domain("ploiesti")
	testHold    = 10 * time.Second
	testExpire  = 15 * time.Second
	orderTime   = 3 * time.Second
)

var errNoAnswer = errors.New("no answer")

// fate is what the network does to an order.
type fate int

const (
	arrives fate = iota
	answerLost
	lost
	twice
	// heldBack orders arrive when release is called, whatever happened since.
	heldBack
)

// world is two instances before three targets, one lease table and a clock of
// its own. It advances in steps of a second.
type world struct {
	now     time.Time
	offset  protocol.Offset
	leases  *lease.Table
	nodes   []*node
	targets []*fakeTarget
	service protocol.Service
	wanted  external.Order
	logDown bool
	// orderFate decides over each order; nil lets it arrive.
	orderFate func(n *node, target protocol.TargetID) fate
	// crossLooks swaps what the targets say they run.
	crossLooks bool
	held       []func()
	given      int
	v          variant
}

// variant breaks a decision on purpose. The zero value is the real code.
type variant struct {
	// noFence sends every order without its fencing number.
	noFence bool
	// lookOnce never looks again at a target that ran what was wanted.
	lookOnce bool
	// ignoreLapse goes on ordering after the session has lapsed.
	ignoreLapse bool
}

type node struct {
	session protocol.SessionID
	duty    *Duty
	// up is false while the process is dead or paused, logUp while it is cut
	// from the log.
	up, logUp bool
	renewed   time.Time
	ended     bool
}

// fakeTarget works on each order for a while; the one that ends last counts.
type fakeTarget struct {
	id      protocol.TargetID
	checks  bool
	dead    bool
	highest protocol.Offset
	runs    external.Order
	working []job
	// regressions counts orders with an old fencing number that took effect.
	regressions int
}

type job struct {
	order external.Order
	end   time.Time
}

func newWorld(checks bool, v variant) *world {
	w := &world{
		now:     time.Unix(1_000_000, 0),
		leases:  lease.New(),
		service: protocol.Service{Name: testService, Kind: protocol.KindModel, ChecksFencing: checks, LongestOrder: 5 * time.Second},
		wanted:  external.Order{Model: "roster", Version: "v1"},
		v:       v,
	}
	policy := Policy{HoldTime: testHold, ChangeShare: 0.34}
	if v.lookOnce {
		policy.Check = 1000 * time.Hour
	}
	for i := range 2 {
		w.nodes = append(w.nodes, &node{
			session: protocol.SessionID(i + 1), up: true, logUp: true, renewed: w.now,
			duty: NewDuty(policy, Resource(testService, testDomain)),
		})
	}
	for i := range 3 {
		w.targets = append(w.targets, &fakeTarget{id: protocol.TargetID(fmt.Sprint("runner-", i)), checks: checks, highest: protocol.NoOffset})
	}
	return w
}

// run advances the world by so many seconds.
func (w *world) run(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		for _, t := range w.targets {
			t.finish(w.now)
		}
		for rank, n := range w.nodes {
			w.renew(n)
			if n.up {
				w.step(n, rank)
			}
		}
	}
}

func (w *world) renew(n *node) {
	if n.up && n.logUp && !w.logDown && !n.ended {
		n.renewed = w.now
	}
	if !w.logDown && !n.ended && w.now.Sub(n.renewed) > testExpire {
		n.ended = true
		w.offset++
		w.leases.SessionEnded(w.offset, n.session)
	}
}

func (w *world) mayHold(n *node) bool {
	if w.v.ignoreLapse {
		return true
	}
	return !n.ended && w.now.Sub(n.renewed) < testHold
}

func (w *world) step(n *node, rank int) {
	view := View{
		Session: n.session, MayHold: w.mayHold(n), LogUp: n.logUp && !w.logDown, Rank: rank,
		Service: w.service, Wanted: w.wanted,
		Lease: lease.Lease{Fence: protocol.NoOffset, EndedAt: protocol.NoOffset},
	}
	if last, ok := w.leases.Last(Resource(testService, testDomain)); ok {
		view.Lease = last
	}
	for _, t := range w.targets {
		view.Targets = append(view.Targets, external.ListedTarget{ID: t.id, Service: testService, Domain: testDomain})
	}
	for _, action := range n.duty.Step(w.now, view) {
		w.do(n, action)
	}
}

func (w *world) do(n *node, action Action) {
	fence := n.duty.fence
	switch {
	case action.Claim != nil:
		w.offset++
		w.leases.Apply(w.offset, &protocol.Record{ID: protocol.RecordID{Session: n.session}, LeaseClaim: action.Claim}, nil)
		n.duty.Claimed()
	case action.Look:
		state, err := w.look(action.Target.ID)
		n.duty.Looked(w.now, action.Target.ID, fence, state, err)
	default:
		w.give(n, fence, action)
	}
}

func (w *world) target(id protocol.TargetID) *fakeTarget {
	for _, t := range w.targets {
		if t.id == id {
			return t
		}
	}
	panic("no such target")
}

func (w *world) look(id protocol.TargetID) (external.OrderState, error) {
	if w.target(id).dead {
		return external.OrderState{}, errNoAnswer
	}
	if w.crossLooks {
		last := w.targets[len(w.targets)-1]
		return last.state(), nil
	}
	return w.target(id).state(), nil
}

func (w *world) give(n *node, fence protocol.Offset, action Action) {
	order := *action.Give
	if w.v.noFence {
		order.Fence = 0
	}
	t := w.target(action.Target.ID)
	fate := arrives
	if w.orderFate != nil {
		fate = w.orderFate(n, t.id)
	}
	if t.dead {
		fate = lost
	}
	w.given++
	switch fate {
	case lost:
		n.duty.Given(w.now, t.id, fence, false, errNoAnswer)
	case answerLost:
		_ = t.take(w.now, order, fence)
		n.duty.Given(w.now, t.id, fence, false, errNoAnswer)
	case heldBack:
		w.held = append(w.held, func() { _ = t.take(w.now, order, fence) })
		n.duty.Given(w.now, t.id, fence, false, errNoAnswer)
	case twice:
		_ = t.take(w.now, order, fence)
		fallthrough
	default:
		err := t.take(w.now, order, fence)
		n.duty.Given(w.now, t.id, fence, errors.Is(err, external.ErrStaleFence), err)
	}
}

// release lets the orders that were held back arrive.
func (w *world) release() {
	for _, arrive := range w.held {
		arrive()
	}
	w.held = nil
}

// take begins an order. claim is the true fencing number, for the check.
func (t *fakeTarget) take(now time.Time, order external.Order, claim protocol.Offset) error {
	if t.checks && order.Fence < t.highest {
		return external.ErrStaleFence
	}
	if t.checks && claim < t.lastClaim() {
		t.regressions++
	}
	t.highest = max(t.highest, order.Fence)
	order.Fence = max(order.Fence, claim)
	length := orderTime
	if sameContent(order, t.runs) && len(t.working) == 0 {
		length = 0
	}
	t.working = append(t.working, job{order: order, end: now.Add(length)})
	t.finish(now)
	return nil
}

func (t *fakeTarget) lastClaim() protocol.Offset {
	last := t.runs.Fence
	for _, j := range t.working {
		last = max(last, j.order.Fence)
	}
	return last
}

func (t *fakeTarget) finish(now time.Time) {
	var left []job
	for _, j := range t.working {
		if j.end.After(now) {
			left = append(left, j)
			continue
		}
		t.runs = j.order
	}
	t.working = left
}

func (t *fakeTarget) state() external.OrderState {
	return external.OrderState{Fence: t.runs.Fence, Order: t.runs, Busy: len(t.working) > 0}
}

// settled checks that all living targets run what is wanted and that no target
// that checks was set back.
func (w *world) settled() error {
	for _, t := range w.targets {
		if t.regressions > 0 {
			return fmt.Errorf("%s took %d orders of a former holder", t.id, t.regressions)
		}
		if !t.dead && !sameContent(t.runs, w.wanted) {
			return fmt.Errorf("%s runs %s, wanted %s", t.id, t.runs.Version, w.wanted.Version)
		}
	}
	return nil
}
