package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/protocol"
	"merlintiller/internal/wait"
)

const (
	// tickEvery is how often it is looked which messages are due, relayedTickEvery the
	// same of an instance that only speaks to relays. What is due within half of it goes
	// at once, so that messages to several relays go together.
	tickEvery        = 25 * time.Millisecond
	relayedTickEvery = 200 * time.Millisecond
	// callTimeout bounds a message. Instances are some milliseconds apart.
	callTimeout = 300 * time.Millisecond
	// ForgetAfter is the silence after which an instance is no longer known. One
	// that is cut off serves on with its part of the rates; cuts longer than this
	// are rarer than instances that never come back.
	ForgetAfter = 60 * time.Second
	// youngFor is how long after its start an instance can't hold anything from before
	// that it does not know to be lost: it joins the group several times meanwhile.
	youngFor = 2 * time.Second
	// downRetry is how often an instance that refused a connection is tried.
	downRetry = 500 * time.Millisecond
)

var (
	sent    = metrics.NewCounter(`peer_messages_total{outcome="answered"}`)
	unheard = metrics.NewCounter(`peer_messages_total{outcome="failed"}`)
)

// Versions are what an instance has of the things that others may have newer.
type Versions struct {
	Config     int64
	RosterMark int64
	// RosterDigest sums up the list of targets.
	RosterDigest uint64
	// StoreAge is the time since the platform's store answered.
	StoreAge time.Duration
}

// Delegate is what the mesh tells of this instance and whom it tells what it hears.
type Delegate interface {
	// Versions gives what this instance has.
	Versions() Versions
	// FillHeartbeat fills in what else this instance knows of itself.
	FillHeartbeat(*Heartbeat)
	// SnapshotSince gives what is newer here than the caller's versions.
	SnapshotSince(SnapshotArgs) SnapshotReply
	// ApplySnapshot takes over what another instance has that is newer.
	ApplySnapshot(SnapshotReply)
	// HeartbeatReceived takes over another instance's message. After the patience without
	// a further one the instance counts as silent.
	HeartbeatReceived(beat Heartbeat, patience time.Duration)
	// PeersConfirmedAlive takes over when relays heard of other instances.
	PeersConfirmedAlive([]quota.Liveness)
	// PeerSilent tells that an instance is silent, PeerGone that its process
	// is not there or was forgotten.
	PeerSilent(Instance)
	PeerDown(name string)
	// SetDomainSilent tells whether nobody of another failure domain is heard. It is
	// called again and again.
	SetDomainSilent(domain string, silent bool)
	// PeerDiscovered tells that an instance exists that was not heard yet.
	PeerDiscovered(name string)
}

// Mesh is the duty that keeps in touch.
type Mesh struct {
	self   Instance
	caller protocol.Caller
	local  Delegate
	logger log.Logger

	// applying orders what is told of other instances: what one let in must be taken over
	// before it counts as heard, whichever message brought it. It is taken before mu.
	applying sync.Mutex

	mu    sync.Mutex
	seeds []string
	view  *View
	links map[string]*link
	// states and silent are what was told of instances and domains last.
	states map[string]State
	silent map[string]bool
	// fetching says that something newer is being fetched, comparedAt when the
	// lists of instances were compared last.
	fetching   bool
	comparedAt time.Time

	// feed is what this instance passes on, intakes how far the feeds of others were
	// read, by name.
	feed    *feed
	intakes map[string]*intake
	// behindSince is when it was first heard that there is a newer configuration.
	behindSince time.Time
	// chosen are the partners in a large fleet, as of chosenAt; relay says that this
	// instance is a relay.
	chosen   []partner
	chosenAt time.Time
	relay    bool
	// began is when this life started, by the steady clock.
	began time.Time

	// description is what others are told of this instance, as of describedAt, and seq
	// the number of the last message.
	describing  sync.Mutex
	seq         uint64
	description Heartbeat
	describedAt time.Time
}

// Config makes a Mesh.
type Config struct {
	Self Instance
	// Seeds are addresses of instances that are asked while no other is known.
	Seeds  []string
	Caller protocol.Caller
	Logger log.Logger
}

// New returns a mesh that is idle until Serve.
func New(c Config) *Mesh {
	return &Mesh{
		self: c.Self, seeds: c.Seeds, caller: c.Caller, logger: c.Logger,
		view: NewView(c.Self, ForgetAfter),
		feed: newFeed(rand.Uint64()), intakes: map[string]*intake{}, began: time.Now(),
		links:  map[string]*link{},
		states: map[string]State{},
		silent: map[string]bool{},
	}
}

// SetDelegate gives the mesh what it speaks of. It must come before Serve.
func (m *Mesh) SetDelegate(local Delegate) { m.local = local }

// Self names this life of this instance.
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

// AddInstances makes instances known that the platform's store or another instance
// names.
func (m *Mesh) AddInstances(list []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Listed(time.Now(), list)
}

// PresumedDead gives instances that are not there any more, as far as can be told.
func (m *Mesh) PresumedDead() []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Lost(time.Now(), ForgetAfter/2)
}

// Peers gives the other instances.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Peers(time.Now())
}

// Up gives the instances of a failure domain that are heard and do not leave.
func (m *Mesh) Up(domain string) []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Up(time.Now(), domain)
}

// Alive counts the other instances of a failure domain whose processes are not known to be
// gone, heard or not.
func (m *Mesh) CountNotDown(domain string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Alive(time.Now(), domain)
}

// Isolated says that nobody of another failure domain is heard any more.
func (m *Mesh) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.CutOff(time.Now())
}

// Claimed gives the batch items that instances which are heard run for others.
func (m *Mesh) Claims() []Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Claims(time.Now())
}

// Holder gives the instance that holds a partition, as far as it is known.
func (m *Mesh) OwnerOf(partition int) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Holder(time.Now(), partition)
}

// String names the duty.
func (m *Mesh) String() string { return "mesh" }

// Serve exchanges messages until ctx ends.
func (m *Mesh) Serve(ctx context.Context) error {
	for {
		m.settle()
		for _, p := range m.due(time.Now()) {
			go m.exchange(ctx, p)
		}
		if !wait.For(ctx, m.tick()) {
			return ctx.Err()
		}
	}
}

// tick is the time until the next look.
func (m *Mesh) tick() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.large() && !m.relay {
		return relayedTickEvery
	}
	return tickEvery
}
