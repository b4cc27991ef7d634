package intent

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of the parts of a request; the lengths of the
// parts count, so that moving a byte from one to the next changes it.
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
