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

// node is one instance under test. Faults can be injected between it and the
// log.
type node struct {
	*Journal
	t       *testing.T
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	logLink *logLink
	// heartbeats and events, its log lines, are set by startPeer.
	heartbeats *member.Heartbeats
	events     *bytes.Buffer
}

// logLink is the connection of one instance to the log. Its faults affect this
// instance only.
type logLink struct {
	external.Log
	mu    sync.Mutex
	fault memlog.FaultFunc
	// hook applies to one append and readHook to one page. Each is removed
	// after use.
	hook     appendHook
	readHook readHook
}

// appendHook returns a function to run in place of an append. It reports false
// if it does not apply to the append.
type appendHook func(stream string, payload []byte) (do func() error, applies bool)

// readHook returns the page to deliver and a function to run before delivery.
// It reports false if it does not apply to the page.
type readHook func(page external.Page) (changed external.Page, do func() error, applies bool)

func (l *logLink) setHook(hook appendHook) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hook = hook
}

func (l *logLink) setReadHook(hook readHook) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readHook = hook
}

// takeAppendHook removes and returns the hook if it applies to an append.
func (l *logLink) takeAppendHook(stream string, payload []byte) (func() error, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hook == nil {
		return nil, false
	}
	do, applies := l.hook(stream, payload)
	if applies {
		l.hook = nil
	}
	return do, applies
}

// takeReadHook removes and returns the hook if it applies to a page.
func (l *logLink) takeReadHook(page external.Page) (external.Page, func() error, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readHook == nil {
		return page, nil, false
	}
	changed, do, applies := l.readHook(page)
	if applies {
		l.readHook = nil
	}
	return changed, do, applies
}

func (l *logLink) setFault(fault memlog.FaultFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// replace replaces the log behind the link.
func (l *logLink) replace(log external.Log) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Log = log
}

func (l *logLink) log() external.Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Log
}

func (l *logLink) faultFor(operation, stream string, payload []byte) memlog.Fault {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	if fault == nil {
		return memlog.None
	}
	return fault(operation, stream, payload)
}

func (l *logLink) Append(ctx context.Context, stream string, payload []byte) (protocol.Offset, error) {
	if do, applies := l.takeAppendHook(stream, payload); applies {
		return protocol.NoOffset, do()
	}
	switch l.faultFor("append", stream, payload) {
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

func (l *logLink) Read(ctx context.Context, stream string, from protocol.Offset, limit int, wait time.Duration) (external.Page, error) {
	switch l.faultFor("read", stream, nil) {
	case memlog.None:
		page, err := l.log().Read(ctx, stream, from, limit, wait)
		if stream != protocol.ControlStream {
			return page, err
		}
		if changed, do, applies := l.takeReadHook(page); applies {
			return changed, do()
		}
		return page, err
	case memlog.Hang:
		<-ctx.Done()
	}
	return external.Page{}, external.ErrUnavailable
}

func allDown(string, string, []byte) memlog.Fault { return memlog.Down }

// appendsDown makes appends fail and lets reads succeed.
func appendsDown(operation, _ string, _ []byte) memlog.Fault {
	if operation == "append" {
		return memlog.Down
	}
	return memlog.None
}

// faultOnce injects a fault into the first matching append to the control
// stream.
func faultOnce(fault memlog.Fault, matches func(*protocol.Frame) bool) memlog.FaultFunc {
	var mu sync.Mutex
	injected := false
	return func(operation, stream string, payload []byte) memlog.Fault {
		if operation != "append" || stream != protocol.ControlStream {
			return memlog.None
		}
		frame, err := protocol.DecodeFrame(payload)
		mu.Lock()
		defer mu.Unlock()
		if err != nil || injected || !matches(&frame) {
			return memlog.None
		}
		injected = true
		return fault
	}
}

// startTwo starts two instances on one log and waits until both may hold
// leases.
func startTwo(t *testing.T) (log *memlog.Log, a, b *node) {
	t.Helper()
	log = memlog.New(memlog.Options{})
	a, b = startNode(t, log, "a"), startNode(t, log, "b")
	a.waitReady()
	b.waitReady()
	return log, a, b
}

// startNode runs an instance on a log until the test ends or the instance is
// killed.
func startNode(t *testing.T, log external.Log, name string, adjust ...func(*Options)) *node {
	t.Helper()
	l := &logLink{Log: log}
	opts := Options{
		Log:         l,
		Instance:    protocol.InstanceID(name),
		Domain:      "pnw-sea",
		PeerAddress: name + ":7000",
		Seed:        uint64(len(name)),
		NewSession:  sessionIDs(name),
	}
	for _, f := range adjust {
		f(&opts)
	}
	n := &node{Journal: New(opts), t: t, logLink: l}
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

// sessionIDs returns a generator of distinct, reproducible session IDs.
func sessionIDs(name string) func() protocol.SessionID {
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

// kill ends an instance without closing its session, as SIGKILL does.
func (n *node) kill() {
	n.cancel()
	n.done.Wait()
}

// await lets virtual time pass until a condition holds, and returns the time
// that passed.
func await(t *testing.T, limit time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		synctest.Wait()
		if condition() {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			require.Fail(t, fmt.Sprintf("not within %v: %s", limit, description))
		}
		<-time.After(10 * time.Millisecond)
	}
}

func (n *node) waitReady() {
	n.t.Helper()
	await(n.t, 20*time.Second, "session of "+string(n.opts.Instance), func() bool { return n.Session() != 0 && n.MayHold() && n.LogUp() })
}

func sleep(d time.Duration) { <-time.After(d) }

func (n *node) mustSubmit(rec protocol.Record) protocol.Verdict {
	n.t.Helper()
	outcome := n.Submit(n.t.Context(), rec)
	require.Equal(n.t, protocol.Completed, outcome.Run, "cause: %v", outcome.Err)
	return outcome.Verdict
}

func leaseClaim(resource protocol.Resource, replaces protocol.Offset) protocol.Record {
	return protocol.Record{LeaseClaim: &protocol.LeaseClaim{Resource: resource, Replaces: replaces}}
}

func hasLeaseClaim(frame *protocol.Frame) bool {
	for i := range frame.Records {
		if frame.Records[i].LeaseClaim != nil {
			return true
		}
	}
	return false
}
