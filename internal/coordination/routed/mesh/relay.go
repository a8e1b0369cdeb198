package mesh

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"merlintiller/internal/coordination/routed/quota"
)

// Standing is what an instance tells of itself that changes seldom.
type Standing struct {
	Leaving  bool `cbor:"1,keyasint,omitempty"`
	Informed bool `cbor:"2,keyasint,omitempty"`
	HasLost  bool `cbor:"3,keyasint,omitempty"`
	// Young says that it started a moment ago.
	Young      bool    `cbor:"4,keyasint,omitempty"`
	Partitions []int   `cbor:"5,keyasint,omitempty"`
	Generation int64   `cbor:"6,keyasint,omitempty"`
	Claims     []Claim `cbor:"7,keyasint,omitempty"`
	// StoreAge is in whole steps of storeAgeStep.
	StoreAge time.Duration `cbor:"8,keyasint,omitempty"`
}

const (
	// storeAgeStep is the precision of a relayed StoreAge. A finer one would have it
	// relayed all the time.
	storeAgeStep = time.Second
	storeAgeMost = 4 * time.Second
)

func standingOf(b *Heartbeat) Standing {
	return Standing{
		Leaving: b.Leaving, Informed: b.Informed, HasLost: b.HasLost, Young: b.Young,
		Partitions: b.Partitions, Generation: b.Generation, Claims: b.Claims,
		StoreAge: min(b.StoreAge, storeAgeMost).Truncate(storeAgeStep),
	}
}

func (s *Standing) equal(other *Standing) bool {
	return s.Leaving == other.Leaving && s.Informed == other.Informed && s.HasLost == other.HasLost &&
		s.Young == other.Young && s.Generation == other.Generation && s.StoreAge == other.StoreAge &&
		slices.Equal(s.Partitions, other.Partitions) && slices.Equal(s.Claims, other.Claims)
}

func (s *Standing) apply(b *Heartbeat) {
	b.Leaving, b.Informed, b.HasLost, b.Young = s.Leaving, s.Informed, s.HasLost, s.Young
	b.Partitions, b.Generation, b.Claims, b.StoreAge = s.Partitions, s.Generation, s.Claims, s.StoreAge
}

// News is what a relay passes on of another instance: what has changed since it was
// passed on last.
type News struct {
	// Index is the instance's place in the relay's feed.
	Index int `cbor:"1,keyasint"`
	// Instance is told once for each life.
	Instance *Instance `cbor:"2,keyasint,omitempty"`
	// Seq is that of the instance's message that the news is from.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
	// Down says that a connection to it was refused, Refused how long ago.
	Down    bool          `cbor:"4,keyasint,omitempty"`
	Refused time.Duration `cbor:"9,keyasint,omitempty"`
	// Whole says that Admitted are all counts, else those that changed.
	Whole    bool         `cbor:"5,keyasint,omitempty"`
	Admitted quota.Counts `cbor:"6,keyasint,omitempty"`
	// Standing is nil if it has not changed.
	Standing *Standing `cbor:"7,keyasint,omitempty"`
	// Uptime is the time since the instance's start, told with Instance.
	Uptime time.Duration `cbor:"8,keyasint,omitempty"`
}

// Pull asks a relay for its feed from a batch on.
type Pull struct {
	// Feed is the feed that Next counts in, 0 if none was read yet.
	Feed uint64
	Next uint64
}

// Feed is a relay's answer to a Pull.
type Feed struct {
	ID uint64
	// Batches are encoded lists of News, the oldest first. Next is the batch that
	// comes after them.
	Batches [][]byte
	Next    uint64
	// Ages says, by Index, how long ago an instance was heard, in ageStep.
	Ages []byte
}

const (
	// ageStep is the unit of ages, ageUnknown an age that is not known or too large.
	ageStep    = 20 * time.Millisecond
	ageUnknown = 255
	// batchEvery is the least time between two batches: all who pull meanwhile share
	// one that is encoded once.
	batchEvery = 100 * time.Millisecond
	// batchesKept bounds the batches that are kept. Who is further behind is told all.
	batchesKept = 32
)

// feed is what this instance passes on to those that pull. It is pure and not safe
// for concurrent use.
type feed struct {
	id    uint64
	names []string
	index map[string]int
	// batches are the newest ones, the last of them has the number next-1.
	batches [][]byte
	next    uint64
	// madeAt is when it was looked last what changed, heard when each instance had been
	// heard by then, zero if it is not known to live.
	madeAt time.Time
	heard  []time.Time
}

