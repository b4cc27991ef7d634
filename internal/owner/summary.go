package owner

import (
	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
)

// Summary is a digest of a set of reservations. Equal sets have equal
// summaries, regardless of the order in which reservations are added.
type Summary struct {
	Count int    `msgpack:"c"`
	Hash  uint64 `msgpack:"h"`
}

// waitingHashMask is XORed into the hash of a waiting reservation, so that a
// change from waiting to held changes the summary.
const waitingHashMask = 0x9E3779B97F4A7C15

// Add adds a reservation to the summary.
func (s *Summary) Add(id core.ReservationID, waiting bool) {
	h := xxhash.Sum64String(string(id))
	if waiting {
		h ^= waitingHashMask
	}
	s.Count++
	s.Hash += h
}

// summarise adds the reservations of a holder to sum. It omits preempted
// reservations, so that the summaries differ and the holder sends its full list:
// Sync then repeats the preemption event, which may have been lost.
func (l *Ledger) summarise(holder core.NodeID, sum *Summary) {
	for _, entry := range l.reservationsOf(holder) {
		if entry.status != statusDraining {
			sum.Add(entry.ID, entry.status == statusWaiting)
		}
	}
}

// resetMissedLists resets the count of missed lists of a holder's reservations,
// because a matching summary replaces a list that contains them all.
func (l *Ledger) resetMissedLists(holder core.NodeID) {
	for _, entry := range l.reservationsOf(holder) {
		entry.missedLists = 0
	}
}

// MatchesSummary reports whether the ledgers have the same reservations of a
// holder as its summary. If so, the holder need not send the list.
func (s *Service) MatchesSummary(holder core.NodeID, holderSummary Summary) bool {
	var ownerSummary Summary
	replicas := s.replicasWithLedger()
	for _, replica := range replicas {
		if l := s.existingLedger(replica); l != nil {
			l.mu.Lock()
			l.ledger.summarise(holder, &ownerSummary)
			l.mu.Unlock()
		}
	}
	if ownerSummary != holderSummary {
		return false
	}
	for _, replica := range replicas {
		if l := s.existingLedger(replica); l != nil {
			l.mu.Lock()
			l.ledger.resetMissedLists(holder)
			l.mu.Unlock()
		}
	}
	return true
}
