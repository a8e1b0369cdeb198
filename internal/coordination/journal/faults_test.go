package journal

import (
	"bytes"
	"context"
	"slices"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/state/replica"
)

// faultDuration is well above the time after which a session expires.
const faultDuration = 20 * time.Second

// injectFunc injects a fault when an instance appends a record or reads it
// back. forward does the intended operation.
type injectFunc func(cl *cluster, n *node, forward func() error) error

// fault is one column of the matrix.
type fault struct {
	name   string
	inject injectFunc
	// mustBeAccepted requires that a submitter which waits longer than the
	// fault learns that its record was accepted.
	mustBeAccepted bool
	// keepsSessions requires that the fault ends no session.
	keepsSessions bool
	// kills reports that the fault kills the instance.
	kills bool
}

var faults = []fault{
	{name: "kill-before", kills: true, inject: func(cl *cluster, n *node, _ func() error) error {
		cl.killNode(n)
		return external.ErrUnavailable
	}},
	{name: "kill-after", kills: true, inject: func(cl *cluster, n *node, forward func() error) error {
		_ = forward()
		cl.killNode(n)
		return external.ErrUnavailable
	}},
	{name: "pause-past-lease", inject: func(_ *cluster, n *node, forward func() error) error {
		n.logLink.suspend(faultDuration)
		<-time.After(faultDuration)
		return forward()
	}},
	{name: "log-down", mustBeAccepted: true, keepsSessions: true, inject: func(cl *cluster, _ *node, _ func() error) error {
		cl.memLog.SetFault(allDown)
		cl.after(faultDuration, func() { cl.memLog.SetFault(nil) })
		return external.ErrUnavailable
	}},
	{name: "appends-down", mustBeAccepted: true, keepsSessions: true, inject: func(cl *cluster, _ *node, _ func() error) error {
		cl.memLog.SetFault(appendsDown)
		cl.after(faultDuration, func() { cl.memLog.SetFault(nil) })
		return external.ErrUnavailable
	}},
	{name: "log-back-unevenly", mustBeAccepted: true, keepsSessions: true, inject: func(cl *cluster, _ *node, _ func() error) error {
		alive := cl.liveNodes()
		for i, n := range alive {
			n.logLink.setFault(allDown)
			order := time.Duration(len(alive) - 1 - i)
			cl.after(faultDuration+2*time.Second*order, func() { n.logLink.setFault(nil) })
		}
		return external.ErrUnavailable
	}},
	{name: "answer-lost", mustBeAccepted: true, keepsSessions: true, inject: func(_ *cluster, _ *node, forward func() error) error {
		_ = forward()
		return external.ErrUnavailable
	}},
	{name: "duplicate", mustBeAccepted: true, keepsSessions: true, inject: func(_ *cluster, _ *node, forward func() error) error {
		err := forward()
		_ = forward()
		return err
	}},
	{name: "late", mustBeAccepted: true, keepsSessions: true, inject: func(cl *cluster, _ *node, forward func() error) error {
		cl.after(faultDuration, func() { _ = forward() })
		return external.ErrUnavailable
	}},
	{name: "cut-from-log", inject: func(cl *cluster, n *node, _ func() error) error {
		n.logLink.setFault(allDown)
		cl.after(faultDuration, func() { n.logLink.setFault(nil) })
		return external.ErrUnavailable
	}},
	{name: "cut-from-domain", mustBeAccepted: true, keepsSessions: true, inject: func(cl *cluster, n *node, forward func() error) error {
		cl.network.setDisconnected(n.opts.PeerAddress, true)
		cl.after(faultDuration, func() { cl.network.setDisconnected(n.opts.PeerAddress, false) })
		return forward()
	}},
	{name: "trimmed", inject: func(cl *cluster, n *node, _ func() error) error {
		n.logLink.setFault(allDown)
		cl.network.setDisconnected(n.opts.PeerAddress, true)
		cl.after(2*faultDuration, func() {
			cl.trimToSnapshot(n)
			n.logLink.setFault(nil)
			<-time.After(time.Second)
			cl.network.setDisconnected(n.opts.PeerAddress, false)
		})
		return external.ErrUnavailable
	}},
}

// trimToSnapshot removes the entries of the control stream that a snapshot
// covers, as retention does. With a single fault, some instance must have
// written a snapshot. With two faults, all other instances may be isolated or
// dead.
func (cl *cluster) trimToSnapshot(isolated *node) {
	data, err := New(Options{Log: cl.memLog}).latestSnapshot(context.Background())
	if err != nil {
		if cl.singleFault {
			cl.addViolation("no instance wrote a snapshot: %v", err)
		}
		return
	}
	state, err := replica.Restore(data)
	if err != nil {
		cl.addViolation("snapshot does not decode: %v", err)
		return
	}
	cl.memLog.Trim(protocol.ControlStream, state.Applied()+1)
	if cl.singleFault && state.Applied() <= isolated.Applied() {
		cl.addViolation("the snapshot is not ahead of the isolated instance")
	}
}

// after runs a function after a delay, as a task of the cluster.
func (cl *cluster) after(wait time.Duration, do func()) {
	cl.tasks.Go(func() {
		<-time.After(wait)
		do()
	})
}

// suspend blocks all log operations of an instance for a duration, as SIGSTOP
// does.
func (l *logLink) suspend(d time.Duration) {
	until := time.Now().Add(d)
	l.setFault(func(string, string, []byte) memlog.Fault {
		if wait := time.Until(until); wait > 0 {
			<-time.After(wait)
		}
		return memlog.None
	})
}

// injectOnAppend injects a fault into the next append of a matching record. The
// operation itself no longer depends on the instance: it may take effect after
// the instance was killed, like a request in the network.
func (cl *cluster) injectOnAppend(n *node, matches func(*protocol.Record) bool, inject injectFunc) {
	n.logLink.setHook(func(stream string, payload []byte) (func() error, bool) {
		if stream != protocol.ControlStream || !frameContains(payload, matches) {
			return nil, false
		}
		kept := bytes.Clone(payload)
		forward := func() error {
			_, err := cl.recorder.Append(context.Background(), stream, kept)
			return err
		}
		return func() error { return inject(cl, n, forward) }, true
	})
}

// injectOnRead injects a fault when the instance reads a page that holds its
// own matching record. The record is in the stream at that time, and its writer
// doesn't know it yet. The entries of the page are delivered twice.
func (cl *cluster) injectOnRead(n *node, matches func(*protocol.Record) bool, inject injectFunc) {
	n.logLink.setReadHook(func(page external.Page) (external.Page, func() error, bool) {
		for _, entry := range page.Entries {
			if frameContains(entry.Payload, matches) {
				page.Entries = append(slices.Clone(page.Entries), page.Entries...)
				return page, func() error { return inject(cl, n, func() error { return nil }) }, true
			}
		}
		return page, nil, false
	})
}

func frameContains(payload []byte, matches func(*protocol.Record) bool) bool {
	frame, err := protocol.DecodeFrame(payload)
	if err != nil {
		return false
	}
	for i := range frame.Records {
		if matches(&frame.Records[i]) {
			return true
		}
	}
	return false
}
