package broker

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/policybench/virtual"
)

// At a peak an organisation sends five times its rate, so that the fleet gets 1.3 times as many
// requests as it can serve. Guards against an organisation that takes the slots of those within
// their share, against requests that are held and then not served, and against rejections while
// slots are free. The queue by deadline alone is the comparison.
func TestScarceSlotsAreDividedByWeight(t *testing.T) {
	for seed := range uint64(*scarceSeeds) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) { checkDivisionByWeight(t, seed+1) })
	}
}

func checkDivisionByWeight(t *testing.T, seed uint64) {
	load := scarceLoad{targetsPerDomain: 22, capacity: 1.3, seed: seed}
	before, worstBefore := simulateScarcity(load).others()
	load.fairQueue = true
	simulation := simulateScarcity(load)
	others, worst := simulation.others()
	hot := simulation.usage[load.hot]
	t.Logf("by deadline, others: %s; worst %.4f\nby weight, others: %s; worst %.4f\nby weight, the one with five times its rate: %s", before, worstBefore, others, worst, hot)
	require.Less(t, before.entitledOnTime/before.entitled, 0.95, "the load must be one that the queue by deadline does not serve")
	require.GreaterOrEqual(t, others.entitledOnTime/others.entitled, 0.99)
	require.GreaterOrEqual(t, worst, 0.99, "each organisation, over %d peaks", simulatedPeriods)
	require.Zero(t, others.held+hot.held)
	require.Zero(t, others.rejectedWhileFree+hot.rejectedWhileFree)
	require.Less(t, others.rejected, others.offered/1000)
	require.GreaterOrEqual(t, hot.entitledOnTime/hot.entitled, 0.99, "its own share is served")
}

// Guards against requests that are held and not served, or rejected while slots are free, when all
// organisations ask for more than their share, and when targets are lost at a peak.
func TestNoRequestIsHeldInVain(t *testing.T) {
	load := scarceLoad{targetsPerDomain: 10, hot: 40, capacity: 1.3, seed: 2, lostTargets: true}
	before, _ := simulateScarcity(load).others()
	load.fairQueue = true
	simulation := simulateScarcity(load)
	others, _ := simulation.others()
	hot := simulation.usage[load.hot]
	t.Logf("by deadline, others: %s\nby weight, others: %s\nby weight, the one with five times its rate: %s", before, others, hot)
	require.Zero(t, others.held+hot.held)
	require.Zero(t, others.rejectedWhileFree+hot.rejectedWhileFree)
	require.Less(t, others.late, before.late)
}

// previousOrder is the order of the queue before fair queueing.
func previousOrder(now time.Time, list []*Waiter) []*Waiter {
	class := func(w *Waiter) int {
		class := 0
		if w.requirements.Batch {
			class = 2
		}
		if now.After(w.sendBy) {
			class++
		}
		return class
	}
	key := func(w *Waiter) int64 {
		switch {
		case w.requirements.Batch:
			return w.hold.Due
		case class(w) > 0:
			return w.arrived.UnixNano()
		default:
			return w.sendBy.UnixNano()
		}
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(key(a), key(b)))
	})
	return list
}

// replayRandomLoad runs an allocator of 6 slots with random requests, items and releases at 1.2 times
// its capacity, and returns its grants. inspect is called before each allocation.
func replayRandomLoad(t *testing.T, a *SlotAllocator, perSecond float64, inspect func(now time.Time)) (grants []uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(5, 5))
	clock := virtual.NewClock()
	allocate := func() {
		inspect(clock.Now())
		for _, allocation := range a.Allocate(clock.Now()) {
			number := allocation.Grant.Number
			grants = append(grants, number)
			clock.After(time.Duration(100+random.IntN(400))*time.Millisecond, func() {
				a.ApplyReport(clock.Now(), HoldReport{Instance: allocation.Waiter.instance, Released: []uint64{number}})
			})
		}
		require.Empty(t, a.RejectUnservable(clock.Now()))
	}
	number := uint64(0)
	clock.Every(time.Duration(float64(time.Second)/perSecond), func() {
		number++
		request := &PlaceRequest{
			Told: HoldReport{Instance: fmt.Sprint("n", number%3)}, Number: number,
			Want:     placement.Requirements{Service: "s", Batch: random.IntN(4) == 0},
			OnTimeIn: time.Duration(random.IntN(400)-100) * time.Millisecond, Age: time.Duration(random.IntN(100)) * time.Millisecond,
			Due: int64(random.IntN(10_000)), Wait: time.Second,
			Organisation: fmt.Sprint("o", random.IntN(4)), Weight: 1, RejectIn: 50 * time.Millisecond, WaitIn: 300 * time.Millisecond,
		}
		w := a.Enqueue(clock.Now(), request)
		clock.After(time.Second, func() { a.Dequeue(w) })
		allocate()
	})
	clock.Run(20 * time.Second)
	return grants
}

