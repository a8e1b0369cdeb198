package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"merlintiller/internal/coordination/routed/quota"
)

// PeerStatus is the part of a heartbeat that changes rarely. It is encoded with CBOR.
type PeerStatus struct {
	Leaving           bool `cbor:"1,keyasint,omitempty"`
	HasQuotaState     bool `cbor:"2,keyasint,omitempty"`
	HasLostPartitions bool `cbor:"3,keyasint,omitempty"`
	// RecentlyStarted is Heartbeat.Young.
	RecentlyStarted bool    `cbor:"4,keyasint,omitempty"`
	Partitions      []int   `cbor:"5,keyasint,omitempty"`
	Generation      int64   `cbor:"6,keyasint,omitempty"`
	Claims          []Claim `cbor:"7,keyasint,omitempty"`
	// StoreAge is a multiple of storeAgeStep.
	StoreAge time.Duration `cbor:"8,keyasint,omitempty"`
	// Asked is Heartbeat.Asked.
	Asked quota.Counts `cbor:"9,keyasint,omitempty"`
}

const (
	// storeAgeStep is the precision of a relayed StoreAge. With a finer one, the
	// status would be relayed all the time. Ages above maxStoreAge are relayed as
	// maxStoreAge.
	storeAgeStep = time.Second
	maxStoreAge  = 4 * time.Second
)

func statusOf(b *Heartbeat) PeerStatus {
	return PeerStatus{
		Leaving: b.Leaving, HasQuotaState: b.Informed, HasLostPartitions: b.HasLost, RecentlyStarted: b.Young,
		Partitions: b.Partitions, Generation: b.Generation, Claims: b.Claims,
		StoreAge: min(b.StoreAge, maxStoreAge).Truncate(storeAgeStep), Asked: b.Asked,
	}
}

func (s *PeerStatus) equal(other *PeerStatus) bool {
	return s.Leaving == other.Leaving && s.HasQuotaState == other.HasQuotaState && s.HasLostPartitions == other.HasLostPartitions &&
		s.RecentlyStarted == other.RecentlyStarted && s.Generation == other.Generation && s.StoreAge == other.StoreAge &&
		slices.Equal(s.Partitions, other.Partitions) && slices.Equal(s.Claims, other.Claims) && maps.Equal(s.Asked, other.Asked)
}

func (s *PeerStatus) apply(b *Heartbeat) {
	b.Leaving, b.Informed, b.HasLost, b.Young = s.Leaving, s.HasQuotaState, s.HasLostPartitions, s.RecentlyStarted
	b.Partitions, b.Generation, b.Claims, b.StoreAge, b.Asked = s.Partitions, s.Generation, s.Claims, s.StoreAge, s.Asked
}

// PeerUpdate is what a relay passes on about a peer: the changes since the last batch of
// the feed. It is encoded with CBOR.
type PeerUpdate struct {
	// Index is the position of the peer in the relay's feed.
	Index int `cbor:"1,keyasint"`
	// Instance is sent once for each incarnation.
	Instance *Instance `cbor:"2,keyasint,omitempty"`
	// Seq is the sequence number of the peer's heartbeat that the update is based on.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
	// Down reports that a connection to the peer was refused, RefusedAgo is the time since
	// then.
	Down       bool          `cbor:"4,keyasint,omitempty"`
	RefusedAgo time.Duration `cbor:"9,keyasint,omitempty"`
	// Full reports that Admitted has all counts, else it has those that changed.
	Full     bool         `cbor:"5,keyasint,omitempty"`
	Admitted quota.Counts `cbor:"6,keyasint,omitempty"`
	// Status is nil if it has not changed.
	Status *PeerStatus `cbor:"7,keyasint,omitempty"`
	// Uptime is the time since the peer's start. It is sent together with Instance.
	Uptime time.Duration `cbor:"8,keyasint,omitempty"`
}

// FeedRequest requests a relay's feed, beginning with a given batch.
type FeedRequest struct {
	// Feed is the ID of the feed that Next refers to, 0 if none was read yet.
	Feed uint64
	Next uint64
}

// Feed is a relay's answer to a FeedRequest.
type Feed struct {
	ID uint64
	// Batches are encoded lists of PeerUpdate, the oldest first. Next is the number of the
	// batch that follows them.
	Batches [][]byte
	Next    uint64
	// Ages is the time since the last heartbeat of each peer, by PeerUpdate.Index, in units
	// of ageStep.
	Ages []byte
}

const (
	// ageStep is the unit of Feed.Ages. ageUnknown marks an age that is unknown or too
	// large.
	ageStep    = 20 * time.Millisecond
	ageUnknown = 255
	// batchInterval is the minimum time between two batches. All requests within that time
	// share a batch, which is encoded once.
	batchInterval = 25 * time.Millisecond
	// maxBatches limits the batches that are kept. A reader that is further behind gets the
	// complete state.
	maxBatches = 128
)

