package mesh

import (
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/quota"
)

// State is what is known about the process of another instance.
type State int

const (
	// NeverSeen: the instance was listed and no heartbeat of it has been received yet.
	NeverSeen State = iota
	// Up: the last heartbeat is not older than the silence timeout.
	Up
	// Silent: no heartbeat was received within the silence timeout. The instance may still
	// serve callers.
	Silent
	// Down: a connection was refused, so the process does not run.
	Down
)

// Peer is another instance with its state in this instance's view.
type Peer struct {
	Instance
	State     State
	Heartbeat Heartbeat
	// LastSeen is when the last heartbeat was received.
	LastSeen time.Time
}

// View keeps the state of the other instances. It performs no I/O and is not safe for
// concurrent use.
type View struct {
	self          Instance
	forgetTimeout time.Duration
	peers         map[string]*entry
	// names are the names of the peers in sorted order.
	names []string
	// digest is the XOR of the hashes of all instances. It is needed several times for each
	// message, so it is updated incrementally and not computed from all peers.
	digest uint64
}

// NewView returns a view without peers.
func NewView(self Instance, forgetTimeout time.Duration) *View {
	return &View{self: self, forgetTimeout: forgetTimeout, peers: map[string]*entry{}, digest: hashOf(self)}
}

// timing returns the message timing for the current size of the fleet.
func (v *View) timing() timing { return timingFor(1 + len(v.peers)) }

// usesRelays reports that the fleet is too large for a full mesh.
func (v *View) usesRelays() bool { return 1+len(v.peers) > maxFullMesh }

// SetSelf replaces the identity of this instance by another incarnation.
func (v *View) SetSelf(self Instance) {
	v.digest ^= hashOf(v.self) ^ hashOf(self)
	v.self = self
}

func (v *View) add(i Instance) *entry {
	e := &entry{}
	v.peers[i.Name] = e
	at, _ := slices.BinarySearch(v.names, i.Name)
	v.names = slices.Insert(v.names, at, i.Name)
	v.setInstance(e, i)
	return e
}

// setInstance sets the incarnation of a peer. A new incarnation starts without heartbeat,
// counts and status. With the sequence number of the earlier one, its own heartbeats would
// count as old for as long as the earlier one ran.
func (v *View) setInstance(e *entry, i Instance) {
	if e.Instance == i {
		return
	}
	if e.heartbeat.From.Start != i.Start {
		e.heartbeat = Heartbeat{}
	}
	v.digest ^= e.hash
	e.Instance, e.hash, e.rank = i, hashOf(i), rankOf(i)
	v.digest ^= e.hash
	e.counts, e.pendingCounts, e.complete = quota.Counts{}, nil, false
	e.status, e.announced, e.startedAt = PeerStatus{}, false, time.Time{}
}

func (v *View) remove(name string) {
	v.digest ^= v.peers[name].hash
	delete(v.peers, name)
	v.names = slices.DeleteFunc(v.names, func(other string) bool { return other == name })
}

// needsLevels reports whether an incarnation needs the levels of the rate buckets: it has not
// reported that it knows them, or reports that it is settling.
func (v *View) needsLevels(i Instance) bool {
	e := v.peers[i.Name]
	return e == nil || !e.heartbeat.Informed || e.heartbeat.Settling || e.heartbeat.From.Start != i.Start
}

// AddInstances adds instances from a list. What an instance has reported itself takes
// precedence over the list, unless the list has a later incarnation.
func (v *View) AddInstances(now time.Time, list []Instance) {
	for _, i := range list {
		if i.Name == v.self.Name {
			continue
		}
		known := v.peers[i.Name]
		if known == nil {
			v.add(i).lastSeen = now.Add(-SilenceTimeout)
			continue
		}
		if i.Start > known.Start {
			v.setInstance(known, i)
			known.down = false
		}
	}
}

// ApplyHeartbeat records a heartbeat. It returns false if a later one of the same instance
// was received before.
func (v *View) ApplyHeartbeat(now time.Time, heartbeat Heartbeat) (fresh bool) {
	name := heartbeat.From.Name
	if name == v.self.Name {
		return false
	}
	known := v.peers[name]
	if known == nil {
		known = v.add(heartbeat.From)
	}
	later := heartbeat.From.Start > known.heartbeat.From.Start ||
		heartbeat.From.Start == known.heartbeat.From.Start && heartbeat.Seq > known.heartbeat.Seq
	if !later {
		return false
	}
	v.setInstance(known, heartbeat.From)
	known.heartbeat = heartbeat
	known.lastSeen = now
	known.down = false
	if known.startedAt.IsZero() {
		known.startedAt = now.Add(-heartbeat.Uptime)
	}
	known.record(&heartbeat)
	return true
}

// NewerStart returns the start of a later incarnation of the sender if one is known, else
// 0.
//
// A start is read from the wall clock. If the clock jumps back and the process is
// restarted, the new incarnation looks older than the previous one. Without this correction
// peers would ignore its heartbeats until they forget the previous one.
func (v *View) NewerStart(sender Instance) int64 {
	if known := v.peers[sender.Name]; known != nil && sender.Start < max(known.Start, known.heartbeat.From.Start) {
		return max(known.Start, known.heartbeat.From.Start)
	}
	return 0
}

// MarkRefused records that an address refused a connection.
func (v *View) MarkRefused(now time.Time, address string) (names []string) {
	for name, e := range v.peers {
		if e.Address == address && !e.down {
			e.down, e.downAt, e.dirty = true, now, true
			names = append(names, name)
		}
	}
	return names
}

