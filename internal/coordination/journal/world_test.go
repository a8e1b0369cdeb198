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

// recorder keeps every entry of the control stream for the checker, whatever
// the stream itself forgets.
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

// world is three instances on one log, with a checker that watches what must
// always hold. Violations are collected, so that a broken variant can be shown
// to cause some.
type world struct {
	t       *testing.T
	memory  *memlog.Log
	record  *recorder
	network *network
	nodes   []*node
	adjust  []func(*Options)
	// single says that only one fault strikes.
	single bool

	mu         sync.Mutex
	dead       map[*node]bool
	versions   map[*node]protocol.Offset
	withdrawn  map[*node]bool
	violations []string

	ctx    context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup
}

// The resource that every instance wants to hold, and the key that is in force
// from the start.
const (
	duty  protocol.Resource = "orders/t1"
	given protocol.KeyID    = "key-1"
)

func newWorld(t *testing.T, adjust ...func(*Options)) *world {
	memory := memlog.New(memlog.Options{})
	w := &world{
		t:         t,
		memory:    memory,
		record:    &recorder{Log: memory},
		network:   newNetwork(),
		adjust:    adjust,
		dead:      map[*node]bool{},
		versions:  map[*node]protocol.Offset{},
		withdrawn: map[*node]bool{},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
	w.cancel()
	w.duties.Wait()
}

// start adds an instance that wants the duty.
func (w *world) start(name string, instance protocol.InstanceID) *node {
	adjust := append([]func(*Options){func(o *Options) {
		o.Instance = instance
		o.Timings.SnapshotEvery = 10
	}}, w.adjust...)
	n := startPeer(w.t, w.record, w.network, name, "pnw-sea", adjust...)
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.versions[n] = protocol.NoOffset
	w.mu.Unlock()
	w.duties.Go(func() { w.seek(n) })
	return n
}

// seek claims the duty whenever the instance sees it free.
func (w *world) seek(n *node) {
	for w.ctx.Err() == nil {
		<-time.After(200 * time.Millisecond)
		free, last := false, protocol.NoOffset
		n.View(func(s *replica.State) {
			_, _, held := s.Leases.Holder(duty)
			lease, _ := s.Leases.Last(duty)
			free, last = !held, lease.Fence
		})
		if free && n.MayHold() {
			ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
			n.Submit(ctx, claim(duty, last))
			cancel()
		}
	}
}

// begin starts three instances of which a holds the duty, publishes a first configuration and starts the
// checker.
func (w *world) begin() (a, b, c *node) {
	a = w.start("a", "a")
	await(w.t, 20*time.Second, "duty at a", func() bool { return holds(a, duty) })
	b, c = w.start("b", "b"), w.start("c", "c")
	for _, n := range w.nodes {
		n.ready()
	}
	a.put(change("first", protocol.NoOffset, organisation("o", 1), keyOf(given, "o", "1")))
	<-time.After(time.Second)
	w.duties.Go(w.watch)
	return a, b, c
}

func (w *world) watch() {
	for w.ctx.Err() == nil {
		w.check()
		<-time.After(50 * time.Millisecond)
	}
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// alive returns the instances that were not killed.
func (w *world) alive() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var alive []*node
	for _, n := range w.nodes {
		if !w.dead[n] {
			alive = append(alive, n)
		}
	}
	return alive
}

// die marks an instance as killed and ends it without waiting for it.
func (w *world) die(n *node) {
	w.mu.Lock()
	w.dead[n] = true
	w.mu.Unlock()
	n.cancel()
	w.network.setCut(n.opts.PeerAddress, true)
}

// holds reports whether an instance believes that it may do the duty.
func holds(n *node, resource protocol.Resource) bool {
	believes := false
	n.View(func(s *replica.State) {
		holder, _, held := s.Leases.Holder(resource)
		believes = held && holder == n.Session()
	})
	return believes && n.MayHold()
}

// check looks at what must hold at every moment: one holder of the duty, and a
// configuration that never goes back and never revives a key.
func (w *world) check() {
	holders := 0
	for _, n := range w.alive() {
		if holds(n, duty) {
			holders++
		}
		w.checkFleet(n)
	}
	if holders > 1 {
		w.violate("%d instances believe that they hold %s", holders, duty)
	}
}

func (w *world) checkFleet(n *node) {
	fleet := n.Fleet()
	w.mu.Lock()
	before := w.versions[n]
	w.versions[n] = fleet.Version
	w.mu.Unlock()
	if fleet.Version < before {
		w.violate("configuration of %s went back from %d to %d", n.opts.Instance, before, fleet.Version)
	}
	if w.withdrawn[n] && n.KeyActive(given) {
		w.violate("withdrawn key works again at %s", n.opts.Instance)
	}
	w.withdrawn[n] = fleet.Keys[given].Withdrawn
}

// truth replays all that was ever appended, by the true rules, and calls visit
// with each record and its verdict. It returns the state at the offset.
func (w *world) truth(until protocol.Offset, visit func(*protocol.Record, protocol.Verdict)) *replica.State {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	state := replica.New()
	for i, payload := range w.record.entries {
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

const everything = protocol.Offset(1 << 40)

// stood counts the accepted records of a kind.
func (w *world) stood(matches func(*protocol.Record) bool) int {
	count := 0
	w.truth(everything, func(rec *protocol.Record, verdict protocol.Verdict) {
		if verdict == protocol.Accepted && matches(rec) {
			count++
		}
	})
	return count
}

// judge compares an outcome with what really stands in the stream.
func (w *world) judge(outcome coordination.Outcome, matches func(*protocol.Record) bool) {
	stood := w.stood(matches)
	if stood > 1 {
		w.violate("the record had its effect %d times", stood)
	}
	switch {
	case outcome.Accepted() && stood != 1:
		w.violate("outcome is accepted, but the record stands %d times", stood)
	case outcome.Run == protocol.NotRun && stood != 0:
		w.violate("outcome is not run (%v), but the record stands", outcome.Err)
	case outcome.Run == protocol.Completed && !outcome.Accepted() && stood != 0:
		w.violate("outcome is %s, but the record was accepted", outcome.Verdict)
	}
}

// settleDown waits until all live instances work again, and compares their
// states with a replay of the whole stream.
func (w *world) settleDown() {
	<-time.After(40 * time.Second)
	for _, n := range w.alive() {
		if !n.LogUp() || !n.MayHold() {
			w.violate("%s does not work again: session=%v up=%v trouble=%q", n.opts.Instance, n.Session(), n.LogUp(), n.Problem())
		}
		applied, got, err := n.Snapshot()
		if err != nil {
			w.violate("snapshot of %s: %v", n.opts.Instance, err)
		}
		want, _ := w.truth(applied, func(*protocol.Record, protocol.Verdict) {}).Snapshot()
		if !bytes.Equal(got, want) {
			w.violate("the state of %s differs from a replay from the start", n.opts.Instance)
		}
	}
	held := false
	for _, n := range w.alive() {
		held = held || holds(n, duty)
	}
	if !held {
		w.violate("nobody holds %s", duty)
	}
}
