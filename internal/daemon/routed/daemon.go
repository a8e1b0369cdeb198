package routed

import (
	"cmp"
	"context"
	"errors"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/routed/answerbuffer"
	"merlintiller/internal/coordination/routed/batchjobs"
	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/fleetview"
	"merlintiller/internal/coordination/routed/inflight"
	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/origin"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/coordination/routed/relay"
	"merlintiller/internal/coordination/routed/servicetime"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/settings"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/state/route"
	"merlintiller/internal/transport/front"
	"merlintiller/internal/transport/inputbudget"
	"merlintiller/internal/transport/peer"
	"merlintiller/internal/transport/targetconn"
	"merlintiller/platform"
)

const (
	// jobsTopic holds batch jobs, instancesTopic the list of instances, quarantineTopic the closed
	// parts of prompts, versionsTopic which software versions services have had.
	jobsTopic       = "keyed.jobs"
	instancesTopic  = "keyed.instances"
	quarantineTopic = "keyed.quarantine"
	versionsTopic   = "keyed.versions"
	jobsGroup       = "jobs"
	// heapShareOfMemory is the share of the configured memory that is set as the soft
	// memory limit of the Go runtime.
	heapShareOfMemory = 0.6
)

// Daemon is one instance of the fleet.
type Daemon struct {
	settings *settings.Routed
	network  external.Network
	logger   log.Logger
	self     mesh.Instance

	store          *platform.Store
	storeCalls     *storeCalls
	targets        *targetconn.Client
	view           *fleetview.View
	placer         *placement.Placer
	broker         *broker.Broker
	brokerClient   *broker.Client
	limiter        *quota.Limiter
	mesh           *mesh.Mesh
	origins        *origin.Registry
	versions       *origin.Archive
	times          *servicetime.Estimator
	quarantine     *quarantine.Guard
	domainData     domainData
	runsSent       *inflight.Sender
	runsHeld       *inflight.Holder
	listed         targetList
	peerServer     *peer.Server
	peerClient     *peer.Client
	partitionOwner *batchjobs.PartitionOwner
	runner         *batchjobs.Runner
	jobService     *batchjobs.JobService
	front          *front.Front
	loadMonitor    *front.LoadMonitor
	// heldBytes bounds the bytes held for callers, nil if the setting is off.
	heldBytes *answerbuffer.Budget
	// input bounds the memory that incomplete input takes at all listeners.
	input *inputbudget.Budget

	isolation *isolationDetector

	listeners  listeners
	leaving    atomic.Bool
	supervisor *suture.Supervisor
	// killed stops all background services without a graceful shutdown. Tests use it
	// to simulate a crash.
	killed context.Context
	kill   context.CancelFunc
}

// New creates an instance on a network and opens its listeners. Background services start
// only in Run.
func New(s *settings.Routed, network external.Network, logger log.Logger) (*Daemon, error) {
	debug.SetMemoryLimit(int64(heapShareOfMemory * float64(s.MemoryMB) * (1 << 20)))
	d := &Daemon{
		settings: s, network: network, logger: logger,
		self: mesh.Instance{
			Name: string(s.Instance), Domain: string(s.Domain),
			Address: s.Listen.Peers, Start: time.Now().UnixMilli(), Strength: mesh.CapacityOf(s.CPUCores),
		},
		store: platform.NewStore(network, s.Store.Address, s.Store.Timeout),
		targets: targetconn.New(network, targetconn.Codec{
			EncodeDispatch: platform.EncodeDispatch, DecodeReply: platform.DecodeReply,
			ReportPath: platform.ReportPath, DecodeReport: platform.DecodeReport, DecodeHealth: platform.DecodeHealth,
			EndRunPath: platform.EndRunPath, EncodeEndRun: platform.EncodeEndRun, DecodeEndRun: platform.DecodeEndRun,
			HandlePath: platform.HandlePath,
		}),
		peerClient: peer.NewClientWithNetwork(network),
	}
	d.targets.CheckNewConnections()
	d.storeCalls = &storeCalls{logger: logger, kinds: map[platform.CallKind]*callSums{}}
	d.store.Observe(d.storeCalls.add)
	d.limiter = quota.NewLimiter(d.self.Name)
	d.killed, d.kill = context.WithCancel(context.Background())
	d.placer = placement.NewPlacer(d.self.Domain, d.targets.Connected, xxhash.Sum64String(d.self.Name))
	d.quarantine = quarantine.New(quarantine.Options{
		Self: d.self.Name, Targets: d.targets, ReachesDomain: d.reachesDomain, Leaving: d.listed.leaving, Replaced: d.listed.replaced, Listed: d.listed.count,
		LeavingSince: d.listed.leaves, StartOf: d.startOf, ReportOf: d.reportOf, DataAt: d.placer.DataAt,
		ResumedAt: func() time.Time { return d.view.ResumedAt() },
		Store:     d.store, Partition: external.Partition{Topic: quarantineTopic},
		Seed: xxhash.Sum64String(d.self.Name), Logger: logger,
	})
	d.setupView()
	if err := d.setupPeers(); err != nil {
		return nil, trace.Wrap(err)
	}
	d.setupBroker()
	d.setupInFlight()
	d.setupOrigins()
	d.times = servicetime.New(servicetime.Options{Enabled: d.settings.Adaptive.ExpectedTimes, ReportsPace: d.brokerClient.ReportsPace})
	d.setupBatchJobs()
	d.isolation = &isolationDetector{
		otherDomainsUnreachable: d.mesh.Isolated, storeAge: d.view.StoreAge, logger: d.logger,
		hasBatchRoutes: func() bool {
			table := d.view.Table()
			return table != nil && table.HasAnyBatchRoute()
		},
	}
	if err := d.setupListeners(); err != nil {
		return nil, trace.Wrap(err)
	}
	d.setupFront()
	if err := d.registerReceivers(); err != nil {
		return nil, trace.Wrap(err)
	}
	d.buildSupervisor()
	return d, nil
}