func newFeed(id uint64) *feed { return &feed{id: id, index: map[string]int{}, next: 1} }

// answer gives what a caller lacks.
func (f *feed) answer(now time.Time, v *View, pull Pull) (*Feed, error) {
	if err := f.collect(now, v); err != nil {
		return nil, err
	}
	out := &Feed{ID: f.id, Next: f.next}
	behind := f.next - pull.Next
	if pull.Feed != f.id || pull.Next > f.next || behind > uint64(len(f.batches)) {
		whole, err := f.whole(now, v)
		if err != nil {
			return nil, err
		}
		out.Batches = [][]byte{whole}
	} else {
		out.Batches = slices.Clone(f.batches[len(f.batches)-int(behind):])
	}
	out.Ages = f.ages(now)
	return out, nil
}

// collect makes a batch of what changed since the last one.
func (f *feed) collect(now time.Time, v *View) error {
	if !f.madeAt.IsZero() && now.Sub(f.madeAt) < batchEvery {
		return nil
	}
	f.madeAt = now
	var news []News
	for _, name := range v.names {
		if e := v.peers[name]; e.dirty {
			news = append(news, f.newsOf(now, e))
		}
	}
	f.noteHeard(v)
	if len(news) == 0 {
		return nil
	}
	data, err := cbor.Marshal(news)
	if err != nil {
		return err
	}
	f.batches = append(f.batches, data)
	if len(f.batches) > batchesKept {
		f.batches = slices.Delete(f.batches, 0, len(f.batches)-batchesKept)
	}
	f.next++
	return nil
}

// newsOf gives the news of an instance and notes that they were told.
func (f *feed) newsOf(now time.Time, e *entry) News {
	n := News{Index: f.place(e.Name), Seq: e.beat.Seq, Down: e.down, Refused: e.refused(now)}
	if e.introduced {
		n.Admitted = e.changed
	} else {
		instance := e.Instance
		n.Instance, n.Whole, n.Admitted, n.Uptime = &instance, e.complete, e.counts, e.uptime(now)
	}
	if e.moved || !e.introduced {
		standing := e.standing
		n.Standing = &standing
	}
	e.introduced, e.moved, e.dirty, e.changed = true, false, false, nil
	return n
}

func (f *feed) place(name string) int {
	at, known := f.index[name]
	if !known {
		at = len(f.names)
		f.index[name] = at
		f.names = append(f.names, name)
	}
	return at
}

// whole is all that is known, for those who have read nothing yet. It takes no note
// of what was told, since the others learn that from the next batch.
func (f *feed) whole(now time.Time, v *View) ([]byte, error) {
	news := make([]News, 0, len(v.names))
	for _, name := range v.names {
		e := v.peers[name]
		if e.beat.Seq == 0 && !e.down {
			continue
		}
		instance, standing := e.Instance, e.standing
		news = append(news, News{
			Index: f.place(name), Instance: &instance, Seq: e.beat.Seq, Down: e.down, Refused: e.refused(now),
			Whole: e.complete, Admitted: e.counts, Standing: &standing, Uptime: e.uptime(now),
		})
	}
	return cbor.Marshal(news)
}

// noteHeard notes when each instance was heard.
func (f *feed) noteHeard(v *View) {
	f.heard = f.heard[:0]
	for _, name := range f.names {
		var at time.Time
		if e := v.peers[name]; e != nil && !e.down && e.beat.Seq > 0 {
			at = e.heard
		}
		f.heard = append(f.heard, at)
	}
}

// ages gives how long ago each instance was heard. It goes with each answer: what an
// instance tells may stay the same for long, and only the age shows that it lives.
// An age grows with each relay that it passes, so that two relays can't keep a dead
// instance alive for each other. It is never of a later moment than the batches: who
// hears that an instance lives must have heard what it let in until then.
func (f *feed) ages(now time.Time) []byte {
	out := make([]byte, len(f.heard))
	for i, at := range f.heard {
		out[i] = ageUnknown
		if !at.IsZero() {
			out[i] = byte(min(ageUnknown, max(0, now.Sub(at)/ageStep)))
		}
	}
	return out
}
