package member

import (
	"context"
	"errors"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
	"merlintiller/internal/wait"
)

// counters is published as "heartbeats" in expvar.
var counters = expvar.NewMap("heartbeats")

// Heartbeats is the background service that exchanges heartbeats with other
// instances. It implements coordination.Peers and journal.SnapshotSource.
type Heartbeats struct {
	opts   Options
	logger log.Logger

	mu    sync.Mutex
	view  *View
	local LocalState
	seeds []string
}

// NewHeartbeats returns a service that sends nothing until Attach is called.
func NewHeartbeats(opts Options) *Heartbeats {
	opts.setDefaults()
	return &Heartbeats{
		opts:   opts,
		logger: log.With(opts.Logger, "duty", "heartbeats"),
		view:   NewView(opts.Instance, opts.Domain, opts.Limits),
		seeds:  opts.Seeds,
	}
}

// Attach sets the local state that heartbeats report. It is separate from
// NewHeartbeats because the journal, which provides the state, is created later:
// it needs Heartbeats to load a snapshot from a peer at startup.
func (h *Heartbeats) Attach(local LocalState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.local = local
}

// String returns the name of the service for the supervisor.
func (h *Heartbeats) String() string { return "heartbeats" }

// Serve exchanges heartbeats at each interval until ctx is done.
func (h *Heartbeats) Serve(ctx context.Context) error {
	return wait.Every(ctx, h.opts.Interval, func() { h.runRound(ctx) })
}

func (h *Heartbeats) runRound(ctx context.Context) {
	local := h.localState()
	if local == nil {
		return
	}
	h.refreshSessions(local)
	h.exchange(ctx, h.partners())
	h.fetchNewerConfig(ctx, local)
}

func (h *Heartbeats) localState() LocalState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.local
}

