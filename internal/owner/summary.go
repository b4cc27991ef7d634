package owner

import (
	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
)

// Summary stands for a list of reservations in a few bytes. Equal lists have
// equal summaries, in whatever order they are added.
type Summary struct {
	Count int    `msgpack:"c"`
	Hash  uint64 `msgpack:"h"`
}

// waitingMark changes the hash of a reservation that waits.
const waitingMark = 0x9E3779B97F4A7C15

// Add adds one reservation.
func (s *Summary) Add(id core.ReservationID, waiting bool) {
	h := xxhash.Sum64String(string(id))
	if waiting {
		h ^= waitingMark
	}
	s.Count++
	s.Hash += h
}

// summarise adds the reservations of a holder. A preempted one that its holder
// has not released is left out, so that the summaries differ and the full list
// follows: its answer repeats the preemption, which may have been lost.
func (l *Ledger) summarise(holder core.NodeID, sum *Summary) {
	for _, entry := range l.ofHolder(holder) {
		if entry.status != statusDraining {
			sum.Add(entry.ID, entry.status == statusWaiting)
		}
	}
}

// confirm ends the count of lists in which a holder's reservations are missing.
func (l *Ledger) confirm(holder core.NodeID) {
	for _, entry := range l.ofHolder(holder) {
		entry.missed = 0
	}
}

// Agrees reports whether a summary of all of a holder's reservations with this
// node is that of the ledgers. If it is, the holder need not send the list.
func (s *Service) Agrees(holder core.NodeID, theirs Summary) bool {
	var ours Summary
	replicas := s.replicas()
	for _, replica := range replicas {
		if g := s.find(replica); g != nil {
			g.mu.Lock()
			g.ledger.summarise(holder, &ours)
			g.mu.Unlock()
		}
	}
	if ours != theirs {
		return false
	}
	for _, replica := range replicas {
		if g := s.find(replica); g != nil {
			g.mu.Lock()
			g.ledger.confirm(holder)
			g.mu.Unlock()
		}
	}
	return true
}
