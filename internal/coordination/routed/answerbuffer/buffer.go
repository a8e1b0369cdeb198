package answerbuffer

import "time"

const (
	// chunkOverhead is counted for each chunk in addition to its capacity: its entry in a slice
	// that grows by doubling, and the rounding of allocations.
	chunkOverhead = 128
	// maxSharedChunk is the capacity in bytes of the largest chunk that several parts share. Events
	// are often smaller than the overhead of a chunk.
	maxSharedChunk = 4 << 10
)

// Buffer holds the parts of one answer that the caller has not read. Its owner serializes the
// calls.
type Buffer struct {
	budget *Budget
	chunks []chunk
	// counted is the number of bytes that are counted in the budget.
	counted int64
	// size is the number of bytes of all chunks.
	size  int
	stats Stats
}

// chunk holds consecutive parts of an answer.
type chunk struct {
	data []byte
	// at is when the first part was added.
	at time.Time
	// begun is set once the first bytes are written.
	begun bool
	// counted is the number of bytes that are counted for it, 0 for a lent one.
	counted int64
}

// Stats say how far a caller lagged.
type Stats struct {
	// PeakBytes is the largest number of bytes held.
	PeakBytes int
	// Lag is the longest time from adding a part until it was written. Of parts that share a
	// chunk only the first one counts.
	Lag time.Duration
}

// NewBuffer returns an empty buffer.
func NewBuffer(budget *Budget) *Buffer { return &Buffer{budget: budget} }

// Append holds a copy of a part, unless the budget does not permit it.
func (b *Buffer) Append(now time.Time, part []byte) Verdict {
	capacity := len(part)
	if len(b.chunks) > 0 {
		last := &b.chunks[len(b.chunks)-1]
		if last.counted > 0 && cap(last.data)-len(last.data) >= len(part) {
			last.data = append(last.data, part...)
			b.grow(len(part))
			return Fits
		}
		capacity = max(capacity, min(maxSharedChunk, 2*cap(last.data)))
	}
	count := int64(capacity) + chunkOverhead
	if verdict := b.budget.takeAnswer(b.counted, count); verdict != Fits {
		return verdict
	}
	b.counted += count
	b.add(chunk{data: append(make([]byte, 0, capacity), part...), at: now, counted: count})
	return Fits
}

// Lend adds a part without copying or counting it. The caller must not change it before it is
// written.
func (b *Buffer) Lend(now time.Time, part []byte) { b.add(chunk{data: part, at: now}) }

func (b *Buffer) add(c chunk) {
	b.chunks = append(b.chunks, c)
	b.grow(len(c.data))
}

func (b *Buffer) grow(size int) {
	b.size += size
	b.stats.PeakBytes = max(b.stats.PeakBytes, b.size)
}

// Empty reports whether everything is written.
func (b *Buffer) Empty() bool { return b.size == 0 }

// Counted returns the number of bytes that are counted in the budget.
func (b *Buffer) Counted() int64 { return b.counted }

// Next appends the parts that are to be written next, at most limit bytes, to parts and returns
// them with the number of bytes. They stay in the buffer until Advance.
func (b *Buffer) Next(parts [][]byte, limit int) ([][]byte, int) {
	total := 0
	for i := 0; i < len(b.chunks) && total < limit; i++ {
		data := b.chunks[i].data
		data = data[:min(len(data), limit-total)]
		parts = append(parts, data)
		total += len(data)
	}
	return parts, total
}

// Advance removes bytes that were written.
func (b *Buffer) Advance(now time.Time, written int) {
	b.size -= written
	var freed int64
	for written > 0 {
		first := &b.chunks[0]
		if !first.begun {
			first.begun = true
			b.stats.Lag = max(b.stats.Lag, now.Sub(first.at))
		}
		n := min(written, len(first.data))
		first.data = first.data[n:]
		written -= n
		if len(first.data) > 0 {
			break
		}
		freed += first.counted
		*first = chunk{}
		b.chunks = b.chunks[1:]
	}
	b.free(freed)
}

// Discard removes everything.
func (b *Buffer) Discard() {
	b.chunks, b.size = nil, 0
	b.free(b.counted)
}

func (b *Buffer) free(size int64) {
	b.counted -= size
	b.budget.returnAnswer(size, b.counted)
}

// Stats returns how far the caller lagged. Parts that are not written count with their age.
func (b *Buffer) Stats(now time.Time) Stats {
	stats := b.stats
	if len(b.chunks) > 0 {
		stats.Lag = max(stats.Lag, now.Sub(b.chunks[0].at))
	}
	return stats
}
