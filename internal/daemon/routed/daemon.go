package routed

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/routed/batchjobs"
	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/fleetview"
	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/coordination/routed/relay"
	"merlintiller/internal/external"
	"merlintiller/internal/settings"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/state/route"
	"merlintiller/internal/transport/front"
	"merlintiller/internal/transport/peer"
	"merlintiller/internal/transport/targetconn"
	"merlintiller/platform"
)

const (
	// jobsTopic holds batch jobs; instancesTopic holds who is there.
	jobsTopic      = "keyed.jobs"
	instancesTopic = "keyed.instances"
	jobsGroup      = "jobs"
	// memoryShare is the part of the memory that the collector keeps the heap
	// below.
	memoryShare = 0.6
)

// Daemon is one instance.
type Daemon struct {
	settings *settings.Routed
	network  external.Network
	logger   log.Logger
	self     mesh.Instance

	store   *platform.Store
	targets *targetconn.Client
	view    *fleetview.View
	placer  *placement.Placer
	broker  *broker.Broker
	slots   *broker.Client
	meter   *quota.Limiter
	mesh    *mesh.Mesh
	peers   *peer.Server
	calls   *peer.Client
	keeper  *batchjobs.PartitionOwner
	runner  *batchjobs.Runner
	desk    *batchjobs.JobService
	front   *front.Front

	isolation *isolation

	leaving atomic.Bool
	tree    *suture.Supervisor
	// killed ends all duties without leaving, for tests of sudden deaths.
	killed context.Context
	kill   context.CancelFunc
}

// New wires an instance on a network. Nothing runs before Run.
func New(s *settings.Routed, network external.Network, logger log.Logger) (*Daemon, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	d := &Daemon{
		settings: s, network: network, logger: logger,
		self: mesh.Instance{
			Name: string(s.Instance), Domain: string(s.Domain),
			Address: s.Listen.Peers, Start: time.Now().UnixMilli(), Strength: mesh.CapacityOf(s.Processor),
		},
		store: platform.NewStore(network, s.Store.Address, s.Store.Timeout),
		targets: targetconn.New(network, targetconn.Codec{
			EncodeDispatch: platform.EncodeDispatch, DecodeReply: platform.DecodeReply,
			ReportPath: platform.ReportPath, DecodeReport: platform.DecodeReport, DecodeHealth: platform.DecodeHealth,
			EndRunPath: platform.EndRunPath, EncodeEndRun: platform.EncodeEndRun, DecodeEndRun: platform.DecodeEndRun,
			HandlePath: platform.HandlePath,
		}),
		calls: peer.NewClientWithNetwork(network),
	}
	d.meter = quota.NewLimiter()
	d.killed, d.kill = context.WithCancel(context.Background())
	d.placer = placement.NewPlacer(d.self.Domain, d.targets.Connected, xxhash.Sum64String(d.self.Name))
	d.joinView()
	if err := d.joinPeers(); err != nil {
		return nil, trace.Wrap(err)
	}
	d.joinBroker()
	d.joinJobs()
	d.isolation = &isolation{
		cutOff: d.mesh.Isolated, storeAge: d.view.StoreAge, logger: d.logger,
		takesJobs: func() bool {
			table := d.view.Table()
			return table != nil && table.HasAnyBatchRoute()
		},
	}
	d.joinFront()
	if err := d.register(); err != nil {
		return nil, trace.Wrap(err)
	}
	d.plant()
	return d, nil
}

func (d *Daemon) joinView() {
	d.view = fleetview.New(fleetview.Options{
		Log: d.store,
		Sources: fleetview.Sources{
			Operators: platform.Operators, ConfigKey: platform.ConfigurationKey, Targets: platform.Targets,
		},
		Decoders: fleetview.Decoders{
			Config: platform.DecodeConfiguration, Drain: platform.DecodeDrain, Target: platform.DecodeTarget,
		},
		Logger:    d.logger,
		OnConfig:  func(t *route.Table) { d.meter.SetOrganisations(t.Organisations()) },
		OnTargets: func(list []roster.Target) { d.slots.SetTargets(list) },
		// A broker counts what begins at targets that warm up, and others need not know of that.
		TargetsFromPeers: func() bool { return d.mesh.GetsTargetListFromRelay() && !d.slots.IsBroker() },
	})
}

func (d *Daemon) joinPeers() error {
	listener, err := d.network.Listen(d.settings.Listen.Peers)
	if err != nil {
		return trace.Wrap(err)
	}
	d.peers = peer.NewServer(listener, nil, d.logger)
	d.mesh = mesh.New(mesh.Config{Self: d.self, Seeds: d.settings.Seeds, Caller: d.calls, Logger: d.logger})
	d.mesh.SetDelegate(&local{Daemon: d})
	return nil
}

