// Package targethttp reaches targets over HTTP: calls, cancels, orders, load
// reports and cache events. It is the only package that knows their wire form.
//
// What it takes care of beside the wire form is the run state of a failed
// call: "not run" is said only if no byte of the call was handed to the
// network, or if the target itself said that it did not begin.
package targethttp

import "time"

// Headers of the targets' wire form.
const (
	// headerCallID carries the call's id to the target and back.
	headerCallID = "X-Call-Id"
	// headerResumeAt asks for a stream from a token on.
	headerResumeAt = "X-Resume-At"
	// headerNotRun on a 503 says that the target did not begin.
	headerNotRun = "X-Not-Run"
	// headerLeaving on a 503 says that the target takes no new work.
	headerLeaving = "X-Leaving"
)

// Options tune the connections to targets. A zero field takes its default.
type Options struct {
	// Name counts the client's events in expvar under "target.<Name>". Empty
	// counts nowhere.
	Name string
	// DialTimeout bounds the opening of a connection. Default 1 s: targets
	// are within the region, and a retry elsewhere is cheap before a byte left.
	DialTimeout time.Duration
	// MaxIdlePerTarget bounds the kept connections to one target. Default 64:
	// about the streams that one instance has at one target in a burst.
	MaxIdlePerTarget int
	// IdleTimeout closes unused connections. Default 60 s.
	IdleTimeout time.Duration
	// FreshConnections opens a connection for each call and never uses it
	// again. It is meant for calls that may not be repeated: a kept
	// connection that the target closes at the moment of writing leaves open
	// whether the call ran, and a fresh one can't be in that state.
	FreshConnections bool
	// ControlTimeout bounds cancels, orders, load reports and cache events.
	// Default 2 s.
	ControlTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = time.Second
	}
	if o.MaxIdlePerTarget <= 0 {
		o.MaxIdlePerTarget = 64
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = time.Minute
	}
	if o.ControlTimeout <= 0 {
		o.ControlTimeout = 2 * time.Second
	}
	return o
}
