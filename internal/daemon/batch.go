package daemon

import (
	"context"

	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/coordination/itemrun"
	"merlintiller/internal/coordination/oncecall"
)

// batchJobs holds the components that accept batch jobs, run their items and retain their
// data.
type batchJobs struct {
	service        *batch.Service
	executor       *batch.Executor
	reaper         *batch.JobReaper
	refresher      *batch.DataRefresher
	atMostOnce     *oncecall.Caller
	cancelNotifier *batch.CancelNotifier
}

func (b *batchJobs) services() []suture.Service {
	out := append([]suture.Service{}, b.executor.Services()...)
	return append(out, b.reaper, b.refresher, b.atMostOnce.Recorder(), b.atMostOnce.Pruner(), b.cancelNotifier)
}

func (b *batchJobs) drain(ctx context.Context) error {
	b.executor.Drain(ctx)
	return ctx.Err()
}

func (d *Daemon) setupBatch() {
	j := d.cluster.journal
	opts := batchOptions(d.settings)
	runner := itemrun.New(itemrun.Options{Target: d.adapters.batch})
	d.batch = batchJobs{
		service:   batch.NewService(j, opts, d.logger),
		executor:  batch.NewExecutor("batch.results", j, d.fleet.headroom, runner, opts, d.logger),
		reaper:    batch.NewJobReaper(j, opts, d.logger),
		refresher: batch.NewDataRefresher(j, opts, d.logger),
		atMostOnce: oncecall.New("once.outcomes", j, oncecall.Options{
			ReserveTimeout: d.settings.Calls.ReserveTimeout,
			Retention:      d.settings.Calls.OutcomeRetention,
		}, d.logger),
		cancelNotifier: batch.NewCancelNotifier("batch.cancel_notices", d.cluster.heartbeats, d.settings.Timings.PeerTimeout),
	}
	d.batch.service.OnCancel = d.batch.cancelNotifier.Notify
}
