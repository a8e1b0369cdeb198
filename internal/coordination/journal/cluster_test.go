package journal

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/state/replica"
)

// recorder keeps every entry of the control stream for the checker, also after
// retention removed it from the stream.
type recorder struct {
	external.Log
	mu      sync.Mutex
	entries [][]byte
}

func (r *recorder) Append(ctx context.Context, stream string, payload []byte) (protocol.Offset, error) {
	if stream != protocol.ControlStream {
		return r.Log.Append(ctx, stream, payload)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, err := r.Log.Append(ctx, stream, payload)
	if err == nil {
		r.entries = append(r.entries, bytes.Clone(payload))
	}
	return at, err
}

// cluster runs three instances on one log, with a checker of invariants. It
// collects violations and does not fail the test, so that a test can require
// that a faulty variant causes one.
type cluster struct {
	t        *testing.T
	memLog   *memlog.Log
	recorder *recorder
	network  *network
	nodes    []*node
	adjust   []func(*Options)
	// singleFault reports that the test injects only one fault.
	singleFault bool

	mu         sync.Mutex
	killed     map[*node]bool
	versions   map[*node]protocol.Offset
	withdrawn  map[*node]bool
	violations []string

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// sharedResource is the resource that every instance tries to hold. knownKey is
// the key that is in force from the start.
const (
	sharedResource protocol.Resource = "orders/t1"
	knownKey       protocol.KeyID    = "key-1"
)

func newCluster(t *testing.T, adjust ...func(*Options)) *cluster {
	memLog := memlog.New(memlog.Options{})
	cl := &cluster{
		t:         t,
		memLog:    memLog,
		recorder:  &recorder{Log: memLog},
		network:   newNetwork(),
		adjust:    adjust,
		killed:    map[*node]bool{},
		versions:  map[*node]protocol.Offset{},
		withdrawn: map[*node]bool{},
	}
	cl.ctx, cl.cancel = context.WithCancel(context.Background())
	t.Cleanup(cl.close)
	return cl
}

func (cl *cluster) close() {
	cl.cancel()
	cl.tasks.Wait()
}

// startInstance adds an instance that tries to hold sharedResource.
func (cl *cluster) startInstance(name string, instance protocol.InstanceID) *node {
	adjust := append([]func(*Options){func(o *Options) {
		o.Instance = instance
		o.Timings.SnapshotEntries = 10
	}}, cl.adjust...)
	n := startPeer(cl.t, cl.recorder, cl.network, name, "pnw-sea", adjust...)
	cl.mu.Lock()
	cl.nodes = append(cl.nodes, n)
	cl.versions[n] = protocol.NoOffset
	cl.mu.Unlock()
	cl.tasks.Go(func() { cl.keepClaiming(n) })
	return n
}

// keepClaiming claims sharedResource whenever the instance sees that it is
// free.
func (cl *cluster) keepClaiming(n *node) {
	for cl.ctx.Err() == nil {
		<-time.After(200 * time.Millisecond)
		free, last := false, protocol.NoOffset
		n.View(func(s *replica.State) {
			_, _, held := s.Leases.Holder(sharedResource)
			lease, _ := s.Leases.Last(sharedResource)
			free, last = !held, lease.Fence
		})
		if free && n.MayHold() {
			ctx, cancel := context.WithTimeout(cl.ctx, 5*time.Second)
			n.Submit(ctx, leaseClaim(sharedResource, last))
			cancel()
		}
	}
}

// startAll starts three instances, of which a holds sharedResource, publishes a
// first configuration and starts the checker.
func (cl *cluster) startAll() (a, b, c *node) {
	a = cl.startInstance("a", "a")
	await(cl.t, 20*time.Second, "lease at a", func() bool { return holdsLease(a, sharedResource) })
	b, c = cl.startInstance("b", "b"), cl.startInstance("c", "c")
	for _, n := range cl.nodes {
		n.waitReady()
	}
	a.mustSubmit(fleetChange("first", protocol.NoOffset, organisation("o", 1), keyObject(knownKey, "o", "1")))
	<-time.After(time.Second)
	cl.tasks.Go(cl.checkLoop)
	return a, b, c
}

func (cl *cluster) checkLoop() {
	for cl.ctx.Err() == nil {
		cl.checkInvariants()
		<-time.After(50 * time.Millisecond)
	}
}

func (cl *cluster) addViolation(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.violations = append(cl.violations, fmt.Sprintf(format, args...))
}

// liveNodes returns the instances that were not killed.
func (cl *cluster) liveNodes() []*node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var live []*node
	for _, n := range cl.nodes {
		if !cl.killed[n] {
			live = append(live, n)
		}
	}
	return live
}

// killNode marks an instance as killed and ends it without waiting for its
// services.
func (cl *cluster) killNode(n *node) {
	cl.mu.Lock()
	cl.killed[n] = true
	cl.mu.Unlock()
	n.cancel()
	cl.network.setDisconnected(n.opts.PeerAddress, true)
}

// holdsLease reports whether an instance considers itself the holder of a
// resource.
func holdsLease(n *node, resource protocol.Resource) bool {
	isHolder := false
	n.View(func(s *replica.State) {
		holder, _, held := s.Leases.Holder(resource)
		isHolder = held && holder == n.Session()
	})
	return isHolder && n.MayHold()
}

// checkInvariants checks what must hold at all times: sharedResource has at
// most one holder, and the configuration never returns to an older version and
// never reactivates a withdrawn key.
func (cl *cluster) checkInvariants() {
	holders := 0
	for _, n := range cl.liveNodes() {
		if holdsLease(n, sharedResource) {
			holders++
		}
		cl.checkFleet(n)
	}
	if holders > 1 {
		cl.addViolation("%d instances believe that they hold %s", holders, sharedResource)
	}
}

func (cl *cluster) checkFleet(n *node) {
	fleet := n.Fleet()
	cl.mu.Lock()
	before := cl.versions[n]
	cl.versions[n] = fleet.Version
	cl.mu.Unlock()
	if fleet.Version < before {
		cl.addViolation("configuration of %s went from version %d back to %d", n.opts.Instance, before, fleet.Version)
	}
	if cl.withdrawn[n] && n.KeyActive(knownKey) {
		cl.addViolation("withdrawn key is active again at %s", n.opts.Instance)
	}
	cl.withdrawn[n] = fleet.Keys[knownKey].Withdrawn
}

// replayAll replays the recorded entries up to an offset with the unmodified
// replay rules, and calls visit with each record and its verdict. It returns
// the state at that offset.
func (cl *cluster) replayAll(until protocol.Offset, visit func(*protocol.Record, protocol.Verdict)) *replica.State {
	cl.recorder.mu.Lock()
	defer cl.recorder.mu.Unlock()
	state := replica.New()
	for i, payload := range cl.recorder.entries {
		if protocol.Offset(i) > until {
			break
		}
		frame, err := protocol.DecodeFrame(payload)
		if err != nil {
			state.Skip(protocol.Offset(i))
			continue
		}
		for k, verdict := range state.Apply(protocol.Offset(i), frame) {
			visit(&frame.Records[k], verdict)
		}
	}
	return state
}

const endOfLog = protocol.Offset(1 << 40)

// countAccepted counts the accepted records that match.
func (cl *cluster) countAccepted(matches func(*protocol.Record) bool) int {
	accepted := 0
	cl.replayAll(endOfLog, func(rec *protocol.Record, verdict protocol.Verdict) {
		if verdict == protocol.Accepted && matches(rec) {
			accepted++
		}
	})
	return accepted
}

// checkOutcome compares an outcome with the records in the stream.
func (cl *cluster) checkOutcome(outcome coordination.Outcome, matches func(*protocol.Record) bool) {
	accepted := cl.countAccepted(matches)
	if accepted > 1 {
		cl.addViolation("the record was accepted %d times", accepted)
	}
	switch {
	case outcome.Accepted() && accepted != 1:
		cl.addViolation("outcome is accepted, but replay accepted the record %d times", accepted)
	case outcome.Run == protocol.NotRun && accepted != 0:
		cl.addViolation("outcome is not run (%v), but replay accepted the record", outcome.Err)
	case outcome.Run == protocol.Completed && !outcome.Accepted() && accepted != 0:
		cl.addViolation("outcome is %s, but replay accepted the record", outcome.Verdict)
	}
}

// checkRecovered waits, checks that all live instances work again, and compares
// their states with a replay of the whole stream.
func (cl *cluster) checkRecovered() {
	<-time.After(40 * time.Second)
	for _, n := range cl.liveNodes() {
		if !n.LogUp() || !n.MayHold() {
			cl.addViolation("%s has not recovered: session=%v up=%v problem=%q", n.opts.Instance, n.Session(), n.LogUp(), n.Problem())
		}
		applied, got, err := n.Snapshot()
		if err != nil {
			cl.addViolation("snapshot of %s: %v", n.opts.Instance, err)
		}
		want, _ := cl.replayAll(applied, func(*protocol.Record, protocol.Verdict) {}).Snapshot()
		if !bytes.Equal(got, want) {
			cl.addViolation("the state of %s differs from a replay from the start", n.opts.Instance)
		}
	}
	held := false
	for _, n := range cl.liveNodes() {
		held = held || holdsLease(n, sharedResource)
	}
	if !held {
		cl.addViolation("no instance holds %s", sharedResource)
	}
}