// Forget removes the instances that have been silent for the forget timeout and returns
// them.
func (v *View) Forget(now time.Time) (removed []Instance) {
	for name, e := range v.peers {
		if now.Sub(e.lastSeen) > v.forgetTimeout {
			removed = append(removed, e.Instance)
			v.remove(name)
		}
	}
	return removed
}

// Peers returns the other instances, sorted by name.
func (v *View) Peers(now time.Time) []Peer {
	out := make([]Peer, 0, len(v.peers))
	v.each(now, func(e *entry, state State) { out = append(out, e.peer(state)) })
	return out
}

// each calls do for each peer, sorted by name. It does not copy heartbeats, which have
// several hundred bytes: in a large fleet all peers are visited many times a second.
func (v *View) each(now time.Time, do func(e *entry, state State)) {
	t := v.timing()
	for _, name := range v.names {
		e := v.peers[name]
		do(e, v.state(now, e, t))
	}
}

// Up returns the instances of a failure domain that are up and not leaving.
func (v *View) Up(now time.Time, domain string) []Instance {
	return v.upInstances(now, func(e *entry) bool { return e.Domain == domain })
}

// AllUp returns the instances of all failure domains that are up and not leaving.
func (v *View) AllUp(now time.Time) []Instance {
	return v.upInstances(now, func(*entry) bool { return true })
}

func (v *View) upInstances(now time.Time, matches func(*entry) bool) []Instance {
	var out []Instance
	v.each(now, func(e *entry, state State) {
		if state == Up && matches(e) && !e.heartbeat.Leaving {
			out = append(out, e.Instance)
		}
	})
	return out
}

// CountNotDown returns the number of other instances of a failure domain whose processes
// are not known to be down, silent ones included.
func (v *View) CountNotDown(now time.Time, domain string) (count int) {
	v.each(now, func(e *entry, state State) {
		if state != Down && e.Domain == domain {
			count++
		}
	})
	return count
}

// Claims returns the batch items that instances that are up run without owning the
// partition.
func (v *View) Claims(now time.Time) []Claim {
	var out []Claim
	v.each(now, func(e *entry, state State) {
		if state == Up {
			out = append(out, e.heartbeat.Claims...)
		}
	})
	return out
}

func (v *View) state(now time.Time, e *entry, t timing) State {
	switch {
	case e.down && v.refusalIsConclusive(now, e.Domain):
		return Down
	case e.down && e.heartbeat.Seq > 0:
		return Silent
	case e.down:
		return Down
	case e.heartbeat.Seq == 0:
		return NeverSeen
	case now.Sub(e.lastSeen) > t.silenceTimeout:
		return Silent
	default:
		return Up
	}
}

// refusalIsConclusive reports whether a refused connection to a failure domain shows that
// the process does not run. That holds in the own domain, and in another domain if any of
// its instances is reachable.
//
// Network partitions between failure domains can reset connections as well. If each refusal
// were taken as conclusive, both sides of a partition would treat the other as dead. Both
// would then use the whole of each rate, and slots that the other side's requests occupy
// would count as free while the targets still work on them.
func (v *View) refusalIsConclusive(now time.Time, domain string) bool {
	if domain == v.self.Domain {
		return true
	}
	for _, e := range v.peers {
		if e.Domain == domain && !e.silent(now) {
			return true
		}
	}
	return false
}

// SilentDomains reports whether all instances of a failure domain have been silent for
// SilenceTimeout, for each other domain of which an instance has been seen. In a large
// fleet this is noticed before the single instances count as silent. If no instance at all
// is reachable, no domain counts as silent: then this instance itself is isolated, and its
// connections to targets may still work.
func (v *View) SilentDomains(now time.Time) map[string]bool {
	silent := map[string]bool{}
	anyHeard := false
	for _, e := range v.peers {
		if e.heartbeat.Seq == 0 {
			continue
		}
		entrySilent := e.silent(now)
		anyHeard = anyHeard || !entrySilent
		if e.Domain == v.self.Domain {
			continue
		}
		if before, known := silent[e.Domain]; !known || before {
			silent[e.Domain] = entrySilent
		}
	}
	if !anyHeard {
		for domain := range silent {
			silent[domain] = false
		}
	}
	return silent
}

// Isolated reports that instances of other failure domains have been seen and all of them
// are silent now. Some network partitions refuse connections, others drop packets; both
// count.
func (v *View) Isolated(now time.Time) bool {
	isolated := false
	for _, e := range v.peers {
		if e.Domain == v.self.Domain || e.heartbeat.Seq == 0 {
			continue
		}
		if !e.silent(now) {
			return false
		}
		isolated = true
	}
	return isolated
}

// Instances returns all known instances, this one included.
func (v *View) Instances() []Instance {
	out := []Instance{v.self}
	for _, e := range v.peers {
		out = append(out, e.Instance)
	}
	return out
}

// Digest returns a digest of the known instances. It differs between two instances that
// know different ones.
func (v *View) Digest() uint64 { return v.digest }

// PresumedDead returns the instances that are down or have been silent for the given time.
func (v *View) PresumedDead(now time.Time, silentFor time.Duration) []Instance {
	var out []Instance
	for _, e := range v.peers {
		if e.down || now.Sub(e.lastSeen) > silentFor {
			out = append(out, e.Instance)
		}
	}
	return out
}

// OwnerOf returns the instance that owns a partition, by the latest generation that any
// instance reports. Only instances that are up are considered.
func (v *View) OwnerOf(now time.Time, partition int) (Peer, bool) {
	var best Peer
	found := false
	v.each(now, func(e *entry, state State) {
		if state != Up || !slices.Contains(e.heartbeat.Partitions, partition) {
			return
		}
		if !found || e.heartbeat.Generation > best.Heartbeat.Generation {
			best, found = e.peer(state), true
		}
	})
	return best, found
}
