package intent

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of the parts of a request. It covers the length of each
// part, so that requests which differ only in the boundaries of the parts have
// different digests.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Digest(h.Sum(nil))
}
