package mesh

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// roundEvery is the period of messages inside the failure domain. Messages
	// go both ways and both sides begin, so that each hears twice as often.
	// Slots are taken for 0.7 s; counts 50 ms old misplace few requests.
	roundEvery = 100 * time.Millisecond
	// farEvery is how many rounds go by between two messages to other failure
	// domains, where bytes cost.
	farEvery = 2
	// callTimeout bounds a message. Instances are some milliseconds apart.
	callTimeout = 300 * time.Millisecond
	// snapshotTimeout bounds the fetching of a configuration.
	snapshotTimeout = time.Second
	// SilentAfter is the silence after which an instance counts as silent: more
	// than two messages of another failure domain were lost.
	SilentAfter = 500 * time.Millisecond
	// ForgetAfter is the silence after which it is no longer known. An
	// instance that is cut off serves on with its part of the rates; cuts
	// longer than this are rarer than instances that never come back.
	ForgetAfter = 60 * time.Second
	// downRetry is how often an instance that refused a connection is tried.
	downRetry = 500 * time.Millisecond
)

var (
	sent      = metrics.NewCounter(`peer_messages_total{outcome="answered"}`)
	unheard   = metrics.NewCounter(`peer_messages_total{outcome="failed"}`)
	snapshots = metrics.NewCounter(`peer_snapshots_total`)
)

// Caller invokes a net/rpc method at an address.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Local is what the mesh tells of this instance and whom it tells what it hears.
type Local interface {
	// Describe fills in what this instance knows of itself.
	Describe(*Beat)
	// Newer gives what is newer here than the caller's versions.
	Newer(SnapshotArgs) SnapshotReply
	// Adopt takes over what another instance has that is newer.
	Adopt(SnapshotReply)
	// PeerHeard takes over another instance's message.
	PeerHeard(Beat)
	// PeerSilent tells that an instance is silent, PeerGone that its process
	// is not there or was forgotten.
	PeerSilent(name string)
	PeerGone(name string)
	// DomainSilent tells whether all instances of another failure domain are
	// silent. It is called again and again.
	DomainSilent(domain string, silent bool)
	// PeerListed tells that an instance exists that was not heard yet.
	PeerListed(name string)
}

// Mesh is the duty that keeps in touch.
type Mesh struct {
	self   Instance
	seeds  []string
	caller Caller
	local  Local
	logger log.Logger

	mu       sync.Mutex
	view     *View
	seq      uint64
	busy     map[string]bool
	retryAt  map[string]time.Time
	states   map[string]State
	silent   map[string]bool
	fetching bool
	// comparedAt is when the lists of instances were compared last.
	comparedAt time.Time
}

// Config makes a Mesh.
type Config struct {
	Self Instance
	// Seeds are addresses of instances that are asked while no other is known.
	Seeds  []string
	Caller Caller
	Logger log.Logger
}

// New returns a mesh that is idle until Serve.
func New(c Config) *Mesh {
	return &Mesh{
		self: c.Self, seeds: c.Seeds, caller: c.Caller, logger: c.Logger,
		view:    NewView(c.Self, SilentAfter, ForgetAfter),
		busy:    map[string]bool{},
		retryAt: map[string]time.Time{},
		states:  map[string]State{},
		silent:  map[string]bool{},
	}
}

// Attach gives the mesh what it speaks of. It must come before Serve.
func (m *Mesh) Attach(local Local) { m.local = local }

// String names the duty.
func (m *Mesh) String() string { return "mesh" }

// Serve exchanges messages until ctx ends.
func (m *Mesh) Serve(ctx context.Context) error {
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		m.settle()
		m.round(ctx, round)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// round starts a message to each instance that is due and has answered the one
// before.
func (m *Mesh) round(ctx context.Context, round int) {
	for _, address := range m.due(time.Now(), round) {
		go m.exchange(ctx, address)
	}
}

func (m *Mesh) due(now time.Time, round int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	anyUp := false
	for _, p := range m.view.Peers(now) {
		anyUp = anyUp || p.State == Up
		if p.Domain != m.self.Domain && round%farEvery != 0 {
			continue
		}
		out = m.add(now, out, p.Address)
	}
	if !anyUp {
		for _, seed := range m.seeds {
			if seed != m.self.Address {
				out = m.add(now, out, seed)
			}
		}
	}
	return out
}

func (m *Mesh) add(now time.Time, out []string, address string) []string {
	if m.busy[address] || now.Before(m.retryAt[address]) {
		return out
	}
	m.busy[address] = true
	return append(out, address)
}

func (m *Mesh) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := m.beat()
	var reply Beat
	err := m.caller.Call(ctx, address, methodExchange, &args, &reply)
	m.mu.Lock()
	delete(m.busy, address)
	if err != nil {
		m.failed(address, err)
	}
	m.mu.Unlock()
	if err != nil {
		unheard.Inc()
		return
	}
	sent.Inc()
	m.take(reply)
}

