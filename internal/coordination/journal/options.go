package journal

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination/member"
	"merlintiller/internal/defaults"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// SnapshotSource fetches a snapshot of the replayed state from a peer.
type SnapshotSource interface {
	FetchSnapshot(ctx context.Context) ([]byte, error)
}

// Timings are the durations and sizes that the journal works by. Zero fields
// take the default.
type Timings struct {
	// Session are the durations of sessions.
	Session member.Timings
	// PollWait is how long a read waits for a new entry. Shorter polls notice
	// an outage earlier, longer ones cost fewer reads.
	PollWait time.Duration
	// AppendTimeout and ReadTimeout bound one operation of the log. A read may
	// take PollWait in addition.
	AppendTimeout time.Duration
	ReadTimeout   time.Duration
	// DownAfter is how long the end of the stream may stay unread until the
	// log counts as down. It must exceed PollWait, and is 2 s more by default.
	DownAfter time.Duration
	// FrameSpacing is the least time between two appends of the writer. The
	// platform takes several hundred appends a second from all instances: 12
	// instances at 20 ms stay at 600 when all are busy at once.
	FrameSpacing time.Duration
	// ReadSpacing is the least time between two reads that brought entries, 0
	// by default. With hundreds of instances it lets entries gather into fewer
	// reads, at the price of as much delay.
	ReadSpacing time.Duration
	// BackoffBase and BackoffMax bound the wait before a retry.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// ThrottledWait bounds the wait after a control record was refused for the
	// rate limit. Control records are few and urgent, and data gives way.
	ThrottledWait time.Duration
	// Pace spaces the appends of bulk data.
	Pace Pace
	// Queue is how many submissions may wait for the writer.
	Queue int
	// PageEntries is how many entries one read asks for.
	PageEntries int
	// SnapshotEvery is the number of entries, and SnapshotAfter the time,
	// after which a new snapshot is due. SnapshotAfter must be a small part of
	// the platform's retention time.
	SnapshotEvery int64
	SnapshotAfter time.Duration
	// Tick is how often the observer and the snapshotter look.
	Tick time.Duration
}

// downMargin is what a read may take beyond its wait before the log counts as
// down. One lost answer with its retry fits into it.
const downMargin = 2 * time.Second

// DefaultTimings returns the defaults.
func DefaultTimings() Timings {
	return Timings{
		Session:       member.DefaultTimings(),
		PollWait:      time.Second,
		AppendTimeout: 2 * time.Second,
		ReadTimeout:   2 * time.Second,
		DownAfter:     time.Second + downMargin,
		FrameSpacing:  20 * time.Millisecond,
		BackoffBase:   50 * time.Millisecond,
		BackoffMax:    2 * time.Second,
		ThrottledWait: 250 * time.Millisecond,
		Pace:          DefaultPace(),
		Queue:         4096,
		PageEntries:   256,
		SnapshotEvery: 20000,
		SnapshotAfter: 10 * time.Minute,
		Tick:          500 * time.Millisecond,
	}
}

func (t Timings) withDefaults() Timings {
	d := DefaultTimings()
	defaults.Set(&t.Session, d.Session)
	defaults.Set(&t.PollWait, d.PollWait)
	defaults.Set(&t.AppendTimeout, d.AppendTimeout)
	defaults.Set(&t.ReadTimeout, d.ReadTimeout)
	defaults.Set(&t.DownAfter, t.PollWait+downMargin)
	defaults.Set(&t.FrameSpacing, d.FrameSpacing)
	defaults.Set(&t.BackoffBase, d.BackoffBase)
	defaults.Set(&t.BackoffMax, d.BackoffMax)
	defaults.Set(&t.ThrottledWait, d.ThrottledWait)
	defaults.Set(&t.Pace, d.Pace)
	defaults.Set(&t.Queue, d.Queue)
	defaults.Set(&t.PageEntries, d.PageEntries)
	defaults.Set(&t.SnapshotEvery, d.SnapshotEvery)
	defaults.Set(&t.SnapshotAfter, d.SnapshotAfter)
	defaults.Set(&t.Tick, d.Tick)
	return t
}

// Check reports the first setting that can't work.
func (t Timings) Check() error {
	t = t.withDefaults()
	if err := t.Session.Check(); err != nil {
		return err
	}
	switch {
	case t.DownAfter <= t.PollWait:
		return fmt.Errorf("log.down_after: %v must exceed log.poll_wait %v", t.DownAfter, t.PollWait)
	case t.BackoffMax >= t.Session.Expire:
		return fmt.Errorf("log.backoff_max: %v must be less than session.expire %v", t.BackoffMax, t.Session.Expire)
	case t.BackoffBase > t.BackoffMax:
		return fmt.Errorf("log.backoff_base: %v exceeds log.backoff_max %v", t.BackoffBase, t.BackoffMax)
	}
	return nil
}

// Options make a Journal.
type Options struct {
	Log      external.Log
	Instance protocol.InstanceID
	Domain   protocol.Domain
	// PeerAddress and CallerAddress are published in the open record.
	PeerAddress   string
	CallerAddress string
	// Snapshots fetches the state from a peer; nil if there are no peers.
	Snapshots SnapshotSource
	// Logger gets one line an event; nil logs nothing.
	Logger log.Logger
	// Seed drives the jitter of retries.
	Seed uint64
	// NewSession draws a session id; nil draws from the system's randomness.
	NewSession func() protocol.SessionID
	// RingName publishes the ring's depth under this name in expvar. Empty
	// publishes nothing.
	RingName string
	Timings  Timings
}

// randomSession draws an id that no instance used before: 64 random bits.
func randomSession() protocol.SessionID {
	for {
		var buffer [8]byte
		if _, err := crand.Read(buffer[:]); err != nil {
			panic(err)
		}
		if id := binary.BigEndian.Uint64(buffer[:]); id != 0 {
			return protocol.SessionID(id)
		}
	}
}
