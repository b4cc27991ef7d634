package engine

import (
	"sort"
	"time"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
)

// maxEvents bounds the events kept for readers.
const maxEvents = 10_000

// EventKind says what happened to a block of the prefix cache.
type EventKind string

// The kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// Event is one change of the prefix cache. A reader sees from a gap in Seq
// that it missed events.
type Event struct {
	Seq   uint64    `json:"seq"`
	At    time.Time `json:"at"`
	Kind  EventKind `json:"kind"`
	Block uint64    `json:"block,string"`
}

// eventLog keeps the latest events.
type eventLog struct {
	lag    time.Duration
	loss   httpkit.Share
	dice   *httpkit.Dice
	seq    uint64
	events []Event
}

func (l *eventLog) add(now time.Time, kind EventKind, block uint64) {
	l.seq++
	if l.dice.Hit(l.loss) {
		return
	}
	if len(l.events) >= maxEvents {
		l.events = append(l.events[:0], l.events[maxEvents/2:]...)
	}
	l.events = append(l.events, Event{Seq: l.seq, At: now, Kind: kind, Block: block})
}

// after returns at most limit events with a higher number than seq that are
// old enough to be published.
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
