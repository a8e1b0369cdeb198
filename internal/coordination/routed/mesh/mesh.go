package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/protocol"
	"merlintiller/internal/wait"
)

const (
	// tickInterval is the period at which due messages are sent. For an instance that sends
	// only to relays it is the interval between its messages. Such an instance sends messages
	// up to half a period early, so that messages to several relays go out together.
	tickInterval = 25 * time.Millisecond
	// callTimeout bounds a message and its answer. The latency between instances is a few
	// milliseconds.
	callTimeout = 300 * time.Millisecond
	// ForgetTimeout is the silence after which an instance is removed from the view. An
	// isolated instance that is still running keeps using its share of the rates, which is
	// no longer reserved for it after this time. Network partitions longer than this are
	// rarer than instances that never return.
	ForgetTimeout = 60 * time.Second
	// recentlyStartedFor is how long after its start an instance is reported as Young. In
	// that time it can't hold anything that it has lost without knowing it, because it joins
	// the group several times.
	recentlyStartedFor = 2 * time.Second
	// downRetryInterval is the interval at which an instance that refused a connection is
	// tried again.
	downRetryInterval = 500 * time.Millisecond
)

var (
	exchangesAnswered = metrics.NewCounter(`peer_messages_total{outcome="answered"}`)
	exchangesFailed   = metrics.NewCounter(`peer_messages_total{outcome="failed"}`)
)

// Versions are the versions of the shared state that this instance has and that a peer may
// have newer.
type Versions struct {
	Config     int64
	RosterMark int64
	// RosterDigest is a digest of the list of targets.
	RosterDigest uint64
	// StoreAge is the time since the platform's store last answered, ListAge that since the list
	// of targets was known to be current.
	StoreAge, ListAge time.Duration
}

// Delegate supplies the local state that the mesh sends to peers, and receives the state
// and the events of peers.
type Delegate interface {
	// Versions returns the versions that this instance has.
	Versions() Versions
	// FillHeartbeat sets the fields of a heartbeat that the mesh does not know itself.
	FillHeartbeat(*Heartbeat)
	// SnapshotSince returns what is newer here than the caller's versions.
	SnapshotSince(SnapshotArgs) SnapshotReply
	// ApplySnapshot adopts what another instance has that is newer.
	ApplySnapshot(SnapshotReply)
	// HeartbeatReceived processes a heartbeat of another instance. The instance counts as
	// silent if no further heartbeat arrives within silenceTimeout.
	HeartbeatReceived(heartbeat Heartbeat, silenceTimeout time.Duration)
	// PeersConfirmedAlive processes relays' reports of when they last received heartbeats
	// from other instances.
	PeersConfirmedAlive([]quota.Liveness)
	// QuarantineSince returns the report of crashes and closed parts that changed since a version,
	// nil if nothing has. With ownEnds, it has only those ended targets that this instance has seen
	// itself.
	QuarantineSince(version uint64, ownEnds bool) *quarantine.Report
	// QuarantineReceived processes such a report of another instance.
	QuarantineReceived(from string, report *quarantine.Report)
	// PeerSilent reports that an instance has become silent. PeerDown reports that its
	// process is known not to run, or that the instance was removed after ForgetTimeout.
	PeerSilent(Instance)
	PeerDown(name string)
	// SetDomainSilent reports whether all instances of another failure domain are silent.
	// It is called in every tick, also without a change.
	SetDomainSilent(domain string, silent bool)
	// Ticked is called in every tick, with the time until the next one.
	Ticked(next time.Duration)
	// PeerDiscovered reports an instance from which no heartbeat has been received yet.
	PeerDiscovered(name string)
	// FleetKnown is called in every tick once all instances that are listed in the store have
	// been reported.
	FleetKnown()
}

