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
	cascadia      protocol.OrganisationID = "cascadia"
	dobrescu      protocol.OrganisationID = "dobrescu"
	model         protocol.ModelName      = "tiller-8b"
	reportService protocol.ServiceName    = "tiller-reports"
	path                                  = "/v1/chat/completions"
)

// variant replaces parts of the product by broken ones, to test that the checks
// detect the defect.
type variant struct {
	journal func(coordination.Journal) coordination.Journal
	// executor replaces the journal of the executor only.
	executor func(coordination.Journal) coordination.Journal
	// caller replaces the component that makes non-idempotent calls.
	caller func(online.AtMostOnceCaller) online.AtMostOnceCaller
	// lines replaces the result lines that the caller of a job receives.
	lines func(*testFleet, protocol.JobID) []line
}

// testFleet is a fleet of instances on one in-memory log.
type testFleet struct {
	t          *testing.T
	ctx        context.Context
	cancel     context.CancelFunc
	log        *memlog.Log
	nodes      []*node
	targets    *targets
	injections []*injection
	variant    variant
	opts       batch.Options
	calls      oncecall.Options
	// slotsPerInstance is the number of slots that each instance has at targets.
	slotsPerInstance int
	// slotCounts holds the number of slots of each instance, if set.
	slotCounts []int

	background  sync.WaitGroup
	mu          sync.Mutex
	waiting     []*waiter
	resumedTime time.Time
}

// testOptions returns options with short intervals.
func testOptions() batch.Options {
	return batch.Options{
		FlushAfter:     5 * time.Second,
		DeadlineMargin: 10 * time.Second,
		MaxInFlight:    32,
		MaxHeldChunks:  3,
		BackoffMax:     5 * time.Second,
	}
}

func newTestFleet(t *testing.T, count int, v variant, plans ...*injection) *testFleet {
	return newTestFleetWith(t, count, func(tf *testFleet) {
		tf.variant = v
		tf.injections = plans
	})
}

// newTestFleetWith starts a fleet after setup has changed its options.
func newTestFleetWith(t *testing.T, count int, setup func(*testFleet)) *testFleet {
	ctx, cancel := context.WithCancel(context.Background())
	tf := &testFleet{
		t:                t,
		ctx:              ctx,
		cancel:           cancel,
		log:              memlog.New(memlog.Options{}),
		targets:          newTargets(),
		opts:             testOptions(),
		slotsPerInstance: 16,
	}
	setup(tf)
	for i := range count {
		tf.start(fmt.Sprintf("pnw-%d", i))
	}
	t.Cleanup(tf.stop)
	tf.configure()
	return tf
}

func (tf *testFleet) stop() {
	tf.cancel()
	for _, n := range tf.nodes {
		n.crash()
		n.done.Wait()
	}
	tf.background.Wait()
}

// configure publishes the fleet configuration and waits until all instances have
// applied it.
func (tf *testFleet) configure() {
	tf.await(20*time.Second, "sessions", func() bool {
		for _, n := range tf.nodes {
			if n.Session() == 0 || !n.MayHold() || !n.LogUp() {
				return false
			}
		}
		return true
	})
	outcome := tf.nodes[0].Submit(tf.ctx, protocol.Record{FleetChange: &protocol.FleetChange{
		ChangeID: "one",
		BasedOn:  protocol.NoOffset,
		Operator: "test",
		Set: []protocol.FleetObject{
			{Organisation: &protocol.Organisation{ID: cascadia, Rate: 10, Burst: 10}},
			{Organisation: &protocol.Organisation{ID: dobrescu, Rate: 10, Burst: 10}},
			{Service: &protocol.Service{Name: reportService, Kind: protocol.KindModel, Repeatable: true}},
			{Model: &protocol.Model{Name: model, Service: reportService}},
		},
	}})
	require.True(tf.t, outcome.Accepted(), "%+v", outcome)
	tf.await(5*time.Second, "configuration", func() bool {
		for _, n := range tf.nodes {
			if len(n.Fleet().Models) == 0 {
				return false
			}
		}
		return true
	})
}