func (d *Daemon) setupView() {
	d.view = fleetview.New(fleetview.Options{
		Log: d.store,
		Sources: fleetview.Sources{
			Operators: platform.Operators, ConfigKey: platform.ConfigurationKey, Targets: platform.Targets,
		},
		Decoders: fleetview.Decoders{
			Config: platform.DecodeConfiguration, Drain: platform.DecodeDrain, Target: platform.DecodeTarget,
		},
		Logger: d.logger,
		Seed:   xxhash.Sum64String(d.self.Name),
		OnConfig: func(t *route.Table) {
			d.quarantine.Keeper().StoreAnswers()
			d.limiter.SetOrganisations(t.Version(), t.Organisations())
		},
		OnTargets: func(mark int64, list []roster.Target) { d.brokerClient.SetTargets(mark, list) },
		OnListed: func(list []roster.Target) {
			d.listed.set(list)
			d.origins.SetTargets(list)
		},
		// A broker limits the requests that start at targets in their warm-up period, and
		// peers need not know the warm-up state. So a broker reads the list of targets itself.
		TargetsFromPeers: func() bool { return d.mesh.GetsTargetListFromRelay() && !d.brokerClient.IsBroker() },
	})
}

// startOf asks the target at an address when its process started. It returns 0 if the target does not tell.
func (d *Daemon) startOf(ctx context.Context, address string) (int64, error) {
	report, err := d.reportOf(ctx, address)
	return report.Started, trace.Wrap(err)
}

// reportOf asks the target at an address for its report. An answer shows that its failure domain is reached.
func (d *Daemon) reportOf(ctx context.Context, address string) (exchange.Report, error) {
	report, err := d.targets.Report(ctx, address)
	if err == nil {
		d.domainData.note(d.listed.domainAt(address), time.Now())
	}
	return report, trace.Wrap(err)
}

func (d *Daemon) setupPeers() error {
	listener, err := d.network.Listen(d.settings.Listen.Peers)
	if err != nil {
		return trace.Wrap(err, "opening the listener for peers at %s", d.settings.Listen.Peers)
	}
	d.peerServer = peer.NewServer(listener, nil, d.logger)
	d.peerServer.BoundInput(newInputBudget(messagesPercent, d.settings.MemoryMB))
	d.mesh = mesh.New(mesh.Config{Self: d.self, Seeds: d.settings.Seeds, Caller: d.peerClient, Logger: d.logger})
	d.mesh.SetDelegate(&meshDelegate{Daemon: d})
	return nil
}

func (d *Daemon) setupBroker() {
	yield := func(instance string, number uint64) bool { return d.jobService.Yield(instance, number) }
	d.broker = broker.New(d.self.Domain, xxhash.Sum64String(d.self.Name), yield)
	if d.settings.Adaptive.BatchForecast {
		d.broker.UseForecast(d.logger)
	}
	d.brokerClient = broker.NewClient(broker.ClientOptions{
		Self: d.self, Peers: d.mesh, Caller: d.peerClient, Broker: d.broker, Local: d.placer,
		Connected: d.targets.Connected, FairQueue: d.settings.Adaptive.FairQueue,
		ListAge: d.view.ListAge, ListedAs: d.listed.state, Logger: d.logger,
	})
	d.broker.SetListAge(d.view.ListAge)
	if d.settings.Adaptive.FairQueue {
		d.broker.EnableFairQueue(d.logger)
	}
	d.broker.SetIsSoleBroker(d.brokerClient.IsSoleBroker)
	d.placer.SetPaceMaxAge(d.settings.Adaptive.PaceMaxAge)
	d.broker.SetPaceMaxAge(d.settings.Adaptive.PaceMaxAge)
	d.targets.OnMalformedLoad(d.brokerClient.MalformedLoad)
}

