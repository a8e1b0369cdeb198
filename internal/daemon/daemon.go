package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/access"
	"merlintiller/internal/settings"
	"merlintiller/internal/transport/tlsconfig"
)

// Daemon is one entry instance.
type Daemon struct {
	settings *settings.Settings
	logger   log.Logger
	tls      tlsconfig.Set

	outside   outside
	agreement agreement
	fleet     fleetPolicy
	batch     batchWork
	callers   callers
	operators operators
	keys      *access.Keys

	tree *suture.Supervisor
}

// New wires an instance. Nothing runs before Run.
func New(s *settings.Settings, logger log.Logger) (*Daemon, error) {
	certificates, err := tlsconfig.OpenAll(s, logger)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Daemon{settings: s, logger: logger, tls: certificates}
	d.outside = newOutside(s)
	if err := d.joinAgreement(); err != nil {
		return nil, trace.Wrap(err)
	}
	d.keys = access.New(d.agreement.journal.Fleet)
	d.joinFleetPolicy()
	d.joinBatch()
	d.joinCallers()
	d.joinOperators()
	if err := d.registerReceivers(); err != nil {
		return nil, trace.Wrap(err)
	}
	d.plant()
	return d, nil
}

// plant puts every duty into the supervisor's tree, a branch for each concern,
// so that one that keeps failing backs off without its neighbours.
func (d *Daemon) plant() {
	d.tree = suture.New("tillerd", d.spec())
	d.branch("agreement", d.agreement.services())
	d.branch("fleet policy", d.fleet.services())
	d.branch("batch", d.batch.services())
	d.branch("callers", d.callers.services())
	d.branch("operators", d.operators.services())
	for _, source := range d.tls.Services() {
		d.tree.Add(source)
	}
}

// spec lets a panic stop the process. A panic is a broken invariant: a duty that
// was started again after it would go on with a state that parts from that of
// the other instances, or serve with its neighbours' channels closed. A new
// process starts from what is agreed.
func (d *Daemon) spec() suture.Spec {
	return suture.Spec{EventHook: d.event, PassThroughPanics: true}
}

func (d *Daemon) branch(name string, services []suture.Service) {
	branch := suture.New(name, d.spec())
	for _, service := range services {
		branch.Add(service)
	}
	d.tree.Add(branch)
}

// event logs what the supervisor reports, such as a duty that failed.
func (d *Daemon) event(e suture.Event) {
	_ = level.Warn(d.logger).Log("event", "duty_failed", "detail", e.String())
}

// Run serves until ctx ends, and then leaves gracefully: no call is cut, and
// what the instance held is handed over.
func (d *Daemon) Run(ctx context.Context) error {
	treeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := d.tree.ServeBackground(treeCtx)
	_ = level.Info(d.logger).Log("event", "started", "instance", d.settings.Instance, "domain", d.settings.Domain,
		"callers", d.settings.Listen.Callers, "operators", d.settings.Listen.Operators)
	select {
	case <-ctx.Done():
	case <-d.operators.drainAsked:
		_ = level.Info(d.logger).Log("event", "drain_ordered")
	case err := <-ended:
		return trace.Wrap(err)
	}
	d.leave()
	stop()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	_ = level.Info(d.logger).Log("event", "stopped")
	return nil
}

// leave ends the duties towards the outside in an order in which each still
// has what it needs: calls need targets and limits, results need the session.
func (d *Daemon) leave() {
	d.operators.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timings.DrainLimit)
	defer cancel()
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"callers", d.callers.edge.Drain},
		{"batch", d.batch.drain},
		{"fleet policy", d.fleet.leave},
		{"session", d.agreement.journal.Close},
	}
	for _, step := range steps {
		began := time.Now()
		err := step.run(ctx)
		_ = level.Info(d.logger).Log("event", "drained", "step", step.name, "took", time.Since(began), "err", err)
	}
}

// listen opens a TCP listener as the duties want it.
func listen(address string) func() (net.Listener, error) {
	return func() (net.Listener, error) { return net.Listen("tcp", address) }
}