// await lets virtual time pass until a condition holds, and fails the test after
// limit.
func (tf *testFleet) await(limit time.Duration, what string, condition func() bool) {
	tf.t.Helper()
	require.True(tf.t, tf.waitFor(limit, condition), "not within %v: %s", limit, what)
}

func (tf *testFleet) waitFor(limit time.Duration, condition func() bool) bool {
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

// node is one instance of the fleet.
type node struct {
	*journal.Journal
	fleet          *testFleet
	name           string
	ctx            context.Context
	cancel         context.CancelFunc
	done           sync.WaitGroup
	link           *link
	variantJournal coordination.Journal
	service        *batch.Service
	executor       *batch.Executor
	caller         online.AtMostOnceCaller
	refresher      *batch.DataRefresher
	slots          *slots
	// delivering is set while the instance reads results for a caller.
	delivering atomic.Bool
}

func (tf *testFleet) start(name string) *node {
	n := &node{fleet: tf, name: name, link: newLink(tf.log)}
	n.ctx, n.cancel = context.WithCancel(tf.ctx)
	n.slots = newSlots(tf.slotCountOf(len(tf.nodes)))
	n.link.node = n
	n.Journal = journal.New(journal.Options{
		Log:        n.link,
		Instance:   protocol.InstanceID(name),
		Domain:     "pnw-sea",
		Seed:       uint64(len(tf.nodes)),
		NewSession: sessionsOf(uint64(len(tf.nodes) + 1)),
	})
	n.variantJournal = n.Journal
	if tf.variant.journal != nil {
		n.variantJournal = tf.variant.journal(n.Journal)
	}
	logger := log.NewNopLogger()
	n.service = batch.NewService(n.variantJournal, tf.opts, logger)
	n.service.OnCancel = func(job protocol.JobID) { tf.notifyCancel(n, job) }
	executing := n.variantJournal
	if tf.variant.executor != nil {
		executing = tf.variant.executor(n.variantJournal)
	}
	n.executor = batch.NewExecutor("", executing, n.slots, &runner{n}, tf.opts, logger)
	calls := oncecall.New("", n.variantJournal, tf.calls, logger)
	n.caller = calls
	if tf.variant.caller != nil {
		n.caller = tf.variant.caller(calls)
	}
	n.refresher = batch.NewDataRefresher(n.variantJournal, tf.opts, logger)
	tf.nodes = append(tf.nodes, n)
	services := append(n.Services(), n.executor.Services()...)
	services = append(services, batch.NewJobReaper(n.variantJournal, tf.opts, logger), n.refresher, calls.Recorder(), calls.Pruner())
	for _, service := range services {
		n.done.Go(func() { _ = service.Serve(n.ctx) })
	}
	return n
}

// notifyCancel sends a cancel to the other instances, as the notices between
// instances do. Notices do not use the log. A notice to a paused instance times
// out.
func (tf *testFleet) notifyCancel(from *node, job protocol.JobID) {
	for _, n := range tf.nodes {
		if n != from && n.ctx.Err() == nil && !n.link.isPaused() {
			n.executor.StopJob(job)
		}
	}
}

func (tf *testFleet) slotCountOf(index int) int {
	if tf.slotCounts == nil {
		return tf.slotsPerInstance
	}
	return tf.slotCounts[index%len(tf.slotCounts)]
}

// sessionsOf returns a generator of distinct and reproducible session ids.
func sessionsOf(base uint64) func() protocol.SessionID {
	var count uint64
	return func() protocol.SessionID {
		count++
		return protocol.SessionID(base<<16 + count)
	}
}

func (n *node) alive() bool { return n.ctx.Err() == nil }

// live returns the instances that were not killed.
func (tf *testFleet) live() []*node {
	var nodes []*node
	for _, n := range tf.nodes {
		if n.alive() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

var _ external.Log = (*link)(nil)
