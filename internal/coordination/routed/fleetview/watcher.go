package fleetview

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/external"
	"merlintiller/internal/wait"
)

const (
	// configReadWait is how long one read waits for a new configuration. A new
	// configuration has to be in force within two seconds, and a read whose
	// connection is stuck is only detected when its wait ends.
	configReadWait = time.Second
	// targetsReadWait is how long one read waits for a change of the list of
	// targets.
	targetsReadWait = time.Second
	// targetsReadPause is the pause after a read that returned records. Each target
	// renews its entry about once a second, so without the pause each read would
	// return a single entry. The pause is bounded because a leaving target must get
	// no new requests after two seconds.
	targetsReadPause = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff after a failed
	// read. Even with the largest jitter the delay is shorter than returnWindow.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// reloadInterval is how often, on average, all keys are read in full.
	reloadInterval = 10 * time.Second
	// maxReadAge is the time since the last successful read after which the changes may be
	// larger than the newest records of all keys: each version of the configuration is
	// whole, and the entries of targets that are renewed in one second are about as large
	// as their list.
	maxReadAge = 2 * time.Second
	// maxMissedRecords is the number of records up to which the changes are read even then.
	maxMissedRecords = 2
	// beyondEnd is added to an offset to get one that the partition does not reach.
	beyondEnd = 1 << 40
	// minReloadDelay and maxReloadDelay bound the exponential backoff after a full read
	// that failed though the store answers small reads: it may be too busy for large ones.
	minReloadDelay = time.Second
	maxReloadDelay = 4 * time.Second
	// suspendedPollInterval is how often a suspended watcher checks whether it has
	// to read again.
	suspendedPollInterval = 500 * time.Millisecond
	// tickInterval is the interval between two ticks by which pauses of this process are seen.
	tickInterval = 100 * time.Millisecond
)

// errEndsEarlier reports that a partition ends before the offset that was already read.
var errEndsEarlier = errors.New("partition ends before the known offset")

// watchFailures counts failed reads of a watched partition.
var watchFailures = metrics.NewCounter(`store_watch_failures_total`)

// BackgroundServices returns the watchers of the store and the ticker, to be run by a supervisor.
func (v *View) BackgroundServices() []suture.Service {
	return []suture.Service{
		&ticker{v},
		&watcher{
			view: v, name: "config", partition: v.opts.Sources.Operators, readWait: configReadWait,
			load: v.loadOperatorRecords, apply: v.applyOperatorRecords,
			random: rand.New(rand.NewPCG(v.opts.Seed, 1)),
		},
		&watcher{
			view: v, name: "targets", partition: v.opts.Sources.Targets, readWait: targetsReadWait, readPause: targetsReadPause,
			load: v.loadTargets, apply: v.applyTargets, suspended: v.targetsFromPeers,
			random: rand.New(rand.NewPCG(v.opts.Seed, 2)),
		},
	}
}

// ticker records at regular times that this process runs.
type ticker struct{ view *View }

// String names the service for the supervisor.
func (t *ticker) String() string { return "view-ticker" }

// Serve ticks until ctx ends.
func (t *ticker) Serve(ctx context.Context) error { return wait.Every(ctx, tickInterval, t.view.tick) }

// loadOperatorRecords adopts the drains and the configuration among the newest records.
// The drains come first: an instance that has a configuration serves requests, and must
// not send them to targets of a drained domain.
func (v *View) loadOperatorRecords(page external.KeyedPage) {
	v.loadDrains(page)
	v.adoptConfigRecords(page)
}

// applyOperatorRecords applies records of operators that were added since the last read,
// drains first for the same reason.
func (v *View) applyOperatorRecords(page external.KeyedPage) {
	v.applyDrains(page)
	v.adoptConfigRecords(page)
}

// adoptConfigRecords adopts each configuration among the records that is newer than the
// one in force.
func (v *View) adoptConfigRecords(page external.KeyedPage) {
	for _, record := range page.Records {
		if record.Key == v.opts.Sources.ConfigKey && len(record.Value) > 0 {
			v.AdoptConfig(record.Value, "store")
		}
	}
}

// watcher reads one partition of the store continuously.
type watcher struct {
	view      *View
	name      string
	partition external.Partition
	// readWait is how long one read waits for a record, readPause the pause after a
	// read that returned records.
	readWait  time.Duration
	readPause time.Duration
	// load adopts the newest records of all keys, apply applies later records.
	load, apply func(external.KeyedPage)
	// suspended reports whether other instances send the content of the partition,
	// so that it need not be read. Nil: never.
	suspended func() bool
	// random draws the jitter of delays. Instances that start together, or whose reads fail
	// together, would otherwise go on reading at the same times.
	random *rand.Rand
	// wasSuspended is the result of the last check.
	wasSuspended bool

	// loaded is set while next is known: the offset up to which the partition was read.
	loaded bool
	next   int64
	// readAt is the time of the last successful read, reloadAt that of the next full read.
	readAt, reloadAt time.Time
	// retry is the delay after the next failed read.
	retry time.Duration
	// reloadAllowedAt is the time before which missed records cause no full read,
	// reloadRetry the delay after the next full read that fails.
	reloadAllowedAt time.Time
	reloadRetry     time.Duration
}

