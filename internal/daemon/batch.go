package daemon

import (
	"context"

	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/coordination/itemrun"
	"merlintiller/internal/coordination/oncecall"
)

// batchWork is the batch jobs: accepting them, running their items, and keeping
// what they need.
type batchWork struct {
	service  *batch.Service
	executor *batch.Executor
	keeper   *batch.JobReaper
	carrier  *batch.DataRefresher
	once     *oncecall.Caller
	notices  *batch.CancelNotifier
}

func (b *batchWork) services() []suture.Service {
	out := append([]suture.Service{}, b.executor.Services()...)
	return append(out, b.keeper, b.carrier, b.once.Recorder(), b.once.Pruner(), b.notices)
}

func (b *batchWork) drain(ctx context.Context) error {
	b.executor.Drain(ctx)
	return ctx.Err()
}

func (d *Daemon) joinBatch() {
	j := d.agreement.journal
	opts := batchOptions(d.settings)
	runner := itemrun.New(itemrun.Options{Target: d.outside.batch})
	d.batch = batchWork{
		service:  batch.NewService(j, opts, d.logger),
		executor: batch.NewExecutor("batch.results", j, d.fleet.headroom, runner, opts, d.logger),
		keeper:   batch.NewJobReaper(j, opts, d.logger),
		carrier:  batch.NewDataRefresher(j, opts, d.logger),
		once: oncecall.New("once.outcomes", j, oncecall.Options{
			ReserveTimeout: d.settings.Calls.ReserveTimeout,
			Retention:      d.settings.Calls.OutcomeRetention,
		}, d.logger),
		notices: batch.NewCancelNotifier("batch.cancel_notices", d.agreement.heartbeats, d.settings.Timings.PeerTimeout),
	}
	d.batch.service.OnCancel = d.batch.notices.Notify
}
