package replica

import (
	"errors"
	"io"
)

const (
	// maxHeadBytes limits the status line and the headers of a response, with those
	// of interim responses before it. A usual head has less than 1 KiB. A replica
	// that sends header lines without end would otherwise use up the memory of each
	// node that sends it a request.
	maxHeadBytes = 32 << 10
	// maxInterimResponses limits the interim (1xx) responses before a response.
	maxInterimResponses = 5
	// maxBodyBytes limits the body of a response, so that one without end does not
	// occupy the connection, the slot and the caller until the deadline.
	maxBodyBytes = 64 << 20
)

var (
	errHeadTooLong         = errors.New("response head exceeds 32 KiB")
	errInterimResponses    = errors.New("more than 5 interim responses")
	errBodyTooLong         = errors.New("response body exceeds 64 MiB")
	errStaleResponseLength = errors.New("response to another request exceeds 1 MiB")
)

// headReader limits the bytes that may be read while a response head is parsed.
// It is not safe for concurrent use.
type headReader struct {
	r       io.Reader
	limited bool
	left    int
}

// limit starts a head of at most maxHeadBytes.
func (h *headReader) limit() { h.limited, h.left = true, maxHeadBytes }

// unlimit ends the head.
func (h *headReader) unlimit() { h.limited = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}
