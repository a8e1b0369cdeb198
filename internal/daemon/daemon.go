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
	"merlintiller/internal/external"
	"merlintiller/internal/listening"
	"merlintiller/internal/settings"
	"merlintiller/internal/transport/inputbudget"
	"merlintiller/internal/transport/tlsconfig"
)

// Daemon is one instance of the fleet.
type Daemon struct {
	settings *settings.Settings
	logger   log.Logger
	tls      tlsconfig.Set

	adapters  adapters
	cluster   clusterState
	fleet     fleetPolicy
	batch     batchJobs
	callers   callerAPI
	operators operatorAPI
	keys      *access.Keys
	// input bounds the memory that incomplete input takes at all listeners.
	input *inputbudget.Budget

	supervisor *suture.Supervisor
}

// New creates an instance and opens its listeners. Background services start only in Run.
func New(s *settings.Settings, logger log.Logger) (*Daemon, error) {
	certificates, err := tlsconfig.OpenAll(s, logger)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Daemon{settings: s, logger: logger, tls: certificates, input: inputbudget.New(inputLimitsOf(s.Limits).heads)}
	d.adapters = newAdapters(s)
	if err := d.setupCluster(); err != nil {
		return nil, trace.Wrap(err)
	}
	d.keys = access.New(d.cluster.journal.Fleet)
	d.setupFleetPolicy()
	d.setupBatch()
	if err := d.setupCallers(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := d.setupOperators(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := d.registerReceivers(); err != nil {
		return nil, trace.Wrap(err)
	}
	d.buildSupervisor()
	return d, nil
}

// buildSupervisor adds every background service to the supervisor. Each concern has its
// own branch, so that the back-off of a failing service does not stop those of other
// concerns.
func (d *Daemon) buildSupervisor() {
	d.supervisor = suture.New("tillerd", d.supervisorSpec())
	d.addBranch("agreement", d.cluster.services())
	d.addBranch("fleet policy", d.fleet.services())
	d.addBranch("batch", d.batch.services())
	d.addBranch("callers", d.callers.services())
	d.addBranch("operators", d.operators.services())
	for _, source := range d.tls.Services() {
		d.supervisor.Add(source)
	}
}

// supervisorSpec returns a specification that lets a panic stop the process. A panic means
// a broken invariant: a service that was restarted after it could continue with a state
// that diverges from that of the other instances, or run while channels of other services
// are closed. A new process starts from the replicated state.
func (d *Daemon) supervisorSpec() suture.Spec {
	return suture.Spec{EventHook: d.logSupervisorEvent, PassThroughPanics: true}
}

func (d *Daemon) addBranch(name string, services []suture.Service) {
	branch := suture.New(name, d.supervisorSpec())
	for _, service := range services {
		branch.Add(service)
	}
	d.supervisor.Add(branch)
}

// logSupervisorEvent logs an event of the supervisor, such as the failure of a background
// service.
func (d *Daemon) logSupervisorEvent(e suture.Event) {
	_ = level.Warn(d.logger).Log("event", "duty_failed", "detail", e.String())
}

// Run serves until ctx ends or an operator drains the instance, and then shuts down
// gracefully: no call is interrupted, and the resources that the instance held are handed
// over.
func (d *Daemon) Run(ctx context.Context) error {
	servicesCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := d.supervisor.ServeBackground(servicesCtx)
	_ = level.Info(d.logger).Log("event", "started", "instance", d.settings.Instance, "domain", d.settings.Domain,
		"callers", d.settings.Listen.Callers, "operators", d.settings.Listen.Operators)
	select {
	case <-ctx.Done():
	case <-d.operators.drainRequested:
		_ = level.Info(d.logger).Log("event", "drain_ordered")
	case err := <-done:
		return trace.Wrap(err)
	}
	d.leave()
	stop()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	_ = level.Info(d.logger).Log("event", "stopped")
	return nil
}

// leave stops the externally visible services in the order of their dependencies: calls
// need targets and limits, and results need the session.
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
		{"operators", d.operators.server.Shutdown},
		{"session", d.cluster.journal.Close},
	}
	for _, step := range steps {
		start := time.Now()
		err := step.run(ctx)
		_ = level.Info(d.logger).Log("event", "drained", "step", step.name, "took", time.Since(start), "err", err)
	}
}

// listenTCP returns a function that opens a TCP listener.
func listenTCP(address string) listening.OpenFunc {
	return func() (net.Listener, error) { return external.ListenTCP(address) }
}
