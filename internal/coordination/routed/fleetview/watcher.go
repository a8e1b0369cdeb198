package fleetview

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/external"
	"merlintiller/internal/wait"
)

const (
	// configWait is how long one read waits for a new configuration.
	// Configurations are due in force within two seconds, and a watch that
	// hears nothing is noticed when it ends.
	configWait = time.Second
	// targetsWait is the same for the list of targets.
	targetsWait = time.Second
	// targetsPause is the wait after a read that brought something. Each target
	// writes about once a second, so that a read without it would bring one
	// entry each; leaving targets must be left within two seconds.
	targetsPause = 500 * time.Millisecond
	// retryFirst and retryMost bound the wait after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// refreshEvery is how often everything is read anew.
	refreshEvery = 10 * time.Second
	// followLook is how often an instance that follows others looks whether it still does.
	followLook = 500 * time.Millisecond
)

var watchFailures = metrics.NewCounter(`store_watch_failures_total`)

// BackgroundServices are the watches, to be run by a supervisor.
func (v *View) BackgroundServices() []suture.Service {
	return []suture.Service{
		&watch{
			view: v, name: "config", partition: v.opts.Sources.Operators, wait: configWait,
			replace: v.replaceOperators, apply: v.applyOperators,
		},
		&watch{
			view: v, name: "targets", partition: v.opts.Sources.Targets, wait: targetsWait, pause: targetsPause,
			replace: v.replaceTargets, apply: v.applyTargets, follows: v.follows,
		},
	}
}

// replaceOperators and applyOperators take over drains before a configuration: an
// instance that knows one serves, and must not serve at targets of a drained domain.
func (v *View) replaceOperators(page external.KeyedPage) {
	v.replaceDrains(page)
	v.takeConfigs(page)
}

func (v *View) applyOperators(page external.KeyedPage) {
	v.applyDrains(page)
	v.takeConfigs(page)
}

func (v *View) takeConfigs(page external.KeyedPage) {
	for _, record := range page.Records {
		if record.Key == v.opts.Sources.ConfigKey && len(record.Value) > 0 {
			v.AdoptConfig(record.Value, "store")
		}
	}
}

// watch follows one partition of the store.
type watch struct {
	view      *View
	name      string
	partition external.Partition
	wait      time.Duration
	pause     time.Duration
	// replace takes over the newest records of all keys, apply later changes.
	replace, apply func(external.KeyedPage)
	// follows says that others tell what is here, and that nothing need be read. Nil: never.
	follows func() bool
	// wasLeft says that reading was left to others at the last look.
	wasLeft bool
}

// String names the duty.
func (w *watch) String() string { return "watch-" + w.name }

// Serve follows the partition until ctx ends.
func (w *watch) Serve(ctx context.Context) error {
	retry := retryFirst
	for ctx.Err() == nil {
		if w.left() {
			w.note(true)
			wait.For(ctx, followLook)
			continue
		}
		w.note(false)
		err := w.follow(ctx)
		if err == nil || errors.Is(err, external.ErrTrimmed) {
			retry = retryFirst
			continue
		}
		if ctx.Err() != nil {
			break
		}
		watchFailures.Inc()
		_ = level.Warn(w.view.logger).Log("event", "store_watch_failed", "watch", w.name, "retry_ms", retry.Milliseconds(), "err", err)
		wait.For(ctx, retry)
		retry = min(2*retry, retryMost)
	}
	return ctx.Err()
}

// note tells of a change of who reads.
func (w *watch) note(left bool) {
	if left != w.wasLeft {
		w.wasLeft = left
		_ = level.Info(w.view.logger).Log("event", "store_watch_left", "watch", w.name, "left", left)
	}
}

// left says that reading is left to others.
func (w *watch) left() bool { return w.follows != nil && w.follows() }

// follow reads everything and then the changes, for a while.
func (w *watch) follow(ctx context.Context) error {
	page, err := w.view.opts.Log.Newest(ctx, w.partition)
	if err != nil {
		return err
	}
	w.view.StoreAnswered()
	w.replace(page)
	from := page.End
	until := time.Now().Add(refreshEvery)
	for time.Now().Before(until) && !w.left() {
		page, err = w.view.opts.Log.Read(ctx, w.partition, from, w.wait)
		if err != nil {
			return err
		}
		w.view.StoreAnswered()
		w.apply(page)
		if page.Next == from {
			continue
		}
		from = page.Next
		wait.For(ctx, w.pause)
	}
	return nil
}