// feed is the feed that this instance offers. It performs no I/O and is not safe for
// concurrent use.
type feed struct {
	id    uint64
	names []string
	index map[string]int
	// batches are the latest batches. The last one has the number next-1.
	batches [][]byte
	next    uint64
	// collectedAt is when changes were last collected. lastSeen are the times of the peers'
	// last heartbeats as of collectedAt, zero for a peer that is not known to be alive.
	collectedAt time.Time
	lastSeen    []time.Time
}

func newFeed(id uint64) *feed { return &feed{id: id, index: map[string]int{}, next: 1} }

// answer returns the batches that a reader does not have yet.
func (f *feed) answer(now time.Time, v *View, request FeedRequest) (*Feed, error) {
	if err := f.collect(now, v); err != nil {
		return nil, err
	}
	out := &Feed{ID: f.id, Next: f.next}
	behind := f.next - request.Next
	if request.Feed != f.id || request.Next > f.next || behind > uint64(len(f.batches)) {
		full, err := f.fullBatch(now, v)
		if err != nil {
			return nil, err
		}
		out.Batches = [][]byte{full}
	} else {
		out.Batches = slices.Clone(f.batches[len(f.batches)-int(behind):])
	}
	out.Ages = f.ages(now)
	return out, nil
}

// collect makes a batch of the changes since the last one.
func (f *feed) collect(now time.Time, v *View) error {
	if !f.collectedAt.IsZero() && now.Sub(f.collectedAt) < batchInterval {
		return nil
	}
	f.collectedAt = now
	var updates []PeerUpdate
	for _, name := range v.names {
		if e := v.peers[name]; e.dirty && (e.heartbeat.Seq > 0 || e.down) {
			updates = append(updates, f.updateFor(now, e))
		}
	}
	f.recordLastSeen(v)
	if len(updates) == 0 {
		return nil
	}
	data, err := cbor.Marshal(updates)
	if err != nil {
		return err
	}
	f.batches = append(f.batches, data)
	if len(f.batches) > maxBatches {
		f.batches = slices.Delete(f.batches, 0, len(f.batches)-maxBatches)
	}
	f.next++
	return nil
}

// updateFor returns the update about a peer and clears the peer's pending changes.
func (f *feed) updateFor(now time.Time, e *entry) PeerUpdate {
	update := PeerUpdate{Index: f.indexOf(e.Name), Seq: e.heartbeat.Seq, Down: e.down, RefusedAgo: e.sinceRefused(now)}
	if e.announced {
		update.Admitted = e.pendingCounts
	} else {
		instance := e.Instance
		update.Instance, update.Full, update.Admitted, update.Uptime = &instance, e.complete, e.counts, e.uptime(now)
	}
	if e.statusPending || !e.announced {
		status := e.status
		update.Status = &status
	}
	// The first heartbeat of an incarnation has to be sent with all counts and the uptime.
	e.announced = e.heartbeat.Seq > 0
	e.statusPending, e.dirty, e.pendingCounts = false, false, nil
	return update
}

func (f *feed) indexOf(name string) int {
	at, known := f.index[name]
	if !known {
		at = len(f.names)
		f.index[name] = at
		f.names = append(f.names, name)
	}
	return at
}

// fullBatch returns the complete state as one batch, for a reader that has read nothing
// yet. It does not clear pending changes, because other readers get them in the next batch.
func (f *feed) fullBatch(now time.Time, v *View) ([]byte, error) {
	updates := make([]PeerUpdate, 0, len(v.names))
	for _, name := range v.names {
		e := v.peers[name]
		if e.heartbeat.Seq == 0 && !e.down {
			continue
		}
		instance, status := e.Instance, e.status
		updates = append(updates, PeerUpdate{
			Index: f.indexOf(name), Instance: &instance, Seq: e.heartbeat.Seq, Down: e.down, RefusedAgo: e.sinceRefused(now),
			Full: e.complete, Admitted: e.counts, Status: &status, Uptime: e.uptime(now),
		})
	}
	return cbor.Marshal(updates)
}

// recordLastSeen records when each peer was last seen.
func (f *feed) recordLastSeen(v *View) {
	f.lastSeen = f.lastSeen[:0]
	for _, name := range f.names {
		var at time.Time
		if e := v.peers[name]; e != nil && !e.down && e.heartbeat.Seq > 0 {
			at = e.lastSeen
		}
		f.lastSeen = append(f.lastSeen, at)
	}
}

// ages returns the time since the last heartbeat of each peer. It is part of each answer,
// since a peer's state may stay the same for a long time and only its age shows that the
// peer is alive. An age grows with each relay that it passes, so two relays can't keep a
// dead instance alive for each other. An age never refers to a later time than the batches:
// a reader that learns that a peer was alive at some time must also have the peer's counts
// until that time.
func (f *feed) ages(now time.Time) []byte {
	out := make([]byte, len(f.lastSeen))
	for i, at := range f.lastSeen {
		out[i] = ageUnknown
		if !at.IsZero() {
			out[i] = byte(min(ageUnknown, max(0, now.Sub(at)/ageStep)))
		}
	}
	return out
}
