package member

import (
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// LocalState is the part of the instance's replayed state that Heartbeats uses.
type LocalState interface {
	Session() protocol.SessionID
	Fleet() *protocol.Fleet
	Digest() (protocol.Offset, uint64)
	DigestAt(at protocol.Offset) (uint64, bool)
	LogUp() bool
	Loaded() <-chan struct{}
	View(read func(*replica.State))
	Tombstones() []protocol.KeyWithdraw
	MergeTombstones(tombstones []protocol.KeyWithdraw)
	Snapshot() (protocol.Offset, []byte, error)
	InstallSnapshot(data []byte) error
}

// Options configure Heartbeats.
type Options struct {
	Instance protocol.InstanceID
	Domain   protocol.Domain
	// Address is the peer address of this instance, "ip:port".
	Address string
	// Seeds are peer addresses from the settings. Heartbeats go to them while no
	// peer is reachable, for example at a startup while the log is down.
	Seeds  []string
	Caller protocol.Caller
	Logger log.Logger
	// Interval is the time between two heartbeat rounds, 1 s by default. At 340
	// instances it has to be longer to stay within the traffic budget for
	// coordination.
	Interval time.Duration
	// Timeout bounds one heartbeat exchange, 1 s by default.
	Timeout time.Duration
	// FetchTimeout bounds the transfer of one snapshot, 10 s by default.
	FetchTimeout time.Duration
	Limits       ViewLimits
}

func (o *Options) setDefaults() {
	if o.Interval == 0 {
		o.Interval = time.Second
	}
	if o.Timeout == 0 {
		o.Timeout = time.Second
	}
	if o.FetchTimeout == 0 {
		o.FetchTimeout = 10 * time.Second
	}
	if o.Limits == (ViewLimits{}) {
		o.Limits = DefaultViewLimits()
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
}
