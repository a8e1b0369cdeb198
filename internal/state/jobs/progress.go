package jobs

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
)

// Progress is the output of an item that is not whole, as far as it was kept.
//
// It is kept in parts, each the events that follow the part before. A part has a tag of
// its own and names the tag of the part that it follows; an item that begins anew
// begins with a part that follows none. So the output of two runs is joined only where
// the second one was asked to go on after the last event of the first.
//
// What goes wrong if a part follows any that ends at the right event: two instances
// think that they hold the partition, and both go on from the same part. Their parts
// stand under the same keys, so that the newest of them are of both. Where one
// instance's part ends by chance as the other's did, its next part would be joined to
// it, though that comes of a run that was never asked to go on there.
type Progress struct {
	// Tag is that of the last part.
	Tag uint64
	// Parts is how many there are, and the number of the next one.
	Segments int
	// Events counts the events, Position is the last of them.
	Events, Position int
	Text             string
	// Worked is the time that runs have taken for them.
	RunTime time.Duration
	// Failures are the runs that targets ended as failed, however often it began anew.
	Failures int
}

// Piece is a part on its way into the log.
type OutputSegment struct {
	// Item is the item's place in its job.
	Item int
	// Tag is the part's own, and no other part has it. Follows is that of the part
	// before, 0 for the first one.
	Tag, Follows uint64
	// Number is that of the part in its item, After the position that it follows.
	Number, After    int
	Events, Position int
	Text             string
	RunTime          time.Duration
	Failures         int
}

// piece is the record of a part.
type segmentRecord struct {
	Tag      uint64 `cbor:"1,keyasint"`
	After    int    `cbor:"2,keyasint"`
	Position int    `cbor:"3,keyasint"`
	Events   int    `cbor:"4,keyasint"`
	Text     string `cbor:"5,keyasint"`
	// Worked is in milliseconds.
	RunTime  int64  `cbor:"6,keyasint"`
	Failures int    `cbor:"7,keyasint,omitempty"`
	Follows  uint64 `cbor:"8,keyasint,omitempty"`
}

// EncodePiece gives the record of a part. A part that does not fit into a record is
// an error; its item runs on without being kept.
func EncodeSegment(job string, p OutputSegment, recordBytes int) (external.KeyedRecord, error) {
	if len(p.Text) > recordBytes-recordOverhead {
		return external.KeyedRecord{}, trace.LimitExceeded("part %d of item %d of job %s is too large for a record", p.Number, p.Item, job)
	}
	value, err := cbor.Marshal(segmentRecord{
		Tag: p.Tag, Follows: p.Follows, After: p.After, Position: p.Position, Events: p.Events, Text: p.Text, RunTime: p.RunTime.Milliseconds(),
		Failures: p.Failures,
	})
	if err != nil {
		return external.KeyedRecord{}, trace.Wrap(err)
	}
	return external.KeyedRecord{Key: recordKey(indexKey(segmentPrefix+job, p.Item), p.Number), Value: value}, nil
}

// DropProgress gives the records that remove what was kept of an item.
func (l *JobState) EncodeProgressRemoval(item int) []external.KeyedRecord {
	kept := l.progress[item]
	if kept == nil {
		return nil
	}
	records := make([]external.KeyedRecord, 0, kept.maxSegments)
	for n := range kept.maxSegments {
		records = append(records, external.KeyedRecord{Key: recordKey(indexKey(segmentPrefix+l.ID, item), n)})
	}
	return records
}

// kept is the progress of one item, with the number of parts there ever were.
type storedOutput struct {
	Progress
	maxSegments int
}

// Progress gives what was kept of an item.
func (l *JobState) Progress(item int) (Progress, bool) {
	found := l.progress[item]
	if found == nil || found.Segments == 0 {
		return Progress{}, false
	}
	return found.Progress, true
}

// pieceRecord adds a part, if it follows what there is.
func (p *Partition) applySegment(rest string, value []byte) error {
	rest, number, ok := splitNumber(rest)
	id, item, okItem := splitNumber(rest)
	if !ok || !okItem {
		return trace.BadParameter("part of an item under key %q", rest)
	}
	job := p.jobs[id]
	if job == nil || item >= len(job.Items) {
		return nil
	}
	found := job.progress[item]
	if found == nil {
		found = &storedOutput{}
		job.progress[item] = found
	}
	found.maxSegments = max(found.maxSegments, number+1)
	if job.hasResult[job.Items[item].ID] {
		return nil
	}
	var record segmentRecord
	if err := cbor.Unmarshal(value, &record); err != nil {
		return trace.Wrap(err, "part %d of item %d of job %s", number, item, id)
	}
	found.add(number, record)
	return nil
}

func (k *storedOutput) add(number int, record segmentRecord) {
	k.Failures = max(k.Failures, record.Failures)
	switch {
	case number == 0 && record.After == exchange.FromStart:
		k.Progress = Progress{Failures: k.Failures}
	case k.Segments == 0 || record.Follows != k.Tag || number != k.Segments || record.After != k.Position:
		return
	}
	if k.Events > 0 {
		k.Text = strings.Join([]string{k.Text, record.Text}, "\n")
	} else {
		k.Text = record.Text
	}
	k.Tag = record.Tag
	k.Segments++
	k.Events += record.Events
	k.Position = record.Position
	k.RunTime = time.Duration(record.RunTime) * time.Millisecond
}