// Mesh is the background service that exchanges heartbeats with other instances.
type Mesh struct {
	self     Instance
	caller   protocol.Caller
	delegate Delegate
	logger   log.Logger

	// applyMu serialises updates of the view and the delegate. An instance's counts must
	// reach the delegate before the instance counts as seen, whichever message brought
	// them. It is locked before mu.
	applyMu sync.Mutex

	mu    sync.Mutex
	seeds []string
	view  *View
	links map[string]*link
	// reportedStates and reportedSilent are the states of peers and domains that were last
	// reported to the delegate.
	reportedStates map[string]State
	reportedSilent map[string]bool
	// fleetKnown is set once the instances that are listed in the store are in the view.
	fleetKnown bool
	// fetchingFrom has the addresses from which a snapshot is being fetched, fetchBegan is when
	// the last fetch began. comparedAt is when a snapshot was last fetched because the sets of
	// known instances differed.
	fetchingFrom map[string]bool
	fetchBegan   time.Time
	comparedAt   time.Time

	// feed is the feed that this instance offers. feedReaders are its positions in the
	// feeds of others, by instance name.
	feed        *feed
	feedReaders map[string]*feedReader
	// configBehindSince is when a newer configuration was first reported by a peer.
	configBehindSince time.Time
	// partners are the instances to send messages to in a large fleet, as of partnersAt.
	// isRelay reports that this instance is a relay.
	partners   []partner
	partnersAt time.Time
	isRelay    bool
	// isFirstRelay reports that this instance is the relay that the others of its domain read first.
	isFirstRelay bool
	// startedAt is the start of this incarnation on the monotonic clock.
	startedAt time.Time

	// heartbeatMu guards seq, heartbeat and heartbeatAt: the number of the last message,
	// and the heartbeat of this instance as of heartbeatAt.
	heartbeatMu sync.Mutex
	seq         uint64
	heartbeat   Heartbeat
	heartbeatAt time.Time
}

// Config holds the parameters of New.
type Config struct {
	Self Instance
	// Seeds are addresses of instances that are contacted while no peer is up.
	Seeds  []string
	Caller protocol.Caller
	Logger log.Logger
}

// New returns a mesh that sends nothing until Serve is called.
func New(c Config) *Mesh {
	return &Mesh{
		self: c.Self, seeds: c.Seeds, caller: c.Caller, logger: c.Logger,
		view: NewView(c.Self, ForgetTimeout),
		feed: newFeed(rand.Uint64()), feedReaders: map[string]*feedReader{}, startedAt: time.Now(),
		fetchingFrom:   map[string]bool{},
		links:          map[string]*link{},
		reportedStates: map[string]State{},
		reportedSilent: map[string]bool{},
	}
}

// SetDelegate sets the delegate. It must be called before Serve.
func (m *Mesh) SetDelegate(delegate Delegate) { m.delegate = delegate }

// Self returns the identity of this incarnation.
func (m *Mesh) Self() Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// SetSeeds replaces the seeds.
func (m *Mesh) SetSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = addresses
}

// AddInstances adds instances that the platform's store or a peer has listed. complete reports
// that the store's list is part of them.
func (m *Mesh) AddInstances(list []Instance, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.AddInstances(time.Now(), list)
	m.fleetKnown = m.fleetKnown || complete
}

// PresumedDead returns the instances that are down or have been silent for half of
// ForgetTimeout.
func (m *Mesh) PresumedDead() []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.PresumedDead(time.Now(), ForgetTimeout/2)
}

// Peers returns the other instances.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Peers(time.Now())
}

// Up returns the instances of a failure domain that are up and not leaving.
func (m *Mesh) Up(domain string) []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Up(time.Now(), domain)
}

// AllUp returns the instances of all failure domains that are up and not leaving.
func (m *Mesh) AllUp() []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.AllUp(time.Now())
}

// CountNotDown returns the number of other instances of a failure domain whose processes
// are not known to be down, silent ones included.
func (m *Mesh) CountNotDown(domain string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.CountNotDown(time.Now(), domain)
}

// Isolated reports that all instances of all other failure domains are silent.
func (m *Mesh) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Isolated(time.Now())
}

// Claims returns the batch items that instances that are up run without owning the
// partition.
func (m *Mesh) Claims() []Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Claims(time.Now())
}

// OwnerOf returns the instance that owns a partition, if it is known.
func (m *Mesh) OwnerOf(partition int) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.OwnerOf(time.Now(), partition)
}

// String implements fmt.Stringer. It returns the name of the service.
func (m *Mesh) String() string { return "mesh" }

// Serve exchanges messages until ctx ends.
func (m *Mesh) Serve(ctx context.Context) error {
	for {
		period := m.tickPeriod()
		m.delegate.Ticked(period)
		m.reportChanges()
		for _, p := range m.dueExchanges(time.Now()) {
			go m.exchange(ctx, p)
		}
		if !wait.For(ctx, period) {
			return ctx.Err()
		}
	}
}

// tickPeriod returns the time until the next tick.
func (m *Mesh) tickPeriod() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.usesRelays() && !m.isRelay {
		return m.view.timing().sameDomain
	}
	return tickInterval
}
