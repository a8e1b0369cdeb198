package member

import (
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// Local is the instance's own replayed state, as heartbeats need it.
type Local interface {
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

// Options make Heartbeats.
type Options struct {
	Instance protocol.InstanceID
	Domain   protocol.Domain
	// Address is the own peer address, "ip:port".
	Address string
	// Seeds are peer addresses from the settings. They are asked while no
	// other peer is known, such as at a start while the log is down.
	Seeds  []string
	Caller protocol.Caller
	Logger log.Logger
	// Interval is the time between two rounds of heartbeats, 1 s by default. At
	// 340 instances it is raised to stay inside the budget for control.
	Interval time.Duration
	// Timeout bounds one heartbeat, FetchTimeout the transfer of a snapshot.
	Timeout      time.Duration
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
