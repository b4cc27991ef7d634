package quota

import "time"

// slots counts what happened in a sliding window, in slots of slotTime.
type slots struct {
	counts []float64
	sum    float64
	newest int64 // number of the newest slot
}

// newSlots returns an empty count that covers at least the duration.
func newSlots(covers time.Duration) slots {
	return slots{counts: make([]float64, int(covers/slotTime)+1)}
}

// advance moves the window to a slot. A slot before the newest is ignored.
func (s *slots) advance(slot int64) {
	size := int64(len(s.counts))
	if slot-s.newest >= size {
		s.clear()
		s.newest = slot
		return
	}
	for s.newest < slot {
		s.newest++
		i := s.newest % size
		s.sum -= s.counts[i]
		s.counts[i] = 0
	}
}

// add counts n in a slot. It returns false if the slot is not in the window.
func (s *slots) add(slot int64, n float64) bool {
	size := int64(len(s.counts))
	if slot < 0 || slot > s.newest || s.newest-slot >= size {
		return false
	}
	s.counts[slot%size] += n
	s.sum += n
	return true
}

// remove takes up to n from the slots that begin with one, and from the oldest of them
// first.
func (s *slots) remove(slot int64, n float64) {
	size := int64(len(s.counts))
	for slot = max(0, slot, s.newest-size+1); slot <= s.newest && n > 0; slot++ {
		if taken := min(n, s.counts[slot%size]); taken > 0 {
			s.counts[slot%size] -= taken
			s.sum -= taken
			n -= taken
		}
	}
}

func (s *slots) clear() {
	clear(s.counts)
	s.sum = 0
}
