package broker

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/placement"
)

const (
	// fairHold is how long slots are divided by weight after they last did not suffice for all
	// requests that wait. Rejections shorten the queue, so that without this time the order
	// would change with each request.
	fairHold = time.Second
	// shareCredit is the time for which an organisation may make up for slots that it has not
	// used. Requests of a small organisation arrive in groups, several in one second and none
	// in the next.
	shareCredit = time.Second
	// virtualBucket is the resolution of the history of virtual time.
	virtualBucket = 100 * time.Millisecond
	// maxFlows is the number of organisations above which those that have no usage left to
	// account for are removed.
	maxFlows = 256
)

// virtualClock keeps the virtual time of start-time fair queueing for one service.
//
// A slot that is granted to an organisation moves its finish tag on by 1/weight. The organisation
// with the lowest start tag gets the next slot; its start tag becomes the virtual time. An
// organisation that has used less than its share starts at the virtual time of shareCredit ago.
//
// It is pure and not safe for concurrent use.
type virtualClock struct {
	now    float64
	finish map[string]float64
	// history holds the virtual time at the beginning of each bucket, and last the number of
	// the newest one.
	history [shareCredit/virtualBucket + 1]float64
	last    int64
}

// advance records the virtual time of the buckets that have begun.
func (c *virtualClock) advance(now time.Time) {
	current := now.UnixNano() / int64(virtualBucket)
	from := max(c.last+1, current-int64(len(c.history))+1)
	for b := from; b <= current; b++ {
		c.history[b%int64(len(c.history))] = c.now
	}
	c.last = max(c.last, current)
}

// at returns the virtual time of an age, shareCredit at most.
func (c *virtualClock) at(age time.Duration) float64 {
	return c.history[(c.last-int64(age/virtualBucket))%int64(len(c.history))]
}

// start returns the start tag of an organisation's next request.
func (c *virtualClock) start(now time.Time, organisation string) float64 {
	c.advance(now)
	return max(c.finish[organisation], c.at(shareCredit))
}

// granted records that an organisation got a slot.
func (c *virtualClock) granted(now time.Time, organisation string, weight float64) {
	tag := c.start(now, organisation)
	c.now = max(c.now, tag)
	if len(c.finish) >= maxFlows {
		c.prune()
	}
	c.finish[organisation] = tag + 1/weight
}

// prune removes the organisations whose finish tags no longer matter.
func (c *virtualClock) prune() {
	floor := c.at(shareCredit)
	for organisation, tag := range c.finish {
		if tag <= floor {
			delete(c.finish, organisation)
		}
	}
}

// scarcity is the state of the slots of one service at a broker: how fast they become free, how
// fast requests arrive, and which organisations have used how much.
type scarcity struct {
	clock virtualClock
	// freed counts slots that became free, arrivals the requests that arrived, and withinShare
	// those of them that arrived while their organisation was within its share.
	freed, arrivals, withinShare eventRate
	// fair is set while slots are divided by weight. scarceAt is when they last did not
	// suffice for all requests.
	fair     bool
	scarceAt time.Time
}

func newScarcity() *scarcity {
	return &scarcity{clock: virtualClock{finish: map[string]float64{}}}
}

// update decides whether the slots are divided by weight. list are the online requests that can
// still be on time, ordered by the time at which they must be sent.
func (s *scarcity) update(now time.Time, list []*Waiter) {
	freed, known := s.freed.perSecond(now)
	if !known {
		s.fair = false
		return
	}
	for i, w := range list {
		if seconds(float64(i+1)/freed) > w.sendBy.Sub(now) {
			s.scarceAt, s.fair = now, true
			return
		}
	}
	s.fair = s.fair && now.Sub(s.scarceAt) < fairHold
}

// The ranks of requests while slots are scarce. The requests of organisations within their share
// come first. Those of the others follow: first the ones that can no longer be rejected, then the
// rest by start tag.
const (
	rankWithinShare = iota
	rankAccepted
	rankOverShare
)

// order sorts waiters into the order in which they are served while slots are scarce. list is
// ordered by the time at which they must be sent, and waiters of the same rank, or of the same
// organisation, keep that order.
func (c *virtualClock) order(now time.Time, list []*Waiter) {
	next := map[string]float64{}
	for _, w := range list {
		tag, known := next[w.organisation]
		if !known {
			tag = c.start(now, w.organisation)
		}
		next[w.organisation] = tag + 1/w.weight
		w.lag = max(0, tag-c.now)
		switch {
		case w.lag == 0:
			w.rank = rankWithinShare
		case !w.mayReject(now):
			w.rank = rankAccepted
		default:
			w.rank = rankOverShare
		}
	}
	slices.SortStableFunc(list, func(a, b *Waiter) int {
		if a.rank != b.rank || a.rank != rankOverShare {
			return cmp.Compare(a.rank, b.rank)
		}
		return cmp.Compare(a.lag, b.lag)
	})
}

// fairQueue orders online requests while slots are scarce, and decides which of them are rejected.
// It is pure and not safe for concurrent use.
type fairQueue struct {
	services map[string]*scarcity
	// weight is the moving mean of the weights of requests, for requests of releases that do
	// not send one.
	weight float64
}

func newFairQueue() *fairQueue { return &fairQueue{services: map[string]*scarcity{}} }

func (q *fairQueue) service(name string) *scarcity {
	s := q.services[name]
	if s == nil {
		s = newScarcity()
		q.services[name] = s
	}
	return s
}

// weightSmoothing is the part of each request in the moving mean of weights.
const weightSmoothing = 0.01

