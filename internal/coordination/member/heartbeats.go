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

// counters are published as "heartbeats" in expvar.
var counters = expvar.NewMap("heartbeats")

// Heartbeats is the duty that keeps in touch with other instances. It
// implements coordination.Peers and journal.SnapshotSource.
type Heartbeats struct {
	opts   Options
	logger log.Logger

	mu    sync.Mutex
	view  *View
	local Local
	seeds []string
}

// NewHeartbeats returns heartbeats that are idle until Attach.
func NewHeartbeats(opts Options) *Heartbeats {
	opts.setDefaults()
	return &Heartbeats{
		opts:   opts,
		logger: log.With(opts.Logger, "duty", "heartbeats"),
		view:   NewView(opts.Instance, opts.Domain, opts.Limits),
		seeds:  opts.Seeds,
	}
}

// Attach gives the heartbeats the state to speak of. The journal needs the
// heartbeats to start from a peer, so it is made after them.
func (h *Heartbeats) Attach(local Local) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.local = local
}

// String names the service.
func (h *Heartbeats) String() string { return "heartbeats" }

// Serve exchanges heartbeats at each interval until ctx ends.
func (h *Heartbeats) Serve(ctx context.Context) error {
	return wait.Every(ctx, h.opts.Interval, func() { h.round(ctx) })
}

func (h *Heartbeats) round(ctx context.Context) {
	local := h.attached()
	if local == nil {
		return
	}
	h.relist(local)
	h.exchange(ctx, h.partners())
	h.catchUp(ctx, local)
}

func (h *Heartbeats) attached() Local {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.local
}

// relist takes over the open sessions.
func (h *Heartbeats) relist(local Local) {
	var known []Known
	local.View(func(s *replica.State) {
		for _, info := range s.Sessions.All() {
			known = append(known, Known{
				Instance: info.Instance,
				Session:  info.Session,
				Domain:   info.Domain,
				Address:  info.PeerAddress,
			})
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.Listed(time.Now(), known)
}

// partners are the chosen peers and, while none of them answers, the seeds.
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

// SetSeeds replaces the seeds, such as by the platform's list of instances.
func (h *Heartbeats) SetSeeds(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = slices.Clone(addresses)
}

// exchange sends one heartbeat to each address and waits for all answers.
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
	args := h.beat()
	var reply Heartbeat
	counters.Add("sent", 1)
	if err := h.opts.Caller.Call(ctx, address, MethodHeartbeat, &args, &reply); err != nil {
		counters.Add("failed", 1)
		return
	}
	h.heard(reply)
}

// beat tells about this instance.
func (h *Heartbeats) beat() Heartbeat {
	beat := Heartbeat{
		Instance:     h.opts.Instance,
		Domain:       h.opts.Domain,
		Address:      h.opts.Address,
		Applied:      protocol.NoOffset,
		FleetVersion: protocol.NoOffset,
	}
	local := h.attached()
	if local == nil || !isLoaded(local) {
		return beat
	}
	tombstones := local.Tombstones()
	beat.Session = local.Session()
	beat.Loaded = true
	beat.Applied, beat.Digest = local.Digest()
	beat.FleetVersion = local.Fleet().Version
	beat.Tombstones = tombstones[:min(len(tombstones), MaxBeatTombstones)]
	return beat
}

func isLoaded(local Local) bool {
	select {
	case <-local.Loaded():
		return true
	default:
		return false
	}
}

// heard takes over what another instance told.
func (h *Heartbeats) heard(beat Heartbeat) {
	h.mu.Lock()
	h.view.Heard(time.Now(), beat)
	local := h.local
	h.mu.Unlock()
	if local == nil {
		return
	}
	local.MergeTombstones(beat.Tombstones)
	h.compare(local, beat)
}

// compare notices that another instance decided some record differently. From
// there on the two may both complete an item, or hold a resource. Nothing here
// can tell which is right, so an operator is told: the instances of one of the
// two releases have to be replaced.
func (h *Heartbeats) compare(local Local, beat Heartbeat) {
	own, known := local.DigestAt(beat.Applied)
	if !beat.Loaded || !known || own == beat.Digest {
		return
	}
	counters.Add("diverged", 1)
	_ = h.logger.Log("event", "replica_diverged", "peer", beat.Instance, "applied", beat.Applied)
}

// catchUp fetches a newer configuration from a peer while the log can't be
// read. With the log up the stream brings it without help.
func (h *Heartbeats) catchUp(ctx context.Context, local Local) {
	if !isLoaded(local) || local.LogUp() {
		return
	}
	h.mu.Lock()
	address, ok := h.view.Newest(time.Now(), local.Fleet().Version)
	h.mu.Unlock()
	if !ok {
		return
	}
	data, err := h.fetch(ctx, address)
	if err == nil {
		err = local.InstallSnapshot(data)
	}
	_ = h.logger.Log("event", "configuration_fetched", "peer", address, "fleet", local.Fleet().Version, "err", err)
}

func (h *Heartbeats) fetch(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.FetchTimeout)
	defer cancel()
	var reply SnapshotReply
	err := h.opts.Caller.Call(ctx, address, MethodSnapshot, &SnapshotArgs{Instance: h.opts.Instance}, &reply)
	return reply.Data, trace.Wrap(err)
}

// errNoPeer: no peer with a replayed state answers.
var errNoPeer = errors.New("no peer with a replayed state answers")

// FetchSnapshot returns the state of the peer that has the newest one.
func (h *Heartbeats) FetchSnapshot(ctx context.Context) ([]byte, error) {
	h.exchange(ctx, h.partners())
	h.mu.Lock()
	address, ok := h.view.Newest(time.Now(), protocol.NoOffset-1)
	h.mu.Unlock()
	if !ok {
		return nil, trace.Wrap(errNoPeer)
	}
	return h.fetch(ctx, address)
}

// List implements coordination.Peers.
func (h *Heartbeats) List() []coordination.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Peers(time.Now())
}

// Call implements coordination.Peers.
func (h *Heartbeats) Call(ctx context.Context, to protocol.InstanceID, method string, args, reply any) error {
	h.mu.Lock()
	address, ok := h.view.Address(to)
	h.mu.Unlock()
	if !ok {
		return trace.NotFound("instance %q has no known address", to)
	}
	return trace.Wrap(h.opts.Caller.Call(ctx, address, method, args, reply))
}
