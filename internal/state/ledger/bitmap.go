package ledger

import (
	"encoding/binary"
	"math/bits"

	"merlintiller/internal/protocol"
)

const wordBits = 64

// Bitmap holds one bit per item of a chunk.
type Bitmap [protocol.MaxChunkItems / wordBits]uint64

// ParseBitmap decodes the bitmap of a record: byte b holds the items 8b to
// 8b+7, least significant bit first. ok is false if data holds more bits than a
// chunk can have items.
func ParseBitmap(data []byte) (b Bitmap, ok bool) {
	var padded [protocol.MaxChunkItems / 8]byte
	if len(data) > len(padded) {
		return b, false
	}
	copy(padded[:], data)
	for i := range b {
		b[i] = binary.LittleEndian.Uint64(padded[i*8:])
	}
	return b, true
}

// Bytes encodes the bitmap as it is written in records, without trailing zero
// bytes.
func (b Bitmap) Bytes() []byte {
	data := make([]byte, 0, protocol.MaxChunkItems/8)
	for _, word := range b {
		data = binary.LittleEndian.AppendUint64(data, word)
	}
	for len(data) > 0 && data[len(data)-1] == 0 {
		data = data[:len(data)-1]
	}
	return data
}

// Has reports whether the bit of an item is set.
func (b Bitmap) Has(item int) bool {
	return b[item/wordBits]&(1<<(item%wordBits)) != 0
}

// Set sets the bit of an item.
func (b *Bitmap) Set(item int) {
	b[item/wordBits] |= 1 << (item % wordBits)
}

// Count returns the number of set bits.
func (b Bitmap) Count() int {
	count := 0
	for _, word := range b {
		count += bits.OnesCount64(word)
	}
	return count
}

// firstBits returns a bitmap whose first count bits are set.
func firstBits(count int) Bitmap {
	var b Bitmap
	for i := range b {
		n := min(max(count-i*wordBits, 0), wordBits)
		b[i] = ^uint64(0) >> (wordBits - n)
		if n == 0 {
			b[i] = 0
		}
	}
	return b
}

func (b Bitmap) or(other Bitmap) Bitmap {
	for i := range b {
		b[i] |= other[i]
	}
	return b
}

func (b Bitmap) and(other Bitmap) Bitmap {
	for i := range b {
		b[i] &= other[i]
	}
	return b
}

// andNot returns the bits of b that are not set in other.
func (b Bitmap) andNot(other Bitmap) Bitmap {
	for i := range b {
		b[i] &^= other[i]
	}
	return b
}