func (d *Daemon) joinBroker() {
	yield := func(instance string, number uint64) bool { return d.desk.Yield(instance, number) }
	d.broker = broker.New(d.self.Domain, xxhash.Sum64String(d.self.Name), yield)
	d.slots = broker.NewClient(broker.ClientOptions{
		Self: d.self, Peers: d.mesh, Caller: d.calls, Broker: d.broker, Local: d.placer,
		Connected: d.targets.Connected, Logger: d.logger,
	})
	d.broker.SetIsSoleBroker(d.slots.IsSoleBroker)
}

func (d *Daemon) joinJobs() {
	s := d.settings.Store
	opts := &batchjobs.Options{
		Member: d.self.Name,
		Topic:  jobsTopic, Partitions: s.Partitions, Group: jobsGroup,
		RecordBytes: s.RecordBytes, CallBytes: s.CallBytes, Readable: d.settings.ResultsReadable,
		Log: d.store, Groups: d.store, Peers: d.mesh, Caller: d.calls,
		Table: d.view.Table, StoreAge: d.view.StoreAge, StoreAnswered: d.view.StoreAnswered,
		Targets: d.targets, Placer: d.slots, Logger: d.logger,
	}
	d.runner = batchjobs.NewRunner(opts)
	d.keeper = batchjobs.NewPartitionOwner(opts, d.runner)
	d.desk = batchjobs.NewJobService(opts, d.keeper, d.runner)
}

func (d *Daemon) joinFront() {
	d.front = front.New(front.Options{
		Listen: d.listen(d.settings.Listen.Callers),
		Codec: front.Codec{
			DecodeRequest: platform.DecodeRequest, DecodeJobCall: platform.DecodeJobCall,
			DecodeItems: platform.DecodeItems, EncodeResults: platform.EncodeResults,
			EncodeRetryAfter: platform.EncodeRetryAfter,
		},
		Table: d.view.Table,
		Quota: d.meter,
		Relay: relay.New(relay.Options{Targets: d.targets, Placer: d.slots, Logger: d.logger}),
		Jobs:  d.desk, JobsUnavailable: d.isolation.jobRetry, Logger: d.logger,
	})
}

func (d *Daemon) register() error {
	receivers := map[string]any{
		mesh.ServiceName:       d.mesh.Receiver(),
		broker.ReceiverName:    d.broker.Receiver(),
		batchjobs.ReceiverName: d.desk.Receiver(),
		batchjobs.WaiterName:   d.desk.Waiter(),
	}
	for name, receiver := range receivers {
		if err := d.peers.Register(name, receiver); err != nil {
			return trace.Wrap(err, "receiver %s", name)
		}
	}
	return nil
}

// plant puts every duty into the supervisor's tree. A panic is a broken
// invariant and stops the process; the platform starts it again.
func (d *Daemon) plant() {
	d.tree = suture.New("tillerd", suture.Spec{EventHook: d.event, PassThroughPanics: true})
	for _, duty := range d.view.BackgroundServices() {
		d.tree.Add(duty)
	}
	d.tree.Add(d.peers)
	d.tree.Add(d.mesh)
	d.tree.Add(&registration{daemon: d})
	d.tree.Add(d.broker)
	d.tree.Add(d.slots)
	d.tree.Add(&broker.Sweeper{
		Broker: d.broker, IsBroker: d.slots.IsBroker, Targets: d.targets, FilterOrphans: d.desk.Orphans, Logger: d.logger,
	})
	d.tree.Add(&broker.HealthChecker{Broker: d.broker, Targets: d.targets, Logger: d.logger})
	d.tree.Add(d.runner)
	d.tree.Add(d.keeper)
	d.tree.Add(d.front)
	d.tree.Add(&readiness{daemon: d, listen: d.listen(d.settings.Listen.Readiness)})
	if d.settings.Listen.Metrics != "" {
		d.tree.Add(&metricsServer{listen: d.listen(d.settings.Listen.Metrics)})
	}
}

// closeConnections closes what the duties have left open.
func (d *Daemon) closeConnections() {
	d.targets.Close()
	d.store.Close()
	d.calls.Close()
}

func (d *Daemon) event(e suture.Event) {
	_ = level.Warn(d.logger).Log("event", "duty_failed", "detail", e.String())
}

// Run serves until ctx ends, and then leaves gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	treeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := d.tree.ServeBackground(treeCtx)
	_ = level.Info(d.logger).Log("event", "started", "instance", d.self.Name, "domain", d.self.Domain,
		"callers", d.settings.Listen.Callers, "peers", d.settings.Listen.Peers, "store", d.settings.Store.Address)
	select {
	case <-ctx.Done():
		d.leave()
	case <-d.killed.Done():
	case err := <-ended:
		return trace.Wrap(err)
	}
	stop()
	defer d.closeConnections()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	_ = level.Info(d.logger).Log("event", "stopped")
	return nil
}

func (d *Daemon) listen(address string) func() (net.Listener, error) {
	return func() (net.Listener, error) { return d.network.Listen(address) }
}

var (
	_ external.KeyedLog = (*platform.Store)(nil)
	_ external.Groups   = (*platform.Store)(nil)
	_ external.Sender   = (*targetconn.Client)(nil)

	_ external.HealthChecker = (*targetconn.Client)(nil)
)