func (d *Daemon) setupInFlight() {
	d.runsSent = inflight.NewSender(inflight.SenderOptions{Self: d.self, Peers: d.mesh, Caller: d.peerClient, Logger: d.logger})
	d.runsHeld = inflight.NewHolder(d.checkLostRuns, d.logger)
}

// checkLostRuns has the targets of runs checked whose sender is down or silent. Until that is complete, they count as runs
// of this instance, which may be lost as well.
func (d *Daemon) checkLostRuns(runs []inflight.LostRun) {
	for _, run := range runs {
		run.Age = time.Since(run.SentAt)
		number := d.runsSent.Begin(context.Background(), run.Run, false)
		d.quarantine.SenderLost(quarantine.LostRequest{
			Request: quarantine.Request{ID: run.ID, Key: run.Key, Parts: run.Parts}, Answered: run.Answered, Target: run.Target, Address: run.Address, Domain: run.Domain, Started: run.Started,
			Position: run.Position, Trial: run.Trial, SentAt: run.SentAt, DataAt: run.SentAt, Checked: func() { d.runsSent.End(number) },
		})
	}
}

// instanceStarted records as which incarnation another instance runs.
func (d *Daemon) instanceStarted(name string, start int64) {
	d.runsHeld.InstanceStarted(name, start)
	d.runsSent.InstanceStarted(name, start)
}

// instanceLost records that another instance is down or silent, with the runs that it has sent and those that it holds.
func (d *Daemon) instanceLost(name string) {
	d.runsHeld.InstanceLost(name)
	d.runsSent.InstanceLost(name)
}

func (d *Daemon) setupOrigins() {
	d.versions = origin.NewArchive(origin.ArchiveOptions{
		Log: d.store, Summaries: external.Partition{Topic: versionsTopic}, Targets: platform.Targets,
		DecodeTarget: platform.DecodeTarget, Listed: d.view.Targets, IsWriter: d.writesVersions,
		Recent: func() origin.VersionSet { return d.origins.RecentVersions() },
		Seed:   xxhash.Sum64String(d.self.Name), Logger: d.logger,
	})
	d.origins = origin.New(origin.Options{
		Self: d.self, Peers: d.mesh, Caller: d.peerClient, ListAge: d.view.ListAge, Past: d.versions.Past, Logger: d.logger,
	})
}

// writesVersions reports whether this instance writes which software versions services have had: it ranks
// first among the instances that it reaches.
func (d *Daemon) writesVersions() bool {
	const purpose = "versions"
	own := mesh.Rank(purpose, d.self)
	return !slices.ContainsFunc(d.mesh.AllUp(), func(i mesh.Instance) bool { return mesh.Rank(purpose, i) < own })
}

func (d *Daemon) setupBatchJobs() {
	s := d.settings.Store
	opts := &batchjobs.Options{
		Member: d.self.Name,
		Topic:  jobsTopic, Partitions: s.Partitions, Group: jobsGroup,
		RecordBytes: s.RecordBytes, CallBytes: s.CallBytes, Readable: d.settings.ResultsReadable,
		Log: d.store, Groups: d.store, Peers: d.mesh, Caller: d.peerClient,
		Table: d.view.Table, StoreAge: d.view.StoreAge, StoreAnswered: d.view.StoreAnswered,
		Targets: d.targets, Placer: d.brokerClient, OnlyVersion: d.origins.OnlyVersion,
		SharedParts: platform.SharedParts, Quarantine: d.quarantine, Incarnations: d.quarantine, InFlight: d.runsSent, Logger: d.logger,
	}
	d.runner = batchjobs.NewRunner(opts)
	d.partitionOwner = batchjobs.NewPartitionOwner(opts, d.runner)
	d.jobService = batchjobs.NewJobService(opts, d.partitionOwner, d.runner)
}

