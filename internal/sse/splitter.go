package sse

import (
	"bytes"
	"errors"
)

// maxEventBytes limits the bytes buffered for one incomplete event. The largest
// text of an event is a few hundred bytes; the limit keeps a stream without event
// boundaries from exhausting the memory.
const maxEventBytes = 1 << 20

// ErrTooLong is returned for an incomplete event of more than 1 MiB.
var ErrTooLong = errors.New("event exceeds 1 MiB")

// Splitter splits a byte stream into events. The zero value is ready to use.
type Splitter struct{ pending []byte }

// Add appends the next bytes of the stream and calls fn for each event that they
// complete. It stops at the first error and returns it. The byte slices of an
// event are valid only during the call of fn.
func (s *Splitter) Add(p []byte, fn func(Event) error) error {
	s.pending = append(s.pending, p...)
	start := 0
	for {
		n := eventLen(s.pending[start:])
		if n < 0 {
			break
		}
		if err := fn(parseEvent(s.pending[start : start+n])); err != nil {
			return err
		}
		start += n
	}
	s.pending = append(s.pending[:0], s.pending[start:]...)
	if len(s.pending) > maxEventBytes {
		return ErrTooLong
	}
	return nil
}

// Pending returns the bytes received after the last complete event.
func (s *Splitter) Pending() []byte { return s.pending }

// eventLen returns the length of the first event in p, including the empty line
// that ends it, or -1 if p holds no complete event.
func eventLen(p []byte) int {
	for at := 0; ; {
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
