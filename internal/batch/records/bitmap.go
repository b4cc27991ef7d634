package records

import "math/bits"

// Bitmap is a set of item indexes. The nil Bitmap is the empty set.
type Bitmap []byte

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// With returns a copy of the set with the given indexes added.
func (b Bitmap) With(indexes ...int) Bitmap {
	out := append(Bitmap(nil), b...)
	for _, i := range indexes {
		for len(out) <= i/8 {
			out = append(out, 0)
		}
		out[i/8] |= 1 << (i % 8)
	}
	return out
}

// Without returns a copy of the set with the given indexes removed.
func (b Bitmap) Without(indexes ...int) Bitmap {
	out := append(Bitmap(nil), b...)
	for _, i := range indexes {
		if i/8 < len(out) {
			out[i/8] &^= 1 << (i % 8)
		}
	}
	return out
}

// Count returns the number of indexes in the set.
func (b Bitmap) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}
