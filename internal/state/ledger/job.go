package ledger

import (
	"time"

	"merlintiller/internal/protocol"
)

// Status is the state of a job, derived from the records about it.
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

	accepted protocol.Offset
	ended    protocol.Offset
	endedAt  int64
	status   Status

	total, done, failed int
	chunks              []chunk
}

// chunk takes 40 bytes. A chunk that one segment completed without a failed
// item, the usual case, has its result in whole; any other has segments.
type chunk struct {
	input  protocol.Offset
	holder protocol.SessionID
	whole  protocol.Offset
	parts  *[]Segment
	items  uint16
	done   uint16
	// first is the index of the first item in the entry at input.
	first uint16
}

// Segment is an entry of DataStream that holds winning results of a chunk.
type Segment struct {
	Data protocol.Offset `cbor:"1,keyasint"`
	// Items are those whose first result is in this segment.
	Items Bitmap `cbor:"2,keyasint"`
	// Failed are those of Items that ended as a failed result.
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
		j.chunks[i] = chunk{input: ref.Offset, first: uint16(ref.First), whole: protocol.NoOffset, items: uint16(ref.Items)}
		j.total += ref.Items
	}
	return j
}

// chunk finds a chunk by its number, nil if the job has no such chunk.
func (j *job) chunk(number int) *chunk {
	if number < 0 || number >= len(j.chunks) {
		return nil
	}
	return &j.chunks[number]
}

func (c *chunk) complete() bool { return c.done == c.items }

// segments lists the winning segments in stream order.
func (c *chunk) segments() []Segment {
	if c.whole != protocol.NoOffset {
		return []Segment{{Data: c.whole, Items: firstBits(int(c.items))}}
	}
	if c.parts == nil {
		return nil
	}
	return append([]Segment(nil), *c.parts...)
}

// won holds the items that have a result.
func (c *chunk) won() Bitmap {
	if c.whole != protocol.NoOffset {
		return firstBits(int(c.items))
	}
	var all Bitmap
	if c.parts == nil {
		return all
	}
	for _, segment := range *c.parts {
		all = all.or(segment.Items)
	}
	return all
}
