package mesh

import (
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/quota"
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
	Heartbeat  Heartbeat
	// Heard is when its last message came.
	Heard time.Time
}

// View keeps what is known of the other instances. It is pure and not safe for
// concurrent use.
type View struct {
	self        Instance
	forgetAfter time.Duration
	peers       map[string]*entry
	// names are those of the peers, in order.
	names []string
	// digest sums up the hashes of the peers. It is needed several times for each
	// message, so it is kept and not made anew from all of them.
	digest uint64
}

// NewView returns a view that knows nobody.
func NewView(self Instance, forgetAfter time.Duration) *View {
	return &View{self: self, forgetAfter: forgetAfter, peers: map[string]*entry{}, digest: hashOf(self)}
}

// pace is how often messages go to and fro in a fleet of this size.
func (v *View) pace() pace { return paceOf(1 + len(v.peers)) }

// large says that the fleet speaks through relays.
func (v *View) large() bool { return 1+len(v.peers) > smallFleet }

// SetSelf names another life of this instance.
func (v *View) SetSelf(self Instance) {
	v.digest ^= hashOf(v.self) ^ hashOf(self)
	v.self = self
}

// add makes an instance known.
func (v *View) add(i Instance) *entry {
	e := &entry{}
	v.peers[i.Name] = e
	at, _ := slices.BinarySearch(v.names, i.Name)
	v.names = slices.Insert(v.names, at, i.Name)
	v.rename(e, i)
	return e
}

// rename notes which life of an instance is there.
func (v *View) rename(e *entry, i Instance) {
	if e.Instance == i {
		return
	}
	v.digest ^= e.hash
	e.Instance, e.hash, e.rank = i, hashOf(i), rankOf(i)
	v.digest ^= e.hash
	e.counts, e.changed, e.complete = quota.Counts{}, nil, false
	e.standing, e.introduced, e.born = Standing{}, false, time.Time{}
}

// remove forgets an instance.
func (v *View) remove(name string) {
	v.digest ^= v.peers[name].hash
	delete(v.peers, name)
	v.names = slices.DeleteFunc(v.names, func(other string) bool { return other == name })
}

// informed says that a life of an instance knows the buckets of the rates.
func (v *View) informed(i Instance) bool {
	e := v.peers[i.Name]
	return e != nil && e.beat.Informed && e.beat.From.Start == i.Start
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
			v.add(i).heard = now.Add(-SilentAfter)
			continue
		}
		if i.Start > known.Start {
			v.rename(known, i)
			known.down = false
		}
	}
}

// Heard takes over a message. It is not fresh if a later one came before.
func (v *View) Heard(now time.Time, beat Heartbeat) (fresh bool) {
	name := beat.From.Name
	if name == v.self.Name {
		return false
	}
	known := v.peers[name]
	if known == nil {
		known = v.add(beat.From)
	}
	later := beat.From.Start > known.beat.From.Start ||
		beat.From.Start == known.beat.From.Start && beat.Seq > known.beat.Seq
	if !later {
		return false
	}
	v.rename(known, beat.From)
	known.beat = beat
	known.heard = now
	known.down = false
	if known.born.IsZero() {
		known.born = now.Add(-beat.Uptime)
	}
	known.note(&beat)
	return true
}

// Superseded gives the start of the life that is known of an instance if that is later
// than a sender's, else 0.
//
// What goes wrong without it: a start is read from the wall clock. That jumps back, the
// process is restarted, and its new life looks older than the one that ended. Nobody
// would listen to it until it is forgotten.
func (v *View) Superseded(sender Instance) int64 {
	if known := v.peers[sender.Name]; known != nil && sender.Start < max(known.Start, known.beat.From.Start) {
		return max(known.Start, known.beat.From.Start)
	}
	return 0
}

// Refused notes that an address refused a connection.
func (v *View) Refused(now time.Time, address string) (names []string) {
	for name, e := range v.peers {
		if e.Address == address && !e.down {
			e.down, e.downAt, e.dirty = true, now, true
			names = append(names, name)
		}
	}
	return names
}

// Forget drops instances that were silent for long and gives them.
func (v *View) Forget(now time.Time) (gone []Instance) {
	for name, e := range v.peers {
		if now.Sub(e.heard) > v.forgetAfter {
			gone = append(gone, e.Instance)
			v.remove(name)
		}
	}
	return gone
}