// String names the service for the supervisor.
func (w *watcher) String() string { return "watch-" + w.name }

// Serve reads the partition until ctx ends.
func (w *watcher) Serve(ctx context.Context) error {
	w.retry, w.reloadRetry = minRetryDelay, minReloadDelay
	for ctx.Err() == nil {
		if w.isSuspended() {
			w.logSuspended(true)
			w.loaded = false
			wait.For(ctx, suspendedPollInterval)
			continue
		}
		w.logSuspended(false)
		if err := w.update(ctx); err != nil && ctx.Err() == nil {
			w.pauseAfter(ctx, err)
		}
	}
	return ctx.Err()
}

// pauseAfter logs a failed read and waits before the next one.
func (w *watcher) pauseAfter(ctx context.Context, err error) {
	watchFailures.Inc()
	delay := wait.Jitter(w.random, w.retry)
	_ = level.Warn(w.view.logger).Log("event", "store_watch_failed", "watch", w.name, "retry_ms", delay.Milliseconds(), "err", err)
	wait.For(ctx, delay)
	w.retry = min(2*w.retry, maxRetryDelay)
}

// logSuspended logs when reading is suspended or resumed.
func (w *watcher) logSuspended(suspended bool) {
	if suspended != w.wasSuspended {
		w.wasSuspended = suspended
		_ = level.Info(w.view.logger).Log("event", "store_watch_left", "watch", w.name, "left", suspended)
	}
}

// isSuspended reports whether reading is suspended now.
func (w *watcher) isSuspended() bool { return w.suspended != nil && w.suspended() }

// update makes one read: of the newest records of all keys if that is due, otherwise of
// the changes.
func (w *watcher) update(ctx context.Context) error {
	now := time.Now()
	switch {
	case !w.loaded, !now.Before(w.reloadAt):
		return w.reload(ctx)
	case now.Sub(w.readAt) > maxReadAge:
		return w.catchUp(ctx)
	default:
		return w.readChanges(ctx)
	}
}

// catchUp reads what was missed since the last successful read: the changes if they are
// few, otherwise the newest records of all keys. It first asks how many there are, which
// costs a store that answers late or not at all hardly anything.
func (w *watcher) catchUp(ctx context.Context) error {
	missed, err := w.countMissed(ctx)
	switch {
	case err != nil:
		return err
	case missed <= maxMissedRecords:
		return w.readChanges(ctx)
	case time.Now().Before(w.reloadAllowedAt):
		wait.For(ctx, wait.Jitter(w.random, maxRetryDelay))
		return nil
	}
	err = w.reload(ctx)
	if err != nil {
		w.delayReload()
	}
	return err
}

// countMissed returns the number of records from the known offset on. It reads beyond the
// partition's end, so that the answer has the end and no records.
func (w *watcher) countMissed(ctx context.Context) (int64, error) {
	page, err := w.view.opts.Log.Read(ctx, w.partition, w.next+beyondEnd, 0)
	if errors.Is(err, external.ErrTrimmed) {
		// The store does not tell how many.
		return maxMissedRecords + 1, nil
	}
	if err != nil {
		return 0, err
	}
	return page.End - w.next, nil
}

// reload reads the newest records of all keys. If that fails, the changes are still read
// from the known offset until the next full read.
func (w *watcher) reload(ctx context.Context) error {
	w.reloadAt = time.Now().Add(wait.Jitter(w.random, reloadInterval))
	page, err := w.view.opts.Log.Newest(ctx, w.partition)
	if err != nil {
		return err
	}
	w.view.StoreAnswered()
	w.load(page)
	w.loaded, w.next, w.readAt = true, page.End, time.Now()
	w.reloadRetry = minReloadDelay
	return nil
}

// delayReload sets the time before which missed records cause no further full read.
func (w *watcher) delayReload() {
	w.reloadAllowedAt = time.Now().Add(wait.Jitter(w.random, w.reloadRetry))
	w.reloadRetry = min(2*w.reloadRetry, maxReloadDelay)
}

// readChanges reads on from the known offset.
func (w *watcher) readChanges(ctx context.Context) error {
	began := time.Now()
	page, err := w.view.opts.Log.Read(ctx, w.partition, w.next, w.readWait)
	if errors.Is(err, external.ErrTrimmed) {
		w.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	w.view.StoreAnswered()
	if page.End < w.next {
		w.loaded = false
		return errEndsEarlier
	}
	w.retry, w.reloadRetry, w.readAt = minRetryDelay, minReloadDelay, time.Now()
	w.apply(page)
	if page.Next != w.next {
		w.next = page.Next
		wait.For(ctx, w.readPause)
		return nil
	}
	// A store that does not wait for records must not be asked without a pause.
	wait.For(ctx, minRetryDelay-time.Since(began))
	return nil
}
