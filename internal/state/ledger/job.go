package ledger

import (
	"time"

	"merlintiller/internal/protocol"
)

// Status is the state of a job, derived from its records.
type Status string

// The states of a job. All but InProgress are final.
const (
	InProgress Status = "in_progress"
	Completed  Status = "completed"
	Cancelled  Status = "cancelled"
	Expired    Status = "expired"
)

type job struct {
	id             protocol.JobID
	organisation   protocol.OrganisationID
	idempotencyKey string
	endpoint       string
	inputFile      string
	inputHash      uint64
	metadata       map[string]string
	created        time.Time
	deadline       time.Time

	// accepted and ended are offsets in ControlStream; ended is NoOffset while
	// the job is in progress.
	accepted protocol.Offset
	ended    protocol.Offset
	// endedAt is the time of the end in Unix seconds.
	endedAt int64
	status  Status

	// total counts the items, done those with a result and failed those with a
	// failed result.
	total, done, failed int
	chunks              []chunk
}

// chunk takes 40 bytes. Usually one segment holds the results of all items and
// none of them failed; its offset is then in soleSegment. In all other cases the
// segments are in segmentList.
type chunk struct {
	// input is the offset of the items in DataStream.
	input protocol.Offset
	// holder is the session that claimed the chunk, or 0 if there is none. The
	// session may have ended.
	holder      protocol.SessionID
	soleSegment protocol.Offset
	segmentList *[]Segment
	// items counts the items, done those with a result.
	items uint16
	done  uint16
	// firstItem is the index of the chunk's first item in the entry at input.
	firstItem uint16
}

// Segment is an entry of DataStream that holds accepted results of a chunk. Only
// the first result of an item is accepted.
type Segment struct {
	// Data is the offset of the entry.
	Data protocol.Offset `cbor:"1,keyasint"`
	// Items marks the items whose accepted result is in this segment.
	Items Bitmap `cbor:"2,keyasint"`
	// Failed marks those of Items whose result is a failure.
	Failed Bitmap `cbor:"3,keyasint"`
}

func newJob(at protocol.Offset, body *protocol.JobSubmit) *job {
	j := &job{
		id:             body.Job,
		organisation:   body.Organisation,
		idempotencyKey: body.IdempotencyKey,
		endpoint:       body.Endpoint,
		inputFile:      body.InputFile,
		inputHash:      body.InputHash,
		metadata:       body.Metadata,
		created:        body.Created,
		deadline:       body.Deadline,
		accepted:       at,
		ended:          protocol.NoOffset,
		status:         InProgress,
		chunks:         make([]chunk, len(body.Chunks)),
	}
	for i, ref := range body.Chunks {
		j.chunks[i] = chunk{input: ref.Offset, firstItem: uint16(ref.First), soleSegment: protocol.NoOffset, items: uint16(ref.Items)}
		j.total += ref.Items
	}
	return j
}

// chunk returns a chunk by its number, or nil if the job has no such chunk.
func (j *job) chunk(number int) *chunk {
	if number < 0 || number >= len(j.chunks) {
		return nil
	}
	return &j.chunks[number]
}

func (c *chunk) complete() bool { return c.done == c.items }

// segments lists the segments with accepted results in stream order.
func (c *chunk) segments() []Segment {
	if c.soleSegment != protocol.NoOffset {
		return []Segment{{Data: c.soleSegment, Items: firstBits(int(c.items))}}
	}
	if c.segmentList == nil {
		return nil
	}
	return append([]Segment(nil), *c.segmentList...)
}

// finished marks the items that have a result.
func (c *chunk) finished() Bitmap {
	if c.soleSegment != protocol.NoOffset {
		return firstBits(int(c.items))
	}
	var all Bitmap
	if c.segmentList == nil {
		return all
	}
	for _, segment := range *c.segmentList {
		all = all.or(segment.Items)
	}
	return all
}
