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
	// stopped is closed when the writer has stopped for good.
	stopped  chan struct{}
	stopOnce sync.Once

	// mu guards state, changed and digests.
	mu      sync.RWMutex
	state   *replica.State
	changed chan struct{}
	digests digests

	// fleet is the replayed configuration with the locally withdrawn keys.
	fleet atomic.Pointer[protocol.Fleet]
	// published is the replayed configuration that fleet was made of, and soft
	// the keys that were withdrawn without the log. fleetMu orders the changes
	// of all three.
	fleetMu   sync.Mutex
	published *protocol.Fleet
	soft      *member.Tombstones

	// pending guards waiting, renewals and the phases of submissions.
	pending sync.Mutex
	waiting map[protocol.RecordID]*submission
	// renewals holds when the own renewals were first sent, until confirmed.
	renewals map[protocol.RecordID]time.Time

	// holderMu guards holder; wake tells the renewer that the session ended.
	holderMu sync.Mutex
	holder   *member.Holder
	wake     chan struct{}

	pacer *pacer
	// pacing is held by the one data append that waits for the pacer.
	pacing   chan struct{}
	progress progress
	status   status
}

// New returns a journal that does nothing until its services run.
func New(opts Options) *Journal {
	timings := opts.Timings.withDefaults()
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	if opts.NewSession == nil {
		opts.NewSession = randomSession
	}
	j := &Journal{
		opts:        opts,
		timings:     timings,
		log:         opts.Log,
		logger:      log.With(opts.Logger, "duty", "journal"),
		submissions: ring.New[*submission](opts.RingName, timings.Queue),
		stopped:     make(chan struct{}),
		state:       replica.New(),
		changed:     make(chan struct{}),
		digests:     digests{},
		soft:        member.NewTombstones(),
		waiting:     map[protocol.RecordID]*submission{},
		renewals:    map[protocol.RecordID]time.Time{},
		holder:      member.NewHolder(timings.Session),
		wake:        make(chan struct{}, 1),
		pacer:       newPacer(timings.Pace),
		pacing:      make(chan struct{}, 1),
	}
	j.status.loaded = make(chan struct{})
	j.published = j.state.Fleet.Fleet()
	j.fleet.Store(j.published)
	return j
}

// Services returns the duties of the journal.
func (j *Journal) Services() []suture.Service {
	t := j.timings
	return []suture.Service{
		&reader{Journal: j, backoff: newBackoff(t.BackoffBase, t.BackoffMax, j.opts.Seed, 1)},
		j.newWriter(),
		&renewer{Journal: j},
		&observer{Journal: j, decide: member.NewObserver(t.Session)},
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

// Applied is the offset of the last applied entry.
func (j *Journal) Applied() protocol.Offset {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.state.Applied()
}

// Fleet implements coordination.Journal. Keys that were withdrawn without the
// log are withdrawn in it too.
func (j *Journal) Fleet() *protocol.Fleet { return j.fleet.Load() }

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
	return j.isLoaded() && j.progress.up(time.Now(), j.timings.DownAfter)
}

// ConfigCurrent reports whether the configuration is as new as this instance can have
// it. An instance that was paused for minutes wakes with requests waiting and
// the keys of before the pause, and would let in callers whose keys were
// withdrawn meanwhile. So after a pause it is not current until one read of the
// log has come to an end. A read that fails counts too: an instance that is cut
// off goes on serving what it knows.
func (j *Journal) ConfigCurrent() bool {
	oneRead := j.timings.PollWait + j.timings.ReadTimeout
	return j.isLoaded() && j.progress.current(time.Now(), 2*(oneRead+j.timings.BackoffMax))
}

// Loaded returns a channel that is closed once the replayed state is there.
// Before that the configuration is empty and the instance isn't ready.
func (j *Journal) Loaded() <-chan struct{} { return j.status.loaded }

func (j *Journal) isLoaded() bool {
	select {
	case <-j.status.loaded:
		return true
	default:
		return false
	}
}

// Problem is a sentence for the operator while the journal can't start or
// can't go on, empty otherwise.
func (j *Journal) Problem() string { return j.status.get() }

// Close ends the session with a record, so that others take over at once what
// the instance held. After it the instance opens no session again.
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

func (j *Journal) stop() {
	j.stopOnce.Do(func() { close(j.stopped) })
}

func (j *Journal) wakeRenewer() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// event writes one log line.
func (j *Journal) event(name string, pairs ...any) {
	_ = j.logger.Log(append([]any{"event", name}, pairs...)...)
}
