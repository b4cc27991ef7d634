package peer

import (
	"io"
	"sync/atomic"
)

// countingReader adds the number of bytes read to a shared counter.
type countingReader struct {
	r io.Reader
	n *atomic.Int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n.Add(int64(n))
	return n, err
}
