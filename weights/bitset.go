package weights

import (
	"iter"
	"math/bits"
)

// wordBits is the number of bits in a word of a bitset.
const wordBits = 64

// bitset is a set of small integers, iterated in increasing order.
type bitset []uint64

func newBitset(n int) bitset {
	return make(bitset, (n+wordBits-1)/wordBits)
}

func (b bitset) add(i int) {
	b[i/wordBits] |= 1 << (i % wordBits)
}

func (b bitset) remove(i int) {
	b[i/wordBits] &^= 1 << (i % wordBits)
}

// all iterates over the members in increasing order. Members may be removed
// during the iteration.
func (b bitset) all() iter.Seq[int] {
	return func(yield func(int) bool) {
		for index, word := range b {
			for ; word != 0; word &= word - 1 {
				if !yield(index*wordBits + bits.TrailingZeros64(word)) {
					return
				}
			}
		}
	}
}

// empty reports whether there are no members.
func (b bitset) empty() bool {
	for _, word := range b {
		if word != 0 {
			return false
		}
	}
	return true
}
