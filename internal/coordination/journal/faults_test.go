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

// away is how long a fault lasts: well past the time to expire.
const away = 20 * time.Second

// strike is a fault at the moment when an instance appends a record, or reads
// it back. forward does the operation.
type strike func(w *world, n *node, forward func() error) error

// fault is one column of the matrix.
type fault struct {
	name   string
	strike strike
	// settles says that a patient submitter must learn that its record was
	// accepted, in spite of the fault.
	settles bool
	// keeps says that no session may end on account of the fault.
	keeps bool
	// kills says that the instance is dead afterwards.
	kills bool
}

var faults = []fault{
	{name: "kill-before", kills: true, strike: func(w *world, n *node, _ func() error) error {
		w.die(n)
		return external.ErrUnavailable
	}},
	{name: "kill-after", kills: true, strike: func(w *world, n *node, forward func() error) error {
		_ = forward()
		w.die(n)
		return external.ErrUnavailable
	}},
	{name: "pause-past-lease", strike: func(_ *world, n *node, forward func() error) error {
		n.link.pause(away)
		<-time.After(away)
		return forward()
	}},
	{name: "log-down", settles: true, keeps: true, strike: func(w *world, _ *node, _ func() error) error {
		w.memory.SetFault(down)
		w.later(away, func() { w.memory.SetFault(nil) })
		return external.ErrUnavailable
	}},
	{name: "appends-down", settles: true, keeps: true, strike: func(w *world, _ *node, _ func() error) error {
		w.memory.SetFault(appendsDown)
		w.later(away, func() { w.memory.SetFault(nil) })
		return external.ErrUnavailable
	}},
	{name: "log-back-unevenly", settles: true, keeps: true, strike: func(w *world, _ *node, _ func() error) error {
		alive := w.alive()
		for i, n := range alive {
			n.link.set(down)
			order := time.Duration(len(alive) - 1 - i)
			w.later(away+2*time.Second*order, func() { n.link.set(nil) })
		}
		return external.ErrUnavailable
	}},
	{name: "answer-lost", settles: true, keeps: true, strike: func(_ *world, _ *node, forward func() error) error {
		_ = forward()
		return external.ErrUnavailable
	}},
	{name: "duplicate", settles: true, keeps: true, strike: func(_ *world, _ *node, forward func() error) error {
		err := forward()
		_ = forward()
		return err
	}},
	{name: "late", settles: true, keeps: true, strike: func(w *world, _ *node, forward func() error) error {
		w.later(away, func() { _ = forward() })
		return external.ErrUnavailable
	}},
	{name: "cut-from-log", strike: func(w *world, n *node, _ func() error) error {
		n.link.set(down)
		w.later(away, func() { n.link.set(nil) })
		return external.ErrUnavailable
	}},
	{name: "cut-from-domain", settles: true, keeps: true, strike: func(w *world, n *node, forward func() error) error {
		w.network.setCut(n.opts.PeerAddress, true)
		w.later(away, func() { w.network.setCut(n.opts.PeerAddress, false) })
		return forward()
	}},
	{name: "trimmed", strike: func(w *world, n *node, _ func() error) error {
		n.link.set(down)
		w.network.setCut(n.opts.PeerAddress, true)
		w.later(2*away, func() {
			w.trim(n)
			n.link.set(nil)
			<-time.After(time.Second)
			w.network.setCut(n.opts.PeerAddress, false)
		})
		return external.ErrUnavailable
	}},
}

// trim lets the entries of the control stream that a snapshot covers leave
// retention. With one fault alone somebody must have written a snapshot; with
// two, all others may be cut off or dead.
func (w *world) trim(cut *node) {
	data, err := New(Options{Log: w.memory}).newestSnapshot(context.Background())
	if err != nil {
		if w.single {
			w.violate("nobody wrote a snapshot: %v", err)
		}
		return
	}
	state, err := replica.Restore(data)
	if err != nil {
		w.violate("snapshot does not decode: %v", err)
		return
	}
	w.memory.Trim(protocol.ControlStream, state.Applied()+1)
	if w.single && state.Applied() <= cut.Applied() {
		w.violate("the snapshot is not ahead of the instance that was cut off")
	}
}

// later runs a function after a while, as part of the world.
func (w *world) later(wait time.Duration, do func()) {
	w.duties.Go(func() {
		<-time.After(wait)
		do()
	})
}

// pause stops all operations of an instance for a while, as SIGSTOP does.
func (l *link) pause(d time.Duration) {
	until := time.Now().Add(d)
	l.set(func(string, string, []byte) memlog.Fault {
		if wait := time.Until(until); wait > 0 {
			<-time.After(wait)
		}
		return memlog.None
	})
}

// strikeAppend makes the next append of a matching record meet a fault. The
// operation itself no longer depends on the instance: the network carries it.
func (w *world) strikeAppend(n *node, matches func(*protocol.Record) bool, do strike) {
	n.link.setHook(func(stream string, payload []byte) (func() error, bool) {
		if stream != protocol.ControlStream || !frameHas(payload, matches) {
			return nil, false
		}
		kept := bytes.Clone(payload)
		forward := func() error {
			_, err := w.record.Append(context.Background(), stream, kept)
			return err
		}
		return func() error { return do(w, n, forward) }, true
	})
}

// strikeRead makes a fault meet the instance when the page that holds its own
// matching record is on its way back: the record stands in the stream, and its
// writer doesn't know yet. The page itself is delivered twice.
func (w *world) strikeRead(n *node, matches func(*protocol.Record) bool, do strike) {
	n.link.setReadHook(func(page external.Page) (external.Page, func() error, bool) {
		for _, entry := range page.Entries {
			if frameHas(entry.Payload, matches) {
				page.Entries = append(slices.Clone(page.Entries), page.Entries...)
				return page, func() error { return do(w, n, func() error { return nil }) }, true
			}
		}
		return page, nil, false
	})
}

func frameHas(payload []byte, matches func(*protocol.Record) bool) bool {
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