func (d *Daemon) setupFront() {
	d.input = newInputBudget(inputPercent, d.settings.MemoryMB)
	d.heldBytes = newHeldBytes(d.settings)
	d.loadMonitor = front.NewLoadMonitor(front.LoadLimits{MemoryMB: d.settings.MemoryMB, SchedulingLag: d.settings.MaxSchedulingLag}, d.logger)
	d.front = front.New(front.Options{
		Listen: d.listeners.callers,
		Codec: front.Codec{
			DecodeRequest: platform.DecodeRequest, DecodeJobCall: platform.DecodeJobCall,
			DecodeItems: platform.DecodeItems, EncodeResults: platform.EncodeResults,
			EncodeRetryAfter: platform.EncodeRetryAfter,
		},
		Table: d.view.Table,
		Quota: d.limiter,
		Relay: relay.New(relay.Options{
			Targets: d.targets, Placer: d.brokerClient, Origins: d.origins, VersionsForNew: d.origins.VersionsForNew, Quarantine: d.quarantine, Incarnations: d.quarantine, InFlight: d.runsSent, AnswerBuffers: d.heldBytes,
			Times: d.times, Logger: d.logger,
		}),
		HeldBytes: cmp.Or(d.heldBytes, newHeldBodies(d.settings.MemoryMB)), Input: d.input, MaxConnections: d.loadMonitor.MaxConnections(),
		Jobs: d.jobService, JobsUnavailable: d.isolation.jobRetryAfter, Admit: d.loadMonitor.Admit, Logger: d.logger,
	})
}

func (d *Daemon) registerReceivers() error {
	receivers := map[string]any{
		mesh.ServiceName:       d.mesh.Receiver(),
		broker.ReceiverName:    d.broker.Receiver(),
		origin.ReceiverName:    d.origins.Receiver(),
		batchjobs.ReceiverName: d.jobService.Receiver(),
		batchjobs.WaiterName:   d.jobService.Waiter(),
		inflight.ReceiverName:  d.runsHeld.Receiver(),
	}
	for name, receiver := range receivers {
		if err := d.peerServer.Register(name, receiver); err != nil {
			return trace.Wrap(err, "receiver %s", name)
		}
	}
	return nil
}

// buildSupervisor adds every background service to the supervisor. A panic means a
// broken invariant and stops the process; the platform restarts it.
func (d *Daemon) buildSupervisor() {
	d.supervisor = suture.New("tillerd", suture.Spec{EventHook: d.logSupervisorEvent, PassThroughPanics: true})
	for _, service := range d.view.BackgroundServices() {
		d.supervisor.Add(service)
	}
	d.supervisor.Add(d.storeCalls)
	d.supervisor.Add(d.peerServer)
	d.supervisor.Add(d.mesh)
	d.supervisor.Add(newRegistration(d))
	d.supervisor.Add(d.broker)
	d.supervisor.Add(d.brokerClient)
	d.supervisor.Add(d.origins)
	d.supervisor.Add(d.versions)
	d.supervisor.Add(d.runsSent)
	d.supervisor.Add(d.quarantine)
	d.supervisor.Add(d.quarantine.Checker())
	d.supervisor.Add(d.quarantine.Keeper())
	d.supervisor.Add(d.mesh.Notifier(d.quarantine.Urgent()))
	d.supervisor.Add(&broker.Sweeper{
		Broker: d.broker, IsBroker: d.brokerClient.IsBroker, Targets: d.targets, FilterOrphans: d.jobService.Orphans, Logger: d.logger,
	})
	d.supervisor.Add(&broker.HealthChecker{Broker: d.broker, Targets: d.targets, Logger: d.logger})
	d.supervisor.Add(d.runner)
	d.supervisor.Add(d.partitionOwner)
	d.supervisor.Add(d.front)
	d.supervisor.Add(d.loadMonitor)
	d.supervisor.Add(&readinessServer{daemon: d, listen: d.listeners.readiness})
	if d.settings.Listen.Metrics != "" {
		d.supervisor.Add(&metricsServer{daemon: d, listen: d.listeners.metrics})
	}
}

// closeConnections closes the connections to targets, the store and peers.
func (d *Daemon) closeConnections() {
	d.targets.Close()
	d.store.Close()
	d.peerClient.Close()
}

func (d *Daemon) logSupervisorEvent(e suture.Event) {
	_ = level.Warn(d.logger).Log("event", "duty_failed", "detail", e.String())
}

// Run serves until ctx ends, and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	servicesCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := d.supervisor.ServeBackground(servicesCtx)
	_ = level.Info(d.logger).Log("event", "started", "instance", d.self.Name, "domain", d.self.Domain,
		"callers", d.settings.Listen.Callers, "peers", d.settings.Listen.Peers, "store", d.settings.Store.Address)
	select {
	case <-ctx.Done():
		d.leave()
	case <-d.killed.Done():
	case err := <-done:
		return trace.Wrap(err)
	}
	stop()
	defer d.closeConnections()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	_ = level.Info(d.logger).Log("event", "stopped")
	return nil
}

var (
	_ external.KeyedLog = (*platform.Store)(nil)
	_ external.Groups   = (*platform.Store)(nil)
	_ external.Sender   = (*targetconn.Client)(nil)

	_ external.HealthChecker = (*targetconn.Client)(nil)
)
