package mesh

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is known of another instance's process.
type State int

const (
	// Unheard: it was listed and has not told anything yet.
	Unheard State = iota
	// Up: it told something a short while ago.
	Up
	// Silent: it told nothing for longer. It may serve all the same.
	Silent
	// Down: its machine refused a connection, so the process is not there.
	Down
)

// Peer is another instance as it is known here.
type Peer struct {
	Instance
	State State
	Beat  Beat
	// Heard is when its last message came.
	Heard time.Time
}

type entry struct {
	Instance
	beat  Beat
	heard time.Time
	down  bool
}

// View keeps what is known of the other instances. It is pure and not safe for
// concurrent use.
type View struct {
	self        Instance
	silentAfter time.Duration
	forgetAfter time.Duration
	peers       map[string]*entry
}

// NewView returns a view that knows nobody.
func NewView(self Instance, silentAfter, forgetAfter time.Duration) *View {
	return &View{self: self, silentAfter: silentAfter, forgetAfter: forgetAfter, peers: map[string]*entry{}}
}

// Listed adds instances that somebody names. What an instance told itself goes
// before what others say of it, unless they name a later life.
func (v *View) Listed(now time.Time, list []Instance) {
	for _, i := range list {
		if i.Name == v.self.Name {
			continue
		}
		known := v.peers[i.Name]
		if known == nil {
			v.peers[i.Name] = &entry{Instance: i, heard: now.Add(-v.silentAfter)}
			continue
		}
		if i.Start > known.Start {
			known.Instance = i
			known.down = false
		}
	}
}

// Heard takes over a message. It is not fresh if a later one came before.
func (v *View) Heard(now time.Time, beat Beat) (fresh bool) {
	name := beat.From.Name
	if name == v.self.Name {
		return false
	}
	known := v.peers[name]
	if known == nil {
		known = &entry{}
		v.peers[name] = known
	}
	later := beat.From.Start > known.beat.From.Start ||
		beat.From.Start == known.beat.From.Start && beat.Seq > known.beat.Seq
	if !later {
		return false
	}
	known.Instance = beat.From
	known.beat = beat
	known.heard = now
	known.down = false
	return true
}

// Refused notes that an address refused a connection.
func (v *View) Refused(address string) (names []string) {
	for name, e := range v.peers {
		if e.Address == address && !e.down {
			e.down = true
			names = append(names, name)
		}
	}
	return names
}

// Forget drops instances that were silent for long and names them.
func (v *View) Forget(now time.Time) (names []string) {
	for name, e := range v.peers {
		if now.Sub(e.heard) > v.forgetAfter {
			delete(v.peers, name)
			names = append(names, name)
		}
	}
	return names
}

// Peers gives the other instances by name.
func (v *View) Peers(now time.Time) []Peer {
	out := make([]Peer, 0, len(v.peers))
	for _, e := range v.peers {
		out = append(out, Peer{Instance: e.Instance, State: v.state(now, e), Beat: e.beat, Heard: e.heard})
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (v *View) state(now time.Time, e *entry) State {
	switch {
	case e.down:
		return Down
	case e.beat.Seq == 0:
		return Unheard
	case now.Sub(e.heard) > v.silentAfter:
		return Silent
	default:
		return Up
	}
}

// SilentDomains says of each other failure domain whether all of its instances
// that were heard before are silent. While nobody at all is heard, none counts as
// silent: then this instance is the one that is cut off, and its paths to targets
// may be whole.
func (v *View) SilentDomains(now time.Time) map[string]bool {
	silent := map[string]bool{}
	anyUp := false
	for _, e := range v.peers {
		state := v.state(now, e)
		anyUp = anyUp || state == Up
		if e.Domain == v.self.Domain || state == Unheard || state == Down {
			continue
		}
		if before, known := silent[e.Domain]; !known || before {
			silent[e.Domain] = state == Silent
		}
	}
	if !anyUp {
		for domain := range silent {
			silent[domain] = false
		}
	}
	return silent
}

// Known gives all instances, this one included.
func (v *View) Known() []Instance {
	out := []Instance{v.self}
	for _, e := range v.peers {
		out = append(out, e.Instance)
	}
	return out
}

// Digest sums up which instances are known, so that two that know different ones
// notice.
func (v *View) Digest() uint64 {
	digest := hashOf(v.self)
	for _, e := range v.peers {
		digest ^= hashOf(e.Instance)
	}
	return digest
}

func hashOf(i Instance) uint64 {
	return xxhash.Sum64String(i.Name + "/" + strconv.FormatInt(i.Start, 10))
}

// Lost names instances whose process is not there, or that were silent for so
// long.
func (v *View) Lost(now time.Time, silentFor time.Duration) []Instance {
	var out []Instance
	for _, e := range v.peers {
		if e.down || now.Sub(e.heard) > silentFor {
			out = append(out, e.Instance)
		}
	}
	return out
}

// Holder gives the instance that holds a partition by the latest generation
// that anybody told. Silent instances are not asked.
func (v *View) Holder(now time.Time, partition int) (Peer, bool) {
	var best Peer
	found := false
	for _, p := range v.Peers(now) {
		if p.State != Up || !slices.Contains(p.Beat.Partitions, partition) {
			continue
		}
		if !found || p.Beat.Generation > best.Beat.Generation {
			best, found = p, true
		}
	}
	return best, found
}
