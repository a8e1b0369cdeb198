package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/member"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/ring"
	"merlintiller/internal/state/replica"
)

// Journal implements coordination.Journal over the platform's log.
type Journal struct {
	opts    Options
	timings Timings
	log     external.Log
	logger  log.Logger

	submissions *ring.Ring[*submission]
	// stopped is closed when the writer has stopped.
	stopped  chan struct{}
	stopOnce sync.Once

	// mu guards state, changed and digests.
	mu      sync.RWMutex
	state   *replica.State
	changed chan struct{}
	digests digests

	// effectiveFleet is the replayed configuration with the local key
	// withdrawals applied.
	effectiveFleet atomic.Pointer[protocol.Fleet]
	// replayedFleet is the replayed configuration from which effectiveFleet was
	// made. localTombstones holds the keys that were withdrawn without the log.
	// fleetMu serialises the changes of all three.
	fleetMu         sync.Mutex
	replayedFleet   *protocol.Fleet
	localTombstones *member.Tombstones

	// pendingMu guards unresolved, renewalSentAt and the phases of submissions.
	pendingMu  sync.Mutex
	unresolved map[protocol.RecordID]*submission
	// renewalSentAt holds the time at which each of the instance's own session
	// opens and renewals was first sent, until it is confirmed.
	renewalSentAt map[protocol.RecordID]time.Time

	// holderMu guards holder. renewerWake notifies the renewer that the session
	// ended.
	holderMu    sync.Mutex
	holder      *member.Holder
	renewerWake chan struct{}

	pacer *pacer
	// pacerTurn is held by the one data append that waits for the pacer.
	pacerTurn chan struct{}
	progress  progress
	status    status
	// partial holds what the reader has read of a snapshot. Only the reader uses
	// it.
	partial partialSnapshot
}

// New returns a journal. It does nothing until its services run.
func New(opts Options) *Journal {
	timings := opts.Timings.withDefaults()
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	if opts.NewSession == nil {
		opts.NewSession = randomSession
	}
	j := &Journal{
		opts:            opts,
		timings:         timings,
		log:             opts.Log,
		logger:          log.With(opts.Logger, "duty", "journal"),
		submissions:     ring.New[*submission](opts.RingName, timings.QueueLength),
		stopped:         make(chan struct{}),
		state:           replica.New(),
		changed:         make(chan struct{}),
		digests:         digests{},
		localTombstones: member.NewTombstones(),
		unresolved:      map[protocol.RecordID]*submission{},
		renewalSentAt:   map[protocol.RecordID]time.Time{},
		holder:          member.NewHolder(timings.Session),
		renewerWake:     make(chan struct{}, 1),
		pacer:           newPacer(timings.Pacer),
		pacerTurn:       make(chan struct{}, 1),
	}
	j.status.loaded = make(chan struct{})
	j.replayedFleet = j.state.Fleet.Fleet()
	j.effectiveFleet.Store(j.replayedFleet)
	return j
}

// Services returns the background services of the journal.
func (j *Journal) Services() []suture.Service {
	t := j.timings
	return []suture.Service{
		&reader{Journal: j, backoff: newBackoff(t.BackoffBase, t.BackoffMax, j.opts.Seed, 1)},
		j.newWriter(),
		&renewer{Journal: j},
		&observer{Journal: j, detector: member.NewObserver(t.Session)},
		&snapshotter{Journal: j},
		&withdrawer{Journal: j},
	}
}

// View implements coordination.Journal.
func (j *Journal) View(read func(*replica.State)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	read(j.state)
}

// Applied returns the offset of the last applied entry.
func (j *Journal) Applied() protocol.Offset {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.state.Applied()
}

// Fleet implements coordination.Journal. The configuration includes key
// withdrawals that are not in the log yet.
func (j *Journal) Fleet() *protocol.Fleet { return j.effectiveFleet.Load() }

// Session implements coordination.Journal.
func (j *Journal) Session() protocol.SessionID {
	j.holderMu.Lock()
	defer j.holderMu.Unlock()
	return j.holder.Session()
}

// MayHold implements coordination.Journal.
func (j *Journal) MayHold() bool {
	j.holderMu.Lock()
	defer j.holderMu.Unlock()
	return j.holder.MayHold(time.Now())
}

// Changed implements coordination.Journal.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.changed
}

// LogUp implements coordination.Journal.
func (j *Journal) LogUp() bool {
	return j.isLoaded() && j.progress.endReachedWithin(time.Now(), j.timings.DownAfter)
}

// ConfigCurrent reports whether the configuration is as recent as this instance
// can have it. An instance that was paused for minutes resumes with requests
// waiting and with the keys from before the pause. It would admit callers whose
// keys were withdrawn during the pause. After a pause the configuration is
// therefore not current until one read of the log has finished. A failed read
// counts too, so that an instance that is isolated from the log continues to
// serve with the configuration that it has.
func (j *Journal) ConfigCurrent() bool {
	oneRead := j.timings.PollWait + j.timings.ReadTimeout
	return j.isLoaded() && j.progress.attemptedWithin(time.Now(), 2*(oneRead+j.timings.BackoffMax))
}

// Loaded returns a channel that is closed once the replayed state is loaded.
// Before that the configuration is empty and the instance is not ready.
func (j *Journal) Loaded() <-chan struct{} { return j.status.loaded }

func (j *Journal) isLoaded() bool {
	select {
	case <-j.status.loaded:
		return true
	default:
		return false
	}
}

// Problem returns a sentence for the operator while the journal can't start or
// can't continue, and an empty string otherwise.
func (j *Journal) Problem() string { return j.status.get() }

// Close appends a record that ends the session, so that other instances can
// take over at once what the session held. The journal opens no session
// afterwards.
func (j *Journal) Close(ctx context.Context) error {
	j.holderMu.Lock()
	j.holder.Closing()
	session := j.holder.Session()
	j.holderMu.Unlock()
	j.wakeRenewer()
	if session == 0 {
		return nil
	}
	outcome := j.submit(ctx, protocol.Record{SessionClose: &protocol.SessionClose{}}, session)
	return outcome.Err
}

func (j *Journal) markStopped() {
	j.stopOnce.Do(func() { close(j.stopped) })
}

func (j *Journal) wakeRenewer() {
	select {
	case j.renewerWake <- struct{}{}:
	default:
	}
}

// event writes one log line.
func (j *Journal) event(name string, pairs ...any) {
	_ = j.logger.Log(append([]any{"event", name}, pairs...)...)
}
