package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// endsKeyPrefix begins the keys of records in the store that hold the ended targets of a request. They are
// kept there for a start of the whole fleet between two ends.
const endsKeyPrefix = "ends:"

// keptEnds are the targets that ended under a request, with times by the clock of the instance that wrote
// them, in Unix milliseconds. Its numbers differ from those of keptClosure, so that an earlier release
// takes it for no closure.
type keptEnds struct {
	Key     string    `cbor:"16,keyasint"`
	Request string    `cbor:"17,keyasint,omitempty"`
	Ends    []keptEnd `cbor:"18,keyasint"`
}

type keptEnd struct {
	Target   string   `cbor:"1,keyasint"`
	Started  int64    `cbor:"2,keyasint"`
	Events   int      `cbor:"3,keyasint,omitempty"`
	SeenBy   string   `cbor:"4,keyasint,omitempty"`
	State    EndState `cbor:"5,keyasint,omitempty"`
	At       int64    `cbor:"6,keyasint"`
	Position int      `cbor:"7,keyasint,omitempty"`
	// Simultaneous is the number of other targets that ended at the same moment.
	Simultaneous int `cbor:"8,keyasint,omitempty"`
	// Ran is how long targets had worked on the request since its last end, in milliseconds.
	Ran int64 `cbor:"9,keyasint,omitempty"`
}

// saveEnds makes the keeper write the ended targets of a request, or remove them if none counts. The caller
// holds the lock of the guard.
func (k *Keeper) saveEnds(key string) {
	k.pendingEnds[key] = true
	signal(k.wake)
}

// removeEnds makes the keeper remove the ended targets of a request from the store. The caller holds the
// lock of the guard.
func (k *Keeper) removeEnds(key string) {
	delete(k.guard.evidence.ends.records, key)
	k.saveEnds(key)
}

// pendingEndRecords returns the records of ended targets to be written. The caller holds the lock of the
// guard.
func (k *Keeper) pendingEndRecords(now time.Time) (records []external.KeyedRecord, err error) {
	for key := range k.pendingEnds {
		record := external.KeyedRecord{Key: endsKeyPrefix + strings.TrimPrefix(key, requestKeyPrefix)}
		r := k.guard.evidence.ends.records[key]
		if r != nil && len(r.counted()) > 0 {
			if record.Value, err = cbor.Marshal(keptEndsOf(now, r.report(now))); err != nil {
				return nil, err
			}
		}
		records = append(records, record)
	}
	return records, nil
}

func keptEndsOf(now time.Time, r RequestEnds) keptEnds {
	out := keptEnds{Key: r.Key, Request: r.Request}
	for _, end := range r.Ends {
		out.Ends = append(out.Ends, keptEnd{
			Target: end.Target, Started: end.Started, Events: end.Events, Position: end.Position, SeenBy: end.SeenBy, State: end.State, At: now.Add(-end.Age).UnixMilli(),
			Simultaneous: end.Simultaneous, Ran: end.Ran.Milliseconds(),
		})
	}
	return out
}

// ends returns the ended targets as of now. The clock of the instance that wrote them may differ.
func (k *keptEnds) ends(now time.Time) RequestEnds {
	out := RequestEnds{Key: k.Key, Request: k.Request}
	for _, end := range k.Ends {
		out.Ends = append(out.Ends, RequestEnd{
			Target: end.Target, Started: end.Started, Events: end.Events, Position: end.Position, SeenBy: end.SeenBy, State: end.State,
			Simultaneous: end.Simultaneous, Ran: time.Duration(end.Ran) * time.Millisecond, Age: max(0, now.Sub(time.UnixMilli(end.At))),
		})
	}
	return out
}

// reconcileEnds adopts the ended targets in the store, and removes what no longer counts. The caller holds
// the lock of the guard.
func (g *Guard) reconcileEnds(now time.Time, stored []keptEnds) {
	changed := false
	sortKeptEnds(stored)
	for i := range stored {
		r := stored[i].ends(now)
		if i >= maxRequests {
			// The crash of many targets leaves many requests with one end each.
			g.keeper.removeEnds(r.Key)
			continue
		}
		known := g.evidence.ends.records[r.Key]
		if known == nil && r.expired() || known != nil && len(known.counted()) == 0 {
			g.keeper.saveEnds(r.Key)
			continue
		}
		if g.evidence.MergeEnds(now, &r) {
			changed = true
			g.logLearned("store", &r)
		}
	}
	if changed {
		g.endsChanged()
	}
}

// sortKeptEnds puts the requests with the most ends first, of these the latest.
func sortKeptEnds(list []keptEnds) {
	latest := func(k *keptEnds) (at int64) {
		for _, end := range k.Ends {
			at = max(at, end.At)
		}
		return at
	}
	slices.SortFunc(list, func(a, b keptEnds) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(latest(&b), latest(&a)), cmp.Compare(a.Key, b.Key))
	})
}

// expired reports whether no end counts any more.
func (r *RequestEnds) expired() bool {
	return !slices.ContainsFunc(r.Ends, func(end RequestEnd) bool { return end.Age < requestTTL })
}

// decodeEnds decodes a record of ended targets. It returns false for one that can't be read.
func (k *Keeper) decodeEnds(record *external.KeyedRecord) (ends keptEnds, ok bool) {
	err := protocol.UnmarshalOpaque(record.Value, &ends)
	if err != nil || !isRequestKey(ends.Key) {
		_ = level.Warn(k.guard.opts.Logger).Log("event", "closed_parts_unreadable", "key", record.Key, "err", err)
		return keptEnds{}, false
	}
	return ends, true
}
