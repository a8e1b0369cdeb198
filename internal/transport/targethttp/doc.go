// Package targethttp communicates with targets over HTTP: calls, cancels, orders, load
// reports and cache events. No other package knows the targets' wire format.
//
// It also determines the run state of a failed call. The state is "not run" only if no
// byte of the call was passed to the network, or if the target itself reported that it
// did not begin the call.
package targethttp

import "time"

// Headers of the targets' wire format.
const (
	// headerCallID carries the call's id. The target echoes it.
	headerCallID = "X-Call-Id"
	// headerResumeAt is the number of tokens that the caller already has of a stream
	// that is to resume.
	headerResumeAt = "X-Resume-At"
	// headerNotRun on a 503 means that the target did not begin the call.
	headerNotRun = "X-Not-Run"
	// headerLeaving on a 503 means that the target accepts no new calls.
	headerLeaving = "X-Leaving"
)

// Options configures the connections to targets. A zero field selects its default.
type Options struct {
	// Name publishes the client's counters in expvar under "target.<Name>". Empty
	// publishes none.
	Name string
	// DialTimeout bounds connecting. Default 1 s: targets are in the same region,
	// and retrying at another target is cheap while no byte has been sent.
	DialTimeout time.Duration
	// MaxIdlePerTarget bounds the idle connections to one target. Default 64:
	// about the number of streams that one instance has at one target in a burst.
	MaxIdlePerTarget int
	// IdleTimeout is the time after which an idle connection is closed. Default 60 s.
	IdleTimeout time.Duration
	// FreshConnections opens a new connection for each call and does not reuse it.
	// It is meant for calls that are not idempotent: if the target closes a reused
	// connection while the call is being written, it is unknown whether the call ran.
	// That can't happen on a new connection.
	FreshConnections bool
	// ControlTimeout bounds a request that cancels a call, sends an order, or reads
	// orders, a load report or cache events. Default 2 s.
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