// Guards against changed decisions while fair_queue is off: the order must be that of the queue
// before, and no request may be rejected, whatever the fields of other releases say.
func TestQueueIsUnchangedWhileFairQueueIsOff(t *testing.T) {
	a := newTestAllocator(6)
	waiting := 0
	grants := replayRandomLoad(t, a, 25, func(now time.Time) {
		want := previousOrder(now, a.queue.waiters)
		require.Equal(t, want, a.queue.sorted(now))
		waiting += len(want)
	})
	require.Greater(t, len(grants), 200)
	require.Greater(t, waiting, 500, "the load must make requests wait")
}

// Guards against changed decisions while fair_queue is on and slots suffice.
func TestQueueIsUnchangedWhileSlotsSuffice(t *testing.T) {
	off, on := newTestAllocator(6), newTestAllocator(6)
	on.EnableFairQueue()
	ignore := func(time.Time) {}
	require.Equal(t, replayRandomLoad(t, off, 12, ignore), replayRandomLoad(t, on, 12, ignore))
}

// Guards against a rejection by a broker that has just taken over and does not know yet how fast
// slots become free.
func TestNewBrokerRejectsNothing(t *testing.T) {
	a := newTestAllocator(1)
	a.EnableFairQueue()
	for n := range uint64(50) {
		a.Enqueue(start, &PlaceRequest{
			Told: HoldReport{Instance: "n0"}, Number: n, Want: placement.Requirements{Service: "s"}, Wait: time.Second,
			OnTimeIn: 200 * time.Millisecond, Organisation: "o", Weight: 1, RejectIn: 50 * time.Millisecond, WaitIn: 2 * time.Second,
		})
	}
	require.Len(t, a.Allocate(start), 1)
	require.Empty(t, a.RejectUnservable(start))
}

// Guards against a wrong wait, and against the rejection of a request that can be on time or gets a
// slot before it stops waiting.
func TestEstimatedWait(t *testing.T) {
	in := waitInputs{ahead: 9, waiting: 10, freed: 100, surplus: -30, sendIn: 200 * time.Millisecond, waitIn: 2 * time.Second}
	got := estimateWait(in)
	require.Equal(t, waitEstimate{expected: 100 * time.Millisecond}, got)
	in.overtaking = 60
	got = estimateWait(in)
	require.True(t, got.unservable, "others come in between: 250 ms")
	require.True(t, got.overShare)
	in.overtaking, in.ahead, in.waiting = 0, 30, 31
	got = estimateWait(in)
	require.True(t, got.unservable, "late, and slots become free no faster than requests arrive")
	require.False(t, got.overShare)
	in.surplus = 40
	got = estimateWait(in)
	require.False(t, got.unservable, "late, but served after 775 ms")
	require.Equal(t, 775*time.Millisecond, got.expected)
	in.waiting = 100
	require.True(t, estimateWait(in).unservable, "after 2.5 s")
	require.Equal(t, 800*time.Millisecond, roomIn(in))
}

// encodedSize returns the bytes of a message on a connection that has carried one of its type.
func encodedSize(t *testing.T, first, message any) int {
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	require.NoError(t, encoder.Encode(first))
	wire.Reset()
	require.NoError(t, encoder.Encode(message))
	return wire.Len()
}

// Guards against growing messages: what fair queueing adds to a request and to its reply is budgeted in
// docs/design/22-scarce-slots.md.
func TestFairQueueAddsFewBytes(t *testing.T) {
	request := PlaceRequest{
		Told: HoldReport{Instance: "edge-pnw-spk-12", Start: 1_700_000_000_000}, Domain: "pnw-spk", Number: 123_456,
		Want: placement.Requirements{Service: "svc-a", Run: "9a77a0d7992f092b"}, OnTimeIn: 239 * time.Millisecond, Wait: onlineWait, Age: 987 * time.Microsecond,
	}
	fair := request
	fair.Organisation, fair.Weight, fair.RejectIn, fair.WaitIn = "org-1a2b3c4d", 12.5, 64*time.Millisecond, 1999*time.Millisecond
	fair.FirstWait = true
	added := encodedSize(t, request, fair) - encodedSize(t, request, request)
	t.Log("request:", added)
	require.LessOrEqual(t, added, 48)
	var reply PlaceReply
	scarce := PlaceReply{Queue: placement.QueueState{
		Rejected: true, OverShare: true, RoomIn: 612_345_678, Expected: unbounded, Ahead: 57, FreedPerSecond: 243.21, ArrivingPerSecond: 301.12, Fair: true,
	}}
	added = encodedSize(t, reply, scarce) - encodedSize(t, reply, reply)
	t.Log("reply:", added)
	require.LessOrEqual(t, added, 64)
}

