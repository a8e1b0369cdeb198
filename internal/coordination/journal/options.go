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

// Timings holds the durations, rates and sizes of the journal. Zero fields take
// the default.
type Timings struct {
	// Session holds the durations of sessions.
	Session member.Timings
	// PollWait is how long a read waits for a new entry. A shorter wait detects
	// an outage earlier, a longer one needs fewer reads.
	PollWait time.Duration
	// AppendTimeout and ReadTimeout limit one operation on the log. A read may
	// take PollWait in addition.
	AppendTimeout time.Duration
	ReadTimeout   time.Duration
	// DownAfter is the time without a read of the stream's end after which the
	// log counts as down. It must exceed PollWait. The default is PollWait plus
	// 2 s.
	DownAfter time.Duration
	// FrameSpacing is the minimum time between two appends of the writer. The
	// platform accepts several hundred appends a second from all instances
	// together. 12 instances at 20 ms make at most 600 when all are busy at
	// once.
	FrameSpacing time.Duration
	// ReadSpacing is the minimum time between two reads that return entries, 0
	// by default. With hundreds of instances it reduces the number of reads,
	// because more entries arrive in each, but adds the same time to the delay
	// of an entry.
	ReadSpacing time.Duration
	// BackoffBase and BackoffMax limit the wait before a retry.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// ThrottledWait is the maximum wait after the platform's rate limit
	// rejected a control record. Control records are few and urgent, so data
	// appends slow down instead.
	ThrottledWait time.Duration
	// Pacer holds the rates for appends of bulk data.
	Pacer PacerSettings
	// QueueLength is the number of submissions that may wait for the writer.
	QueueLength int
	// PageEntries is the number of entries that one read requests.
	PageEntries int
	// SnapshotEntries and SnapshotAfter are the number of entries and the time
	// after which a new snapshot is due. SnapshotAfter must be a small part of
	// the platform's retention time.
	SnapshotEntries int64
	SnapshotAfter   time.Duration
	// CheckInterval is the interval at which the observer, the snapshotter and
	// the withdrawer run.
	CheckInterval time.Duration
}

// downMargin is the time that a read may take beyond PollWait before the log
// counts as down. It is long enough for one lost answer and its retry.
const downMargin = 2 * time.Second

// DefaultTimings returns the defaults.
func DefaultTimings() Timings {
	return Timings{
		Session:         member.DefaultTimings(),
		PollWait:        time.Second,
		AppendTimeout:   2 * time.Second,
		ReadTimeout:     2 * time.Second,
		DownAfter:       time.Second + downMargin,
		FrameSpacing:    20 * time.Millisecond,
		BackoffBase:     50 * time.Millisecond,
		BackoffMax:      2 * time.Second,
		ThrottledWait:   250 * time.Millisecond,
		Pacer:           DefaultPacerSettings(),
		QueueLength:     4096,
		PageEntries:     256,
		SnapshotEntries: 20000,
		SnapshotAfter:   10 * time.Minute,
		CheckInterval:   500 * time.Millisecond,
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
	defaults.Set(&t.Pacer, d.Pacer)
	defaults.Set(&t.QueueLength, d.QueueLength)
	defaults.Set(&t.PageEntries, d.PageEntries)
	defaults.Set(&t.SnapshotEntries, d.SnapshotEntries)
	defaults.Set(&t.SnapshotAfter, d.SnapshotAfter)
	defaults.Set(&t.CheckInterval, d.CheckInterval)
	return t
}

// Check returns an error for the first invalid combination of settings.
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

// Options configures a Journal.
type Options struct {
	Log      external.Log
	Instance protocol.InstanceID
	Domain   protocol.Domain
	// PeerAddress and CallerAddress are published in the session's open record.
	PeerAddress   string
	CallerAddress string
	// Snapshots fetches the state from a peer. It is nil if there are no peers.
	Snapshots SnapshotSource
	// Logger receives one line for each event. If it is nil, nothing is logged.
	Logger log.Logger
	// Seed is the random seed for the jitter of retries.
	Seed uint64
	// NewSession generates a session ID. If it is nil, IDs come from the
	// system's random source.
	NewSession func() protocol.SessionID
	// RingName is the expvar name under which the number of queued submissions
	// is published. If it is empty, the number is not published.
	RingName string
	Timings  Timings
}

// randomSession generates a 64-bit random ID, so that no ID is used twice.
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
