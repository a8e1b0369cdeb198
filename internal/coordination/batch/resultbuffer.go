package batch

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// section holds the waiting results of one chunk.
type section struct {
	id       ledger.ChunkID
	deadline time.Time
	results  []bulk.Result
	bytes    int
}

// resultOverhead is a generous bound on what encoding adds to a result.
const resultOverhead = 128

func resultSize(result *bulk.Result) int {
	return len(result.Body) + len(result.CustomID) + len(result.RequestID) + len(result.Message) + resultOverhead
}

func (s *section) numbers() []int {
	numbers := make([]int, len(s.results))
	for i := range s.results {
		numbers[i] = s.results[i].Item
	}
	return numbers
}

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

// resultBuffer holds the results that wait to be appended.
type resultBuffer struct {
	chunks map[ledger.ChunkID]*section
	bytes  int
	// oldest is when the oldest result came, deadline the earliest one of
	// their jobs, notBefore when to try again after a failed append.
	oldest, deadline, notBefore time.Time
}

func newResultBuffer() *resultBuffer {
	return &resultBuffer{chunks: map[ledger.ChunkID]*section{}}
}

func (b *resultBuffer) empty() bool { return len(b.chunks) == 0 }

func (b *resultBuffer) add(f finished, now time.Time) {
	if b.empty() {
		b.oldest = now
		b.deadline = f.item.Deadline
	}
	b.deadline = earliest(b.deadline, f.item.Deadline)
	s := b.chunks[f.item.ChunkID]
	if s == nil {
		s = &section{id: f.item.ChunkID, deadline: f.item.Deadline}
		b.chunks[f.item.ChunkID] = s
	}
	size := resultSize(&f.result)
	s.results = append(s.results, f.result)
	s.bytes += size
	b.bytes += size
}

// take removes sections that together fit in an entry, splitting one if need
// be. A single result always fits.
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

// split removes the first results that fit, nil if not even one does.
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

// putBack returns sections whose append failed.
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