// earlierPlaceReply and earlierPlaceRequest are the messages of releases without fair queueing.
type earlierPlaceReply struct {
	Granted bool
	Grant   Grant
	Free    int
}

type earlierPlaceRequest struct {
	Told
	Domain         string
	Number         uint64
	Want           placement.Requirements
	OnTimeIn, Wait time.Duration
	Age            time.Duration
	Due            int64
	Lasts          time.Duration
}

// Guards against requests of an earlier release that are rejected, and against replies of an earlier
// broker that count as rejections.
func TestReleasesWithoutFairQueueAreServedAsBefore(t *testing.T) {
	convert := func(from, to any) {
		var wire bytes.Buffer
		require.NoError(t, gob.NewEncoder(&wire).Encode(from))
		require.NoError(t, gob.NewDecoder(&wire).Decode(to))
	}
	var request PlaceRequest
	convert(&earlierPlaceRequest{Told: HoldReport{Instance: "n0"}, Number: 1, Want: placement.Requirements{Service: "s"}, OnTimeIn: time.Millisecond, Wait: time.Second}, &request)
	a := newTestAllocator(1)
	a.EnableFairQueue()
	now := start
	for n := range uint64(300) {
		now = now.Add(5 * time.Millisecond)
		request.Number = n
		a.Enqueue(now, &request)
		for _, allocation := range a.Allocate(now) {
			now = now.Add(minFreedHold)
			a.ApplyReport(now, HoldReport{Instance: "n0", Released: []uint64{allocation.Grant.Number}})
		}
		require.Empty(t, a.RejectUnservable(now))
	}
	_, known := a.queue.fair.service("s").freed.perSecond(now)
	require.True(t, known)
	for n := range uint64(100) {
		request.Number = 1000 + n
		a.Enqueue(now, &request)
	}
	require.Len(t, a.Allocate(now), 1)
	require.Empty(t, a.RejectUnservable(now), "an earlier release does not say that it may be rejected")
	require.Equal(t, 99, a.Waiting())

	var reply PlaceReply
	convert(&earlierPlaceReply{Free: 3}, &reply)
	require.Zero(t, reply.Queue)
	var earlier earlierPlaceReply
	convert(&PlaceReply{Free: 3, Queue: placement.QueueState{Rejected: true, RoomIn: time.Second}}, &earlier)
	require.Equal(t, earlierPlaceReply{Free: 3}, earlier, "it waits as before")
	var received earlierPlaceRequest
	convert(&PlaceRequest{Told: HoldReport{Instance: "n0"}, Number: 7, Organisation: "o", Weight: 2, RejectIn: 1, WaitIn: 2}, &received)
	require.Equal(t, uint64(7), received.Number)
}

// Guards against an organisation whose unused share is kept for longer than shareCredit, and against
// order within an organisation that differs from that of the queue before.
func TestStartTimeFairOrder(t *testing.T) {
	clock := &virtualClock{finish: map[string]float64{}}
	now := start
	for range 100 {
		clock.granted(now, "large", 1)
		now = now.Add(10 * time.Millisecond)
	}
	waiters := func(organisations ...string) (list []*Waiter) {
		for _, name := range organisations {
			list = append(list, &Waiter{organisation: name, weight: 1})
		}
		return list
	}
	names := func(list []*Waiter) (out []string) {
		for _, w := range list {
			out = append(out, w.organisation)
		}
		return out
	}
	list := waiters("large", "large", "small", "small")
	first, second := list[0], list[1]
	clock.order(now, list)
	require.Equal(t, []string{"small", "small", "large", "large"}, names(list))
	require.Same(t, first, list[2])
	require.Same(t, second, list[3])
	// The small organisation may use what the large one got within shareCredit, and no more.
	for range 120 {
		clock.granted(now, "small", 1)
	}
	list = waiters("small", "large")
	clock.order(now, list)
	require.Equal(t, []string{"large", "small"}, names(list))
}