// observeWeight adds the weight of a request to the mean.
func (q *fairQueue) observeWeight(weight float64) {
	if q.weight == 0 {
		q.weight = weight
	}
	q.weight += weightSmoothing * (weight - q.weight)
}

// meanWeight returns the weight of a request that names none.
func (q *fairQueue) meanWeight() float64 {
	if q.weight == 0 {
		return 1
	}
	return q.weight
}

// order puts the online requests that can still be on time into their order. sorted is the order
// without division by weight.
func (q *fairQueue) order(now time.Time, sorted []*Waiter) []*Waiter {
	from, to := classRange(now, sorted, classOnTime)
	if from == to {
		return sorted
	}
	byService := map[string][]*Waiter{}
	var names []string
	for _, w := range sorted[from:to] {
		name := w.requirements.Service
		if byService[name] == nil {
			names = append(names, name)
		}
		byService[name] = append(byService[name], w)
	}
	out := slices.Clone(sorted[:from])
	for _, name := range names {
		s, list := q.service(name), byService[name]
		s.update(now, list)
		if s.fair {
			s.clock.order(now, list)
		}
		out = append(out, list...)
	}
	return append(out, sorted[to:]...)
}

// classRange returns the range of the waiters of a class in a sorted list.
func classRange(now time.Time, sorted []*Waiter, class int) (from, to int) {
	for from < len(sorted) && sorted[from].class(now) < class {
		from++
	}
	for to = from; to < len(sorted) && sorted[to].class(now) == class; {
		to++
	}
	return from, to
}

// serviceLoad holds the inputs of estimates that all waiters of a service share.
type serviceLoad struct {
	// known is set if enough slots became free to estimate waits.
	known bool
	// freed, arriving, withinShare and surplus are slots and requests per second.
	freed, arriving, withinShare, surplus float64
	// fair is set while slots are divided by weight.
	fair bool
	// ahead is the number of online requests that are served before the next one, and waiting
	// the number of those that wait.
	ahead, waiting int
}

// load returns the load of the service, without its waiters.
func (s *scarcity) load(now time.Time) *serviceLoad {
	freed, known := s.freed.perSecond(now)
	if !known || freed <= 0 {
		return &serviceLoad{}
	}
	arriving := s.arrivals.highest(now)
	withinShare, _ := s.withinShare.perSecond(now)
	return &serviceLoad{
		known: true, fair: s.fair,
		freed: freed, arriving: arriving, withinShare: withinShare, surplus: s.freed.lowest(now) - arriving,
	}
}

// inputs returns the inputs of the estimate for the next request in the order of the queue.
func (l *serviceLoad) inputs(now time.Time, w *Waiter) waitInputs {
	in := waitInputs{
		ahead: l.ahead, waiting: l.waiting, freed: l.freed, surplus: l.surplus,
		sendIn: w.sendBy.Sub(now), waitIn: w.waitBy.Sub(now),
	}
	if l.fair && w.rank != rankWithinShare {
		in.overtaking = l.withinShare
	}
	return in
}

// countWaiters returns the loads of the services of the online requests in a list, and marks these
// requests as having waited.
func (q *fairQueue) countWaiters(now time.Time, list []*Waiter) map[string]*serviceLoad {
	loads := map[string]*serviceLoad{}
	for _, w := range list {
		if w.requirements.Batch {
			continue
		}
		name := w.requirements.Service
		if loads[name] == nil {
			loads[name] = q.service(name).load(now)
		}
		loads[name].waiting++
		w.waited = true
	}
	return loads
}

// rejectUnservable updates the estimates of all online requests and returns those that must be
// rejected. list is the queue in the order in which it is served, after all free slots have been
// granted. A rejected request is no longer ahead of the following ones.
func (q *fairQueue) rejectUnservable(now time.Time, list []*Waiter) (rejected []*Waiter) {
	loads := q.countWaiters(now, list)
	for _, w := range list {
		l := loads[w.requirements.Service]
		if w.requirements.Batch || !l.known {
			continue
		}
		w.estimate(now, l)
		if !w.state.Rejected {
			l.ahead++
			continue
		}
		l.waiting--
		rejected = append(rejected, w)
	}
	return rejected
}

// estimate sets the state of the next waiter in the order of the queue.
func (w *Waiter) estimate(now time.Time, l *serviceLoad) {
	in := l.inputs(now, w)
	estimate := estimateWait(in)
	w.estimatedAt = now
	w.state = placement.QueueState{
		Ahead: in.ahead, FreedPerSecond: l.freed, ArrivingPerSecond: l.arriving, Expected: estimate.expected, Fair: l.fair,
	}
	if estimate.unservable && w.mayReject(now) {
		w.state.Rejected, w.state.OverShare, w.state.RoomIn = true, estimate.overShare, roomIn(in)
	}
}

// arrived counts a request as an arrival, unless it is counted already.
func (q *fairQueue) arrived(now time.Time, w *Waiter) {
	if !w.counted && !w.requirements.Batch {
		w.counted = true
		s := q.service(w.requirements.Service)
		s.arrivals.add(now, 1)
		if s.clock.start(now, w.organisation) <= s.clock.now {
			s.withinShare.add(now, 1)
		}
	}
}

// granted records that an online request got a slot.
func (q *fairQueue) granted(now time.Time, w *Waiter) {
	if w.requirements.Batch {
		return
	}
	q.arrived(now, w)
	q.service(w.requirements.Service).clock.granted(now, w.organisation, w.weight)
}
