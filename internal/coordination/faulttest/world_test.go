package faulttest

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/coordination/journal"
	"merlintiller/internal/coordination/oncecall"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
)

const (
	cascadia protocol.OrganisationID = "cascadia"
	dobrescu protocol.OrganisationID = "dobrescu"
	model    protocol.ModelName      = "tiller-8b"
	runners  protocol.ServiceName    = "tiller-reports"
	path                             = "/v1/chat/completions"
)

// variant replaces a decision of the product by a broken one, to show that the
// checks notice.
type variant struct {
	journal func(coordination.Journal) coordination.Journal
	// executor replaces the journal of the executor alone.
	executor func(coordination.Journal) coordination.Journal
	// caller replaces the way in which calls that may not be repeated are made.
	caller func(online.AtMostOnceCaller) online.AtMostOnceCaller
	// lines replaces what is delivered to the caller of a job.
	lines func(*world, protocol.JobID) []line
}

// world is a fleet of instances on one log.
type world struct {
	t       *testing.T
	ctx     context.Context
	cancel  context.CancelFunc
	log     *memlog.Log
	nodes   []*node
	targets *targets
	plans   []*plan
	variant variant
	opts    batch.Options
	calls   oncecall.Options
	// places is the number of places at targets that each instance has.
	places int
	// uneven gives each instance its own number of places, if set.
	uneven []int

	background sync.WaitGroup
	mu         sync.Mutex
	waiting    []*waiter
	resumed    time.Time
}

// testOptions shorten what a test would wait for.
func testOptions() batch.Options {
	return batch.Options{
		FlushAfter:     5 * time.Second,
		DeadlineMargin: 10 * time.Second,
		MaxInFlight:    32,
		MaxHeldChunks:  3,
		BackoffMax:     5 * time.Second,
	}
}

func newWorld(t *testing.T, count int, v variant, plans ...*plan) *world {
	return newWorldWith(t, count, func(w *world) {
		w.variant = v
		w.plans = plans
	})
}

// newWorldWith starts a fleet after setup has changed what it is made of.
func newWorldWith(t *testing.T, count int, setup func(*world)) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t:       t,
		ctx:     ctx,
		cancel:  cancel,
		log:     memlog.New(memlog.Options{}),
		targets: newTargets(),
		opts:    testOptions(),
		places:  16,
	}
	setup(w)
	for i := range count {
		w.start(fmt.Sprintf("pnw-%d", i))
	}
	t.Cleanup(w.stop)
	w.configure()
	return w
}

func (w *world) stop() {
	w.cancel()
	for _, n := range w.nodes {
		n.crash()
		n.done.Wait()
	}
	w.background.Wait()
}

// configure publishes the fleet's configuration.
func (w *world) configure() {
	w.await(20*time.Second, "sessions", func() bool {
		for _, n := range w.nodes {
			if n.Session() == 0 || !n.MayHold() || !n.LogUp() {
				return false
			}
		}
		return true
	})
	outcome := w.nodes[0].Submit(w.ctx, protocol.Record{FleetChange: &protocol.FleetChange{
		ChangeID: "one",
		BasedOn:  protocol.NoOffset,
		Operator: "test",
		Set: []protocol.FleetObject{
			{Organisation: &protocol.Organisation{ID: cascadia, Rate: 10, Burst: 10}},
			{Organisation: &protocol.Organisation{ID: dobrescu, Rate: 10, Burst: 10}},
			{Service: &protocol.Service{Name: runners, Kind: protocol.KindModel, Repeatable: true}},
			{Model: &protocol.Model{Name: model, Service: runners}},
		},
	}})
	require.True(w.t, outcome.Accepted(), "%+v", outcome)
	w.await(5*time.Second, "configuration", func() bool {
		for _, n := range w.nodes {
			if len(n.Fleet().Models) == 0 {
				return false
			}
		}
		return true
	})
}

// await lets virtual time pass until a condition holds.
func (w *world) await(limit time.Duration, what string, condition func() bool) {
	w.t.Helper()
	require.True(w.t, w.reached(limit, condition), "not within %v: %s", limit, what)
}

func (w *world) reached(limit time.Duration, condition func() bool) bool {
	began := time.Now()
	for {
		synctest.Wait()
		if condition() {
			return true
		}
		if time.Since(began) > limit {
			return false
		}
		<-time.After(50 * time.Millisecond)
	}
}

// node is one instance.
type node struct {
	*journal.Journal
	world    *world
	name     string
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
	link     *link
	seen     coordination.Journal
	service  *batch.Service
	executor *batch.Executor
	caller   online.AtMostOnceCaller
	carrier  *batch.Carrier
	slots    *slots
	// delivering marks reads of results for a caller.
	delivering atomic.Bool
}

func (w *world) start(name string) *node {
	n := &node{world: w, name: name, link: newLink(w.log)}
	n.ctx, n.cancel = context.WithCancel(w.ctx)
	n.slots = newSlots(w.placesOf(len(w.nodes)))
	n.link.node = n
	n.Journal = journal.New(journal.Options{
		Log:        n.link,
		Instance:   protocol.InstanceID(name),
		Domain:     "pnw-sea",
		Seed:       uint64(len(w.nodes)),
		NewSession: sessionsOf(uint64(len(w.nodes) + 1)),
	})
	n.seen = n.Journal
	if w.variant.journal != nil {
		n.seen = w.variant.journal(n.Journal)
	}
	logger := log.NewNopLogger()
	n.service = batch.NewService(n.seen, w.opts, logger)
	n.service.Cancelled = func(job protocol.JobID) { w.tell(n, job) }
	executing := n.seen
	if w.variant.executor != nil {
		executing = w.variant.executor(n.seen)
	}
	n.executor = batch.NewExecutor("", executing, n.slots, &runner{n}, w.opts, logger)
	calls := oncecall.New("", n.seen, w.calls, logger)
	n.caller = calls
	if w.variant.caller != nil {
		n.caller = w.variant.caller(calls)
	}
	n.carrier = batch.NewCarrier(n.seen, w.opts, logger)
	w.nodes = append(w.nodes, n)
	duties := append(n.Services(), n.executor.Services()...)
	duties = append(duties, batch.NewKeeper(n.seen, w.opts, logger), n.carrier, calls.Recorder(), calls.Pruner())
	for _, duty := range duties {
		n.done.Go(func() { _ = duty.Serve(n.ctx) })
	}
	return n
}

// tell brings a cancel to the other instances, as the notices between instances
// do. They go over no log. A notice to a paused instance runs into its timeout.
func (w *world) tell(from *node, job protocol.JobID) {
	for _, n := range w.nodes {
		if n != from && n.ctx.Err() == nil && !n.link.isPaused() {
			n.executor.Stop(job)
		}
	}
}

func (w *world) placesOf(index int) int {
	if w.uneven == nil {
		return w.places
	}
	return w.uneven[index%len(w.uneven)]
}

// sessionsOf draws distinct, repeatable session ids.
func sessionsOf(base uint64) func() protocol.SessionID {
	var count uint64
	return func() protocol.SessionID {
		count++
		return protocol.SessionID(base<<16 + count)
	}
}

func (n *node) alive() bool { return n.ctx.Err() == nil }

// live lists the instances that were not killed.
func (w *world) live() []*node {
	var nodes []*node
	for _, n := range w.nodes {
		if n.alive() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

var _ external.Log = (*link)(nil)