// refreshSessions updates the view with the open sessions of the replayed state.
func (h *Heartbeats) refreshSessions(local LocalState) {
	var known []KnownInstance
	local.View(func(s *replica.State) {
		for _, info := range s.Sessions.All() {
			known = append(known, KnownInstance{
				Instance: info.Instance,
				Session:  info.Session,
				Domain:   info.Domain,
				Address:  info.PeerAddress,
			})
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.UpdateSessions(time.Now(), known)
}

// partners returns the addresses to send heartbeats to. It adds the seeds while
// no peer is reachable.
func (h *Heartbeats) partners() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	addresses := h.view.Partners()
	if h.view.AnyReachable(time.Now()) {
		return addresses
	}
	for _, address := range h.seeds {
		if address != h.opts.Address && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// SetSeeds replaces the seed addresses, for example with those in the platform's
// list of instances.
func (h *Heartbeats) SetSeeds(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = slices.Clone(addresses)
}

// exchange sends one heartbeat to each address and waits until every call has
// returned or timed out.
func (h *Heartbeats) exchange(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.Timeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() { h.exchangeOne(ctx, address) })
	}
	calls.Wait()
}

func (h *Heartbeats) exchangeOne(ctx context.Context, address string) {
	args := h.localHeartbeat()
	var reply Heartbeat
	counters.Add("sent", 1)
	if err := h.opts.Caller.Call(ctx, address, MethodHeartbeat, &args, &reply); err != nil {
		counters.Add("failed", 1)
		return
	}
	h.applyHeartbeat(reply)
}

// localHeartbeat returns the heartbeat of this instance.
func (h *Heartbeats) localHeartbeat() Heartbeat {
	heartbeat := Heartbeat{
		Instance:     h.opts.Instance,
		Domain:       h.opts.Domain,
		Address:      h.opts.Address,
		Applied:      protocol.NoOffset,
		FleetVersion: protocol.NoOffset,
	}
	local := h.localState()
	if local == nil || !isLoaded(local) {
		return heartbeat
	}
	tombstones := local.Tombstones()
	heartbeat.Session = local.Session()
	heartbeat.Loaded = true
	heartbeat.Applied, heartbeat.Digest = local.Digest()
	heartbeat.FleetVersion = local.Fleet().Version
	heartbeat.Tombstones = tombstones[:min(len(tombstones), MaxHeartbeatTombstones)]
	return heartbeat
}

func isLoaded(local LocalState) bool {
	select {
	case <-local.Loaded():
		return true
	default:
		return false
	}
}

// applyHeartbeat records a heartbeat from a peer and merges its tombstones.
func (h *Heartbeats) applyHeartbeat(heartbeat Heartbeat) {
	h.mu.Lock()
	h.view.RecordHeartbeat(time.Now(), heartbeat)
	local := h.local
	h.mu.Unlock()
	if local == nil {
		return
	}
	local.MergeTombstones(heartbeat.Tombstones)
	h.checkDivergence(local, heartbeat)
}

// checkDivergence logs an event if a peer reached different verdicts on the same
// part of the control stream. After such a divergence both instances may complete
// the same item or hold the same resource. An instance can't determine which
// verdict is right, so an operator has to replace the instances of one of the two
// releases.
func (h *Heartbeats) checkDivergence(local LocalState, heartbeat Heartbeat) {
	own, known := local.DigestAt(heartbeat.Applied)
	if !heartbeat.Loaded || !known || own == heartbeat.Digest {
		return
	}
	counters.Add("diverged", 1)
	_ = h.logger.Log("event", "replica_diverged", "peer", heartbeat.Instance, "applied", heartbeat.Applied)
}

// fetchNewerConfig installs a snapshot from a peer that has a newer configuration
// while the log can't be read. While the log is up, replay of the control stream
// provides new configurations.
func (h *Heartbeats) fetchNewerConfig(ctx context.Context, local LocalState) {
	if !isLoaded(local) || local.LogUp() {
		return
	}
	h.mu.Lock()
	address, ok := h.view.NewestConfigPeer(time.Now(), local.Fleet().Version)
	h.mu.Unlock()
	if !ok {
		return
	}
	data, err := h.fetchSnapshotFrom(ctx, address)
	if err == nil {
		err = local.InstallSnapshot(data)
	}
	_ = h.logger.Log("event", "configuration_fetched", "peer", address, "fleet", local.Fleet().Version, "err", err)
}

func (h *Heartbeats) fetchSnapshotFrom(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.FetchTimeout)
	defer cancel()
	var reply SnapshotReply
	err := h.opts.Caller.Call(ctx, address, MethodSnapshot, &SnapshotArgs{Instance: h.opts.Instance}, &reply)
	return reply.Data, trace.Wrap(err)
}

// errNoPeer reports that no reachable peer has a replayed state.
var errNoPeer = errors.New("no reachable peer has a replayed state")

// FetchSnapshot returns a snapshot of the reachable peer with the newest
// configuration.
func (h *Heartbeats) FetchSnapshot(ctx context.Context) ([]byte, error) {
	h.exchange(ctx, h.partners())
	h.mu.Lock()
	address, ok := h.view.NewestConfigPeer(time.Now(), protocol.NoOffset-1)
	h.mu.Unlock()
	if !ok {
		return nil, trace.Wrap(errNoPeer)
	}
	return h.fetchSnapshotFrom(ctx, address)
}

// List implements coordination.Peers.
func (h *Heartbeats) List() []coordination.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Peers(time.Now())
}

// Call implements coordination.Peers.
func (h *Heartbeats) Call(ctx context.Context, to protocol.InstanceID, method string, args, reply any) error {
	address, ok := h.addressOf(to)
	if !ok {
		return trace.NotFound("peer address of instance %q is not known", to)
	}
	return trace.Wrap(h.opts.Caller.Call(ctx, address, method, args, reply))
}

// addressOf returns the peer address of an instance. An instance that has just started has
// read the sessions of its peers before it takes part in a round of heartbeats.
func (h *Heartbeats) addressOf(id protocol.InstanceID) (string, bool) {
	h.mu.Lock()
	address, ok := h.view.Address(id)
	local := h.local
	h.mu.Unlock()
	if ok || local == nil {
		return address, ok
	}
	h.refreshSessions(local)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Address(id)
}