// failed notes a message without an answer.
func (m *Mesh) failed(address string, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.view.Refused(address)
		m.retryAt[address] = time.Now().Add(downRetry)
	}
}

// beat tells of this instance.
func (m *Mesh) beat() Beat {
	m.mu.Lock()
	m.seq++
	beat := Beat{From: m.self, Seq: m.seq, Known: m.view.Digest()}
	m.mu.Unlock()
	m.local.Describe(&beat)
	return beat
}

// take takes over a message and fetches what the sender has that is newer.
func (m *Mesh) take(beat Beat) {
	m.mu.Lock()
	fresh := m.view.Heard(time.Now(), beat)
	m.mu.Unlock()
	if !fresh {
		return
	}
	m.local.PeerHeard(beat)
	m.catchUp(beat)
}

// catchUp fetches from one instance at a time.
func (m *Mesh) catchUp(beat Beat) {
	var own Beat
	m.local.Describe(&own)
	newer := beat.ConfigVersion > own.ConfigVersion ||
		beat.RosterMark > own.RosterMark && own.StoreAge > beat.StoreAge+staleStore
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !newer && beat.Known != m.view.Digest() && now.Sub(m.comparedAt) > compareEvery {
		m.comparedAt = now
		newer = true
	}
	if !newer || m.fetching {
		return
	}
	m.fetching = true
	go m.fetch(beat.From.Address, SnapshotArgs{ConfigVersion: own.ConfigVersion, RosterMark: own.RosterMark})
}

// compareEvery is the least time between two comparisons of the lists of known
// instances. They differ for a moment whenever one comes or goes.
const compareEvery = 700 * time.Millisecond

// staleStore is how much longer than another instance this one must have been
// without the store before it asks for the list of targets: two periods of its
// own reads.
const staleStore = 1200 * time.Millisecond

func (m *Mesh) fetch(address string, args SnapshotArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	var reply SnapshotReply
	err := m.caller.Call(ctx, address, methodSnapshot, &args, &reply)
	m.mu.Lock()
	m.fetching = false
	m.mu.Unlock()
	if err != nil {
		_ = level.Warn(m.logger).Log("event", "peer_snapshot_failed", "peer", address, "err", err)
		return
	}
	snapshots.Inc()
	m.Listed(reply.Instances)
	m.local.Adopt(reply)
}

// SetSeeds replaces the seeds.
func (m *Mesh) SetSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = addresses
}

// Listed makes instances known that the platform's store or another instance
// names.
func (m *Mesh) Listed(list []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Listed(time.Now(), list)
}

// Lost gives instances that are not there any more, as far as can be told.
func (m *Mesh) Lost() []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Lost(time.Now(), ForgetAfter/2)
}

// settle tells what changed by the passing of time.
func (m *Mesh) settle() {
	now := time.Now()
	m.mu.Lock()
	gone := m.view.Forget(now)
	peers := m.view.Peers(now)
	domains := m.view.SilentDomains(now)
	m.mu.Unlock()
	for domain, silent := range domains {
		if m.silent[domain] != silent {
			m.silent[domain] = silent
			_ = level.Info(m.logger).Log("event", "domain_silent", "domain", domain, "silent", silent)
		}
		m.local.DomainSilent(domain, silent)
	}
	for _, name := range gone {
		m.changed(Peer{Instance: Instance{Name: name}, State: Down})
		delete(m.states, name)
	}
	for _, p := range peers {
		if was, known := m.states[p.Name]; !known || was != p.State {
			m.states[p.Name] = p.State
			m.changed(p)
		}
	}
}

func (m *Mesh) changed(p Peer) {
	names := map[State]string{Unheard: "listed", Up: "up", Silent: "silent", Down: "down"}
	_ = level.Info(m.logger).Log("event", "peer_state", "peer", p.Name, "domain", p.Domain, "state", names[p.State],
		"heard", p.Heard.UnixMilli(), "seq", p.Beat.Seq)
	switch p.State {
	case Unheard:
		m.local.PeerListed(p.Name)
	case Silent:
		m.local.PeerSilent(p.Name)
	case Down:
		m.local.PeerGone(p.Name)
	case Up:
	}
}

// Peers gives the other instances.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Peers(time.Now())
}

// Holder gives the instance that holds a partition, as far as it is known.
func (m *Mesh) Holder(partition int) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Holder(time.Now(), partition)
}
