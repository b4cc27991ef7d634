package engine

import (
	"sort"
	"time"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
)

// maxEvents is the maximum number of events kept for readers.
const maxEvents = 10_000

// EventKind is the kind of change to a block of the prefix cache.
type EventKind string

// The kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// Event is one change of the prefix cache. A gap in Seq tells a reader that it
// missed events.
type Event struct {
	Seq   uint64    `json:"seq"`
	At    time.Time `json:"at"`
	Kind  EventKind `json:"kind"`
	Block uint64    `json:"block,string"`
}

// eventLog keeps the latest events. It publishes an event after the lag, and
// drops a share of the events.
type eventLog struct {
	lag    time.Duration
	loss   httpkit.Probability
	rnd    *httpkit.SeededRand
	seq    uint64
	events []Event
}

func (l *eventLog) add(now time.Time, kind EventKind, block uint64) {
	l.seq++
	if l.rnd.Chance(l.loss) {
		return
	}
	if len(l.events) >= maxEvents {
		l.events = append(l.events[:0], l.events[maxEvents/2:]...)
	}
	l.events = append(l.events, Event{Seq: l.seq, At: now, Kind: kind, Block: block})
}

// after returns at most limit published events with a sequence number above seq.
func (l *eventLog) after(now time.Time, seq uint64, limit int) []Event {
	start := sort.Search(len(l.events), func(i int) bool { return l.events[i].Seq > seq })
	out := []Event{}
	for _, event := range l.events[start:] {
		if len(out) == limit || now.Sub(event.At) < l.lag {
			break
		}
		out = append(out, event)
	}
	return out
}
