package jobs

import (
	"strings"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/exchange"
)

// Progress is the stored part of the output of an item that is not finished.
//
// Output is stored in segments. Each holds the events after the previous segment, has a
// tag of its own and names the tag of the segment that it follows. An item that is
// restarted starts with a segment that follows none. So the outputs of two runs are
// joined only if the second run was asked to continue after the last event of the first.
//
// Without tags, a segment could follow any segment that ends at the right event. This
// fails while two instances both act as owner of the partition and continue from the same
// segment. They write their segments under the same keys, so the newest records are a
// mixture. If a segment of one instance happens to end at the same event as the other's,
// the next segment of one would be joined to that of the other, although its run was never
// asked to continue there.
type Progress struct {
	// Tag is the tag of the last segment.
	Tag uint64
	// Segments is the number of segments, and so the number of the next one.
	Segments int
	// Events counts the events; Position is the position of the last one.
	Events, Position int
	Text             string
	// Version is the software version of the targets that all events come from. Empty: not
	// known, or not the same for all.
	Version string
	// RunTime is the time that runs took to produce the events.
	RunTime time.Duration
	// Failures counts the runs that targets reported as failed, across restarts of the
	// item.
	Failures int
}

// OutputSegment is a segment to be written to the log.
type OutputSegment struct {
	// ItemIndex is the index of the item in its job.
	ItemIndex int
	// Tag is unique to the segment. Follows is the tag of the previous segment, 0
	// for the first one.
	Tag, Follows uint64
	// Number is the segment's number in its item, After the position of the last event
	// before it.
	Number, After    int
	Events, Position int
	Text             string
	Version          string
	RunTime          time.Duration
	Failures         int
}

// segmentRecord is the record of a segment.
type segmentRecord struct {
	Tag      uint64 `cbor:"1,keyasint"`
	After    int    `cbor:"2,keyasint"`
	Position int    `cbor:"3,keyasint"`
	Events   int    `cbor:"4,keyasint"`
	Text     string `cbor:"5,keyasint"`
	// RunTime is in milliseconds.
	RunTime  int64  `cbor:"6,keyasint"`
	Failures int    `cbor:"7,keyasint,omitempty"`
	Follows  uint64 `cbor:"8,keyasint,omitempty"`
	// Version is empty in records of releases that do not know it.
	Version string `cbor:"9,keyasint,omitempty"`
}

// EncodeSegment returns the record of a segment. A segment that does not fit into a record,
// or is not valid UTF-8, is an error; its item runs on, but its output is not stored.
func EncodeSegment(job string, segment OutputSegment, recordBytes int) (external.KeyedRecord, error) {
	if len(segment.Text) > recordBytes-recordOverhead {
		return external.KeyedRecord{}, trace.LimitExceeded("output segment %d of item %d of job %s is too large for a record", segment.Number, segment.ItemIndex, job)
	}
	if !utf8.ValidString(segment.Text) {
		return external.KeyedRecord{}, trace.BadParameter("output segment %d of item %d of job %s is not valid UTF-8", segment.Number, segment.ItemIndex, job)
	}
	value, err := cbor.Marshal(segmentRecord{
		Tag: segment.Tag, Follows: segment.Follows, After: segment.After, Position: segment.Position, Events: segment.Events, Text: segment.Text, RunTime: segment.RunTime.Milliseconds(),
		Failures: segment.Failures, Version: segment.Version,
	})
	if err != nil {
		return external.KeyedRecord{}, trace.Wrap(err)
	}
	return external.KeyedRecord{Key: recordKey(indexKey(segmentPrefix+job, segment.ItemIndex), segment.Number), Value: value}, nil
}

// EncodeProgressRemoval returns the records that remove the stored output of an item.
func (s *JobState) EncodeProgressRemoval(item int) []external.KeyedRecord {
	stored := s.progress[item]
	if stored == nil {
		return nil
	}
	records := make([]external.KeyedRecord, 0, stored.maxSegments)
	for n := range stored.maxSegments {
		records = append(records, external.KeyedRecord{Key: recordKey(indexKey(segmentPrefix+s.ID, item), n)})
	}
	return records
}

// storedOutput is the progress of one item. maxSegments is the highest number of segments
// that it ever had.
type storedOutput struct {
	Progress
	maxSegments int
}

// Progress returns the stored output of an item.
func (s *JobState) Progress(item int) (Progress, bool) {
	stored := s.progress[item]
	if stored == nil || stored.Segments == 0 {
		return Progress{}, false
	}
	return stored.Progress, true
}

// applySegment adds a segment if it follows the stored output.
func (p *Partition) applySegment(rest string, value []byte) error {
	rest, number, ok := splitNumber(rest)
	id, item, okItem := splitNumber(rest)
	if !ok || !okItem {
		return trace.BadParameter("output segment under invalid key %q", rest)
	}
	job := p.jobs[id]
	if job == nil || item >= len(job.Items) {
		return nil
	}
	stored := job.progress[item]
	if stored == nil {
		stored = &storedOutput{}
		job.progress[item] = stored
	}
	stored.maxSegments = max(stored.maxSegments, number+1)
	if job.hasResult[job.Items[item].ID] {
		return nil
	}
	var record segmentRecord
	if err := protocol.UnmarshalOpaque(value, &record); err != nil {
		return trace.Wrap(err, "output segment %d of item %d of job %s", number, item, id)
	}
	if !utf8.ValidString(record.Text) {
		// Written by an earlier release. An item that went on from it would end with a
		// result that can't be written.
		return trace.BadParameter("output segment %d of item %d of job %s is not valid UTF-8", number, item, id)
	}
	stored.add(number, record)
	return nil
}

// add appends a segment, or starts again with it if it is a first one. It ignores a segment
// that does not follow the last one.
func (o *storedOutput) add(number int, record segmentRecord) {
	o.Failures = max(o.Failures, record.Failures)
	switch {
	case number == 0 && record.After == exchange.FromStart:
		o.Progress = Progress{Failures: o.Failures, Version: record.Version}
	case o.Segments == 0 || record.Follows != o.Tag || number != o.Segments || record.After != o.Position:
		return
	}
	if o.Events > 0 {
		o.Text = strings.Join([]string{o.Text, record.Text}, "\n")
	} else {
		o.Text = record.Text
	}
	if record.Version != o.Version {
		o.Version = ""
	}
	o.Tag = record.Tag
	o.Segments++
	o.Events += record.Events
	o.Position = record.Position
	o.RunTime = time.Duration(record.RunTime) * time.Millisecond
}
