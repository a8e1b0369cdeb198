package ledger

import (
	"maps"
	"time"

	"merlintiller/internal/protocol"
)

// Snapshot is a copy of the full state. Equal states encode to equal bytes: jobs
// are sorted by the offset at which they were accepted.
type Snapshot struct {
	Jobs []JobSnapshot `cbor:"1,keyasint"`
}

// JobSnapshot is a job in a Snapshot.
type JobSnapshot struct {
	ID             protocol.JobID          `cbor:"1,keyasint"`
	Organisation   protocol.OrganisationID `cbor:"2,keyasint"`
	IdempotencyKey string                  `cbor:"3,keyasint,omitempty"`
	Endpoint       string                  `cbor:"4,keyasint"`
	InputFile      string                  `cbor:"5,keyasint,omitempty"`
	InputHash      uint64                  `cbor:"6,keyasint,omitempty"`
	Metadata       map[string]string       `cbor:"7,keyasint,omitempty"`
	Created        time.Time               `cbor:"8,keyasint"`
	Deadline       time.Time               `cbor:"9,keyasint"`
	Status         Status                  `cbor:"10,keyasint"`
	Accepted       protocol.Offset         `cbor:"11,keyasint"`
	Ended          protocol.Offset         `cbor:"12,keyasint"`
	EndedAt        int64                   `cbor:"13,keyasint,omitempty"`
	Chunks         []ChunkSnapshot         `cbor:"14,keyasint"`
}

// ChunkSnapshot is a chunk in a JobSnapshot. It encodes as an array to save
// space, since there are thousands of chunks.
type ChunkSnapshot struct {
	_      struct{} `cbor:",toarray"`
	Input  protocol.Offset
	Items  uint16
	Holder protocol.SessionID
	// Whole is the offset of the only segment if that segment holds the results
	// of all items and none failed, else NoOffset.
	Whole    protocol.Offset
	Segments []Segment
	// First is the index of the chunk's first item in the entry at Input.
	First uint16
}

// Snapshot copies the state.
func (l *Ledger) Snapshot() Snapshot {
	views := l.All()
	s := Snapshot{Jobs: make([]JobSnapshot, 0, len(views))}
	for _, view := range views {
		s.Jobs = append(s.Jobs, l.jobs[view.ID].snapshot())
	}
	return s
}

func (j *job) snapshot() JobSnapshot {
	s := JobSnapshot{
		ID:             j.id,
		Organisation:   j.organisation,
		IdempotencyKey: j.idempotencyKey,
		Endpoint:       j.endpoint,
		InputFile:      j.inputFile,
		InputHash:      j.inputHash,
		Metadata:       maps.Clone(j.metadata),
		Created:        j.created,
		Deadline:       j.deadline,
		Status:         j.status,
		Accepted:       j.accepted,
		Ended:          j.ended,
		EndedAt:        j.endedAt,
		Chunks:         make([]ChunkSnapshot, len(j.chunks)),
	}
	for i := range j.chunks {
		s.Chunks[i] = j.chunks[i].snapshot()
	}
	return s
}

func (c *chunk) snapshot() ChunkSnapshot {
	s := ChunkSnapshot{Input: c.input, Items: c.items, Holder: c.holder, Whole: c.soleSegment, First: c.firstItem}
	if c.segmentList != nil {
		s.Segments = append(s.Segments, *c.segmentList...)
	}
	return s
}

// Restore returns the ledger that a snapshot was taken from.
func Restore(s Snapshot) *Ledger {
	l := New()
	for i := range s.Jobs {
		l.add(s.Jobs[i].restore())
	}
	return l
}

func (s *JobSnapshot) restore() *job {
	j := &job{
		id:             s.ID,
		organisation:   s.Organisation,
		idempotencyKey: s.IdempotencyKey,
		endpoint:       s.Endpoint,
		inputFile:      s.InputFile,
		inputHash:      s.InputHash,
		metadata:       maps.Clone(s.Metadata),
		created:        s.Created,
		deadline:       s.Deadline,
		status:         s.Status,
		accepted:       s.Accepted,
		ended:          s.Ended,
		endedAt:        s.EndedAt,
		chunks:         make([]chunk, len(s.Chunks)),
	}
	for i := range s.Chunks {
		c := s.Chunks[i].restore()
		j.chunks[i] = c
		j.total += int(c.items)
		j.done += int(c.done)
		for _, segment := range c.segments() {
			j.failed += segment.Failed.Count()
		}
	}
	return j
}

func (s *ChunkSnapshot) restore() chunk {
	c := chunk{input: s.Input, items: s.Items, holder: s.Holder, soleSegment: s.Whole, firstItem: s.First}
	if len(s.Segments) > 0 {
		parts := append([]Segment(nil), s.Segments...)
		c.segmentList = &parts
	}
	c.done = uint16(c.finished().Count())
	return c
}
