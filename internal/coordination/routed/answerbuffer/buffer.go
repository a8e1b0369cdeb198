package answerbuffer

import (
	"bytes"
	"time"
)

// chunkOverhead is counted for each held part in addition to its bytes: its entry in a slice that
// grows by doubling, and the rounding of allocations.
const chunkOverhead = 128

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

// chunk is one part of an answer.
type chunk struct {
	data []byte
	at   time.Time
	// counted is the number of bytes that are counted for it, 0 for a lent one.
	counted int64
}

// Stats say how far a caller lagged.
type Stats struct {
	// PeakBytes is the largest number of bytes held.
	PeakBytes int
	// Lag is the longest time from adding a part until it was written.
	Lag time.Duration
}

// NewBuffer returns an empty buffer.
func NewBuffer(budget *Budget) *Buffer { return &Buffer{budget: budget} }

// Append holds a copy of a part, unless the budget does not permit it.
func (b *Buffer) Append(now time.Time, part []byte) Verdict {
	count := int64(len(part)) + chunkOverhead
	if verdict := b.budget.takeAnswer(b.counted, count); verdict != Fits {
		return verdict
	}
	b.counted += count
	b.add(chunk{data: bytes.Clone(part), at: now, counted: count})
	return Fits
}

// Lend adds a part without copying or counting it. The caller must not change it before it is
// written.
func (b *Buffer) Lend(now time.Time, part []byte) { b.add(chunk{data: part, at: now}) }

func (b *Buffer) add(c chunk) {
	b.chunks = append(b.chunks, c)
	b.size += len(c.data)
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
		n := min(written, len(first.data))
		first.data = first.data[n:]
		written -= n
		if len(first.data) > 0 {
			break
		}
		b.stats.Lag = max(b.stats.Lag, now.Sub(first.at))
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
