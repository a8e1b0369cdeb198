package origin

import "time"

const (
	// recordLifetime is how long a record is kept, and the longest time since its first
	// event after which a stream is taken up.
	recordLifetime = 30 * time.Second
	// maxRecords bounds the records of an instance, about 100 bytes each.
	maxRecords = 1 << 15
)

// record says at which version a stream began.
type record struct {
	service, version string
	begunAt          time.Time
	// own is set if the stream began at this instance, told while other instances are sent
	// the record, and kept once one of them has acknowledged it.
	own, told, kept bool
}

// table holds the records of an instance. It is pure and not safe for concurrent use.
type table struct {
	records map[string]*record
	// order holds the ids of the records in the order in which they were added.
	order []addedRecord
}

type addedRecord struct {
	stream string
	at     time.Time
}

func newTable() *table { return &table{records: map[string]*record{}} }

// add adds a record. A stream that seems to have begun at two versions is of neither: its
// version becomes unknown.
func (t *table) add(now time.Time, stream string, added record) {
	t.expire(now)
	if known := t.records[stream]; known != nil {
		if known.version != added.version {
			known.version = ""
		}
		return
	}
	if len(t.order) >= maxRecords {
		t.dropOldest()
	}
	t.records[stream] = &added
	t.order = append(t.order, addedRecord{stream, now})
}

// find returns the record of a stream with a known version, nil if there is none.
func (t *table) find(now time.Time, stream string) *record {
	t.expire(now)
	if found := t.records[stream]; found != nil && found.version != "" {
		return found
	}
	return nil
}

// sent records the outcome of sending a record to one instance. The record counts as untold again
// if no instance keeps it yet.
func (t *table) sent(stream string, acknowledged bool) {
	r := t.records[stream]
	if r == nil {
		return
	}
	r.kept = r.kept || acknowledged
	r.told = r.kept
}

// untold returns the own records that no other instance has been sent.
func (t *table) untold(now time.Time) map[string]*record {
	t.expire(now)
	out := map[string]*record{}
	for stream, r := range t.records {
		if r.own && !r.told {
			out[stream] = r
		}
	}
	return out
}

func (t *table) expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].at) > recordLifetime {
		t.dropOldest()
	}
}

func (t *table) dropOldest() {
	delete(t.records, t.order[0].stream)
	t.order = t.order[1:]
}
