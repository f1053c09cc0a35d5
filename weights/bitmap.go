package weights

import "math/bits"

// Bitmap holds one bit per chunk, least significant bit first.
type Bitmap []byte

// NewBitmap returns an empty bitmap for n chunks.
func NewBitmap(n int) Bitmap {
	return make(Bitmap, (n+7)/8)
}

// Has reports whether bit i is set; bits outside the bitmap are not.
func (b Bitmap) Has(i int) bool {
	return i >= 0 && i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

// Add sets bit i. It reports whether the bit was clear before.
func (b Bitmap) Add(i int) bool {
	if i < 0 || i/8 >= len(b) || b.Has(i) {
		return false
	}
	b[i/8] |= 1 << (i % 8)
	return true
}

// Count returns the number of set bits.
func (b Bitmap) Count() int {
	count := 0
	for _, v := range b {
		count += bits.OnesCount8(v)
	}
	return count
}
