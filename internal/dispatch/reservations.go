package dispatch

import (
	"sort"
	"sync"

	"gentiantide.example/gentiantide/internal/core"
)

// reservations is the set of this node's live reservations.
type reservations struct {
	mu   sync.Mutex
	byID map[core.ReservationID]*reservation
}

func (s *reservations) add(r *reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[r.id] = r
}

func (s *reservations) remove(id core.ReservationID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

func (s *reservations) get(id core.ReservationID) *reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// all returns the reservations sorted by ID.
func (s *reservations) all() []*reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*reservation, 0, len(s.byID))
	for _, r := range s.byID {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}
