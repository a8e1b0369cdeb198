package journal

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/member"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
)

// node is one instance under test, with a switch between it and the log.
type node struct {
	*Journal
	t      *testing.T
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	link   *link
	// heartbeats and their log lines are set by startPeer.
	heartbeats *member.Heartbeats
	events     *bytes.Buffer
}

// link is the way of one instance to the log. It can be cut for this instance
// alone.
type link struct {
	external.Log
	mu    sync.Mutex
	fault memlog.FaultFunc
	// hook and readHook meet one append, or one page, and are then removed.
	hook     appendHook
	readHook readHook
}

// appendHook returns what to do instead of an append, if it wants that one.
type appendHook func(stream string, payload []byte) (do func() error, hit bool)

// readHook returns the page to deliver, and what happens before.
type readHook func(page external.Page) (changed external.Page, do func() error, hit bool)

func (l *link) setHook(hook appendHook) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hook = hook
}

func (l *link) setReadHook(hook readHook) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readHook = hook
}

// struckAppend takes the hook if it wants an append.
func (l *link) struckAppend(stream string, payload []byte) (func() error, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hook == nil {
		return nil, false
	}
	do, hit := l.hook(stream, payload)
	if hit {
		l.hook = nil
	}
	return do, hit
}

// struckRead takes the hook if it wants a page.
func (l *link) struckRead(page external.Page) (external.Page, func() error, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readHook == nil {
		return page, nil, false
	}
	changed, do, hit := l.readHook(page)
	if hit {
		l.readHook = nil
	}
	return changed, do, hit
}

func (l *link) set(fault memlog.FaultFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// replace puts another log in the place of the present one.
func (l *link) replace(log external.Log) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Log = log
}

func (l *link) log() external.Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Log
}

func (l *link) decide(operation, stream string, payload []byte) memlog.Fault {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	if fault == nil {
		return memlog.None
	}
	return fault(operation, stream, payload)
}

func (l *link) Append(ctx context.Context, stream string, payload []byte) (protocol.Offset, error) {
	if do, hit := l.struckAppend(stream, payload); hit {
		return protocol.NoOffset, do()
	}
	switch l.decide("append", stream, payload) {
	case memlog.Down:
		return protocol.NoOffset, external.ErrUnavailable
	case memlog.Throttle:
		return protocol.NoOffset, external.ErrThrottled
	case memlog.Hang:
		<-ctx.Done()
		return protocol.NoOffset, external.ErrUnavailable
	case memlog.LoseAnswer:
		_, _ = l.log().Append(ctx, stream, payload)
		return protocol.NoOffset, external.ErrUnavailable
	}
	return l.log().Append(ctx, stream, payload)
}

func (l *link) Read(ctx context.Context, stream string, from protocol.Offset, limit int, wait time.Duration) (external.Page, error) {
	switch l.decide("read", stream, nil) {
	case memlog.None:
		page, err := l.log().Read(ctx, stream, from, limit, wait)
		if stream != protocol.ControlStream {
			return page, err
		}
		if changed, do, hit := l.struckRead(page); hit {
			return changed, do()
		}
		return page, err
	case memlog.Hang:
		<-ctx.Done()
	}
	return external.Page{}, external.ErrUnavailable
}

func down(string, string, []byte) memlog.Fault { return memlog.Down }

// appendsDown lets reads pass.
func appendsDown(operation, _ string, _ []byte) memlog.Fault {
	if operation == "append" {
		return memlog.Down
	}
	return memlog.None
}

// once shows a fault on the first matching append to the control stream.
func once(fault memlog.Fault, matches func(*protocol.Frame) bool) memlog.FaultFunc {
	var mu sync.Mutex
	shown := false
	return func(operation, stream string, payload []byte) memlog.Fault {
		if operation != "append" || stream != protocol.ControlStream {
			return memlog.None
		}
		frame, err := protocol.DecodeFrame(payload)
		mu.Lock()
		defer mu.Unlock()
		if err != nil || shown || !matches(&frame) {
			return memlog.None
		}
		shown = true
		return fault
	}
}

// startTwo starts two instances over one log and waits until both may serve.
func startTwo(t *testing.T) (log *memlog.Log, a, b *node) {
	t.Helper()
	log = memlog.New(memlog.Options{})
	a, b = startNode(t, log, "a"), startNode(t, log, "b")
	a.ready()
	b.ready()
	return log, a, b
}

// startNode runs an instance on a log until the test ends or it is killed.
func startNode(t *testing.T, log external.Log, name string, adjust ...func(*Options)) *node {
	t.Helper()
	l := &link{Log: log}
	opts := Options{
		Log:         l,
		Instance:    protocol.InstanceID(name),
		Domain:      "pnw-sea",
		PeerAddress: name + ":7000",
		Seed:        uint64(len(name)),
		NewSession:  sessionsOf(name),
	}
	for _, f := range adjust {
		f(&opts)
	}
	n := &node{Journal: New(opts), t: t, link: l}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for _, service := range n.Services() {
		n.run(service)
	}
	t.Cleanup(n.kill)
	return n
}

func (n *node) run(service suture.Service) {
	n.done.Go(func() { _ = service.Serve(n.ctx) })
}

// sessionsOf draws distinct, repeatable session ids.
func sessionsOf(name string) func() protocol.SessionID {
	var count uint64
	var base uint64
	for _, char := range name {
		base = base*131 + uint64(char)
	}
	return func() protocol.SessionID {
		count++
		return protocol.SessionID(base<<16 + count)
	}
}

// kill ends an instance without any farewell, as SIGKILL does.
func (n *node) kill() {
	n.cancel()
	n.done.Wait()
}

// await lets virtual time pass until a condition holds.
func await(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		synctest.Wait()
		if condition() {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			require.Fail(t, fmt.Sprintf("not within %v: %s", limit, what))
		}
		<-time.After(10 * time.Millisecond)
	}
}

func (n *node) ready() {
	n.t.Helper()
	await(n.t, 20*time.Second, "session of "+string(n.opts.Instance), func() bool { return n.Session() != 0 && n.MayHold() && n.LogUp() })
}

func pass(d time.Duration) { <-time.After(d) }

func (n *node) put(rec protocol.Record) protocol.Verdict {
	n.t.Helper()
	outcome := n.Submit(n.t.Context(), rec)
	require.Equal(n.t, protocol.Completed, outcome.Run, "cause: %v", outcome.Err)
	return outcome.Verdict
}

func claim(resource protocol.Resource, replaces protocol.Offset) protocol.Record {
	return protocol.Record{LeaseClaim: &protocol.LeaseClaim{Resource: resource, Replaces: replaces}}
}

func isClaim(frame *protocol.Frame) bool {
	for i := range frame.Records {
		if frame.Records[i].LeaseClaim != nil {
			return true
		}
	}
	return false
}
