package promptcache

import "github.com/cespare/xxhash/v2"

// Part is a part of a prompt together with all parts before it: a replica that keeps a
// part but not those before it has to read it again.
type Part struct {
	//lint:ignore U1000 read by the codec; encoding field names would double the size
	_msgpack struct{} `msgpack:",as_array"`
	// Chain identifies the part and all parts before it.
	Chain uint64
	// Tokens is the length of this part alone.
	Tokens int
}

// Append returns the parts of a prompt with one more part at the end.
func Append(parts []Part, id string, tokens int) []Part {
	var d xxhash.Digest
	d.Reset()
	if n := len(parts); n > 0 {
		d.ResetWithSeed(parts[n-1].Chain)
	}
	_, _ = d.WriteString(id) // never fails
	return append(parts, Part{Chain: d.Sum64(), Tokens: tokens})
}

// Tokens returns the length of a prompt.
func Tokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}
