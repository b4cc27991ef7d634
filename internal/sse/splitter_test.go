package sse

import (
	"bytes"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "gentiantide.example/gentiantide/internal/fixedseed"
)

// split passes the pieces to a splitter and returns the raw events and the rest.
func split(pieces ...[]byte) (events []string, rest string, err error) {
	var s Splitter
	for _, p := range pieces {
		if err = s.Add(p, func(e Event) error { events = append(events, string(e.Raw)); return nil }); err != nil {
			break
		}
	}
	return events, string(s.Pending()), err
}

// Guards against events that are missed, joined or split in another place when
// their bytes arrive in other pieces.
func TestEventsDoNotDependOnPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		stream := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"\n", "\r\n", "\n\n", "id: 1", "data: x", ":", "\r"}), 0, 40).Draw(t, "stream"), ""))
		want, wantRest, err := split(stream)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(strings.Join(want, "") + wantRest).To(gomega.Equal(string(stream)))
		var pieces [][]byte
		for rest := stream; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		got, gotRest, err := split(pieces...)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		// A piece may end between the two line ends of an event of which the second
		// is "\r\n"; the events are the same.
		g.Expect(got).To(gomega.Equal(want))
		g.Expect(gotRest).To(gomega.Equal(wantRest))
	})
}

// Guards against an event without end that uses up the memory, and against a bound
// that cuts a large one.
func TestEventLength(t *testing.T) {
	g := gomega.NewWithT(t)
	large := []byte("data: " + strings.Repeat("x", maxEventBytes-100) + "\n\n")
	var pieces [][]byte
	for i := range large {
		pieces = append(pieces, large[i:i+1])
	}
	events, _, err := split(pieces...)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(events).To(gomega.HaveLen(1))
	_, rest, err := split(bytes.Repeat([]byte(": x\n"), maxEventBytes))
	g.Expect(err).To(gomega.MatchError(ErrTooLong))
	g.Expect(len(rest)).To(gomega.BeNumerically(">", maxEventBytes))
}

// Guards against comments that count as progress of a stream, and events that do
// not.
func TestIsComment(t *testing.T) {
	g := gomega.NewWithT(t)
	for raw, comment := range map[string]bool{
		": ping\n\n": true, "\n\n": true, "retry: 5\n\n": true, "id: x\n\n": true,
		"data: \n\n": false, "data\n\n": false, "id: 7\n\n": false, ": note\ndata: x\n\n": false,
	} {
		e := parseEvent([]byte(raw))
		g.Expect(e.IsComment()).To(gomega.Equal(comment), "%q", raw)
	}
}

// Guards against bytes of something else that pass for an event, and against a check that
// refuses events of the specification.
func TestIsForeign(t *testing.T) {
	g := gomega.NewWithT(t)
	for raw, foreign := range map[string]bool{
		"id: 1\ndata: x\n\n": false, "id\ndata\nevent\nretry\n\n": false, ": any \x00 text/\n\n": false, "\n\n": false, "\r\n": false,
		"event: a\r\nretry: 5\r\nid:7\r\ndata:\r\n\r\n": false, "x-version: 3\ndata: a: b / c\n\n": false, "\xef\xbb\xbfid: 1\n\n": false,
		"data: \x00\x01\n\n": false, "garbage\n\n": true, "data x\n\n": true, "da ta: x\n\n": true, "da\x01ta: x\n\n": true, "a/b: x\n\n": true,
		"da\x7fta: x\n\n": true, "data: x\rid: 2\n\n": true, ": x\rid: 2\n\n": true, "\rdata: x\n\n": true,
	} {
		e := parseEvent([]byte(raw))
		g.Expect(e.Foreign).To(gomega.Equal(foreign), "%q", raw)
	}
}