// Peers gives the other instances by name.
func (v *View) Peers(now time.Time) []Peer {
	out := make([]Peer, 0, len(v.peers))
	v.each(now, func(e *entry, state State) { out = append(out, e.peer(state)) })
	return out
}

// each calls do for each of the other instances, by name. It copies nothing: what an
// instance told last is several hundred bytes, and a large fleet is looked through many
// times a second.
func (v *View) each(now time.Time, do func(e *entry, state State)) {
	pace := v.pace()
	for _, name := range v.names {
		e := v.peers[name]
		do(e, v.state(now, e, pace))
	}
}

// Up gives the instances of a failure domain that are heard and do not leave.
func (v *View) Up(now time.Time, domain string) []Instance {
	var out []Instance
	v.each(now, func(e *entry, state State) {
		if state == Up && e.Domain == domain && !e.beat.Leaving {
			out = append(out, e.Instance)
		}
	})
	return out
}

// Alive counts the other instances of a failure domain whose processes are not known to be
// gone, heard or not.
func (v *View) Alive(now time.Time, domain string) (count int) {
	v.each(now, func(e *entry, state State) {
		if state != Down && e.Domain == domain {
			count++
		}
	})
	return count
}

// Claims gives the batch items that instances which are heard run for others.
func (v *View) Claims(now time.Time) []Claim {
	var out []Claim
	v.each(now, func(e *entry, state State) {
		if state == Up {
			out = append(out, e.beat.Claims...)
		}
	})
	return out
}

func (v *View) state(now time.Time, e *entry, pace pace) State {
	switch {
	case e.down && v.vouched(now, e.Domain):
		return Down
	case e.down && e.beat.Seq > 0:
		return Silent
	case e.down:
		return Down
	case e.beat.Seq == 0:
		return Unheard
	case now.Sub(e.heard) > pace.silentAfter:
		return Silent
	default:
		return Up
	}
}

// vouched says that a refused connection to a failure domain means that a process is
// not there, since another instance of the domain is heard. Cuts between failure
// domains refuse connections too.
//
// What goes wrong if each refusal is believed: a cut resets connections, and each
// side takes the other for dead. Both then use the whole of each rate, and the slots
// of the others' runs count as free while targets still work on them.
func (v *View) vouched(now time.Time, domain string) bool {
	if domain == v.self.Domain {
		return true
	}
	for _, e := range v.peers {
		if e.Domain == domain && !e.quiet(now) {
			return true
		}
	}
	return false
}

// SilentDomains says of each other failure domain whether nobody of it was heard
// for a while, of those that were heard before. In a
// large fleet that shows before each single instance counts as silent. While nobody
// at all is heard, no domain counts as silent: then this instance is the one that
// is cut off, and its paths to targets may be whole.
func (v *View) SilentDomains(now time.Time) map[string]bool {
	silent := map[string]bool{}
	anyHeard := false
	for _, e := range v.peers {
		if e.beat.Seq == 0 {
			continue
		}
		quiet := e.quiet(now)
		anyHeard = anyHeard || !quiet
		if e.Domain == v.self.Domain {
			continue
		}
		if before, known := silent[e.Domain]; !known || before {
			silent[e.Domain] = quiet
		}
	}
	if !anyHeard {
		for domain := range silent {
			silent[domain] = false
		}
	}
	return silent
}

// CutOff says that nobody of another failure domain is heard, though instances there
// were heard before. Some cuts refuse connections, others swallow them.
func (v *View) CutOff(now time.Time) bool {
	cut := false
	for _, e := range v.peers {
		if e.Domain == v.self.Domain || e.beat.Seq == 0 {
			continue
		}
		if !e.quiet(now) {
			return false
		}
		cut = true
	}
	return cut
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
func (v *View) Digest() uint64 { return v.digest }

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
	v.each(now, func(e *entry, state State) {
		if state != Up || !slices.Contains(e.beat.Partitions, partition) {
			return
		}
		if !found || e.beat.Generation > best.Heartbeat.Generation {
			best, found = e.peer(state), true
		}
	})
	return best, found
}
