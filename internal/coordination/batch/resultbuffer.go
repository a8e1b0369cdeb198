package batch

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// section contains the buffered results of one chunk.
type section struct {
	id       ledger.ChunkID
	deadline time.Time
	results  []bulk.Result
	// bytes is the total size of the results as estimated by resultSize.
	bytes int
}

// resultOverhead is an upper bound on the bytes that the encoding adds to a result.
const resultOverhead = 128

// resultSize is an upper bound on the encoded size of a result in bytes.
func resultSize(result *bulk.Result) int {
	return len(result.Body) + len(result.CustomID) + len(result.RequestID) + len(result.Message) + resultOverhead
}

// itemNumbers returns the numbers of the items in their chunk.
func (s *section) itemNumbers() []int {
	numbers := make([]int, len(s.results))
	for i := range s.results {
		numbers[i] = s.results[i].Item
	}
	return numbers
}

// record returns the part of the control record for the section, whose results
// are stored at the offset at.
func (s *section) record(at protocol.Offset) protocol.ChunkResult {
	var items, failed ledger.Bitmap
	for i := range s.results {
		items.Set(s.results[i].Item)
		if s.results[i].Failed() {
			failed.Set(s.results[i].Item)
		}
	}
	return protocol.ChunkResult{
		Job:    s.id.Job,
		Chunk:  s.id.Chunk,
		Data:   at,
		Items:  items.Bytes(),
		Failed: failed.Bytes(),
		At:     time.Now().Unix(),
	}
}

// resultBuffer contains the results that wait to be appended.
type resultBuffer struct {
	chunks map[ledger.ChunkID]*section
	// bytes is the total size of the results as estimated by resultSize.
	bytes int
	// oldest is the arrival time of the oldest result, deadline the earliest
	// deadline of the jobs, and notBefore the time of the next attempt after a
	// failed append.
	oldest, deadline, notBefore time.Time
}

func newResultBuffer() *resultBuffer {
	return &resultBuffer{chunks: map[ledger.ChunkID]*section{}}
}

func (b *resultBuffer) empty() bool { return len(b.chunks) == 0 }

// add adds a result that arrived at the time now.
func (b *resultBuffer) add(r itemResult, now time.Time) {
	if b.empty() {
		b.oldest = now
		b.deadline = r.item.Deadline
	}
	b.deadline = earliest(b.deadline, r.item.Deadline)
	s := b.chunks[r.item.ChunkID]
	if s == nil {
		s = &section{id: r.item.ChunkID, deadline: r.item.Deadline}
		b.chunks[r.item.ChunkID] = s
	}
	size := resultSize(&r.result)
	s.results = append(s.results, r.result)
	s.bytes += size
	b.bytes += size
}

// take removes and returns sections of at most room bytes in total, splitting the
// last one if necessary. A single result always fits in an empty entry.
func (b *resultBuffer) take(room int) []*section {
	var taken []*section
	for _, s := range b.sorted() {
		part := s.split(room)
		if part == nil {
			break
		}
		room -= part.bytes
		b.bytes -= part.bytes
		taken = append(taken, part)
		if len(s.results) > 0 {
			break
		}
		delete(b.chunks, s.id)
	}
	return taken
}

// sorted returns the sections by deadline, job and chunk number.
func (b *resultBuffer) sorted() []*section {
	sections := make([]*section, 0, len(b.chunks))
	for _, s := range b.chunks {
		sections = append(sections, s)
	}
	slices.SortFunc(sections, func(x, y *section) int {
		return cmp.Or(x.deadline.Compare(y.deadline), cmp.Compare(x.id.Job, y.id.Job), cmp.Compare(x.id.Chunk, y.id.Chunk))
	})
	return sections
}

// split removes and returns the first results that fit in room bytes. It returns
// nil if none fits.
func (s *section) split(room int) *section {
	part := &section{id: s.id, deadline: s.deadline}
	count := 0
	for count < len(s.results) {
		size := resultSize(&s.results[count])
		if part.bytes+size > room {
			break
		}
		part.bytes += size
		count++
	}
	if count == 0 {
		return nil
	}
	part.results = s.results[:count:count]
	s.results = s.results[count:]
	s.bytes -= part.bytes
	return part
}

// putBack puts sections back into the buffer after their append has failed.
func (b *resultBuffer) putBack(sections []*section, notBefore time.Time) {
	b.notBefore = notBefore
	for _, part := range sections {
		if len(part.results) == 0 {
			continue
		}
		s := b.chunks[part.id]
		if s == nil {
			b.chunks[part.id] = part
		} else {
			s.results = append(part.results, s.results...)
			s.bytes += part.bytes
		}
		b.bytes += part.bytes
	}
}
