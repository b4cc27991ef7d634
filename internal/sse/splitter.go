package sse

import (
	"bytes"
	"errors"
)

// maxEventBytes limits the bytes buffered for one incomplete event. The largest
// text of an event is a few hundred bytes. With 64 streams at once that never end
// an event, a node with 184 MB stays within its memory.
const maxEventBytes = 256 << 10

// ErrTooLong is returned for an incomplete event of more than 256 KiB.
var ErrTooLong = errors.New("event exceeds 256 KiB")

// Splitter splits a byte stream into events. The zero value is ready to use.
type Splitter struct {
	pending []byte
	// scanned is the length of the prefix of pending that holds no end of an event.
	// It is not scanned again when the next bytes arrive.
	scanned int
}

// Add appends the next bytes of the stream and calls fn for each event that they
// complete. It stops at the first error and returns it. The byte slices of an
// event are valid only during the call of fn.
func (s *Splitter) Add(p []byte, fn func(Event) error) error {
	s.pending = append(s.pending, p...)
	start, scanned := 0, s.scanned
	for {
		n := eventLen(s.pending[start:], scanned)
		if n < 0 {
			break
		}
		if err := fn(parseEvent(s.pending[start : start+n])); err != nil {
			return err
		}
		start, scanned = start+n, 0
	}
	if start > 0 {
		s.pending = append(s.pending[:0], s.pending[start:]...)
	}
	// The last two bytes may be the first part of the empty line that ends an event.
	s.scanned = max(0, len(s.pending)-2)
	if len(s.pending) > maxEventBytes {
		return ErrTooLong
	}
	return nil
}

// Pending returns the bytes received after the last complete event.
func (s *Splitter) Pending() []byte { return s.pending }

// eventLen returns the length of the first event in p, including the empty line
// that ends it, or -1 if p holds no complete event. No event ends in the first
// scanned bytes.
func eventLen(p []byte, scanned int) int {
	for at := scanned; ; {
		i := bytes.IndexByte(p[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		if at < len(p) && p[at] == '\n' {
			return at + 1
		}
		if at+1 < len(p) && p[at] == '\r' && p[at+1] == '\n' {
			return at + 2
		}
	}
}
