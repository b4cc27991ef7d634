package events

import (
	"bytes"
	"errors"
)

// maxEvent bounds one event. The largest text of an event is a few hundred
// bytes; a stream without boundaries must not fill the memory.
const maxEvent = 1 << 20

// ErrTooLong is returned for a stream without event boundaries.
var ErrTooLong = errors.New("event exceeds the limit")

// Splitter cuts a byte stream into events.
type Splitter struct{ rest []byte }

// Add takes the next bytes and calls f for each event that is now complete. It
// stops at the first error. An event's bytes are valid during the call only.
func (s *Splitter) Add(p []byte, f func(Event) error) error {
	s.rest = append(s.rest, p...)
	start := 0
	for {
		n := boundary(s.rest[start:])
		if n < 0 {
			break
		}
		if err := f(parse(s.rest[start : start+n])); err != nil {
			return err
		}
		start += n
	}
	s.rest = append(s.rest[:0], s.rest[start:]...)
	if len(s.rest) > maxEvent {
		return ErrTooLong
	}
	return nil
}

// Rest returns the bytes after the last complete event.
func (s *Splitter) Rest() []byte { return s.rest }

// boundary returns the length of the first event, or -1.
func boundary(p []byte) int {
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
