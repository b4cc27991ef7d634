package httpsend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"

	"gentiantide.example/gentiantide/internal/httphead"
)

// headCheck checks the head of the response to each request of a connection as it
// arrives. The transport of net/http accepts heads that are none, and drops some fields
// before they could be checked.
type headCheck struct {
	mu       sync.Mutex
	expected bool   // the head of the present response is not complete
	interim  int    // interim responses to the present request
	bytes    []byte // of the head
}

// expect begins a request.
func (h *headCheck) expect() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected, h.interim, h.bytes = true, 0, nil
}

// received checks the next bytes on the connection.
func (h *headCheck) received(p []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.expected || len(p) == 0 {
		return nil
	}
	h.bytes = append(h.bytes, p...)
	for {
		unread := bytes.NewReader(h.bytes)
		buffered := bufio.NewReader(unread)
		head, err := httphead.NewReader(buffered, maxHeadBytes).Head()
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil // the rest is still to come
		}
		if err == nil {
			_, _, err = head.Framing("")
		}
		if err != nil {
			return err
		}
		if !head.Interim() {
			h.expected, h.bytes = false, nil
			return nil
		}
		if h.interim++; h.interim > httphead.MaxInterim {
			return httphead.ErrInterim
		}
		h.bytes = h.bytes[len(h.bytes)-unread.Len()-buffered.Buffered():]
	}
}
