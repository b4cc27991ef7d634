package owner

import "gentiantide.example/gentiantide/internal/core"

// shares is start-time fair queueing between organisations. Times are seconds
// of service divided by weight.
type shares struct {
	clock float64
	times map[core.Org]float64
}

// of returns the virtual time at which the organisation's next work starts. An
// organisation that was idle starts at the present, so it saves up nothing.
func (s *shares) of(org core.Org) float64 { return max(s.clock, s.times[org]) }

// charge accounts for granted work. floor is the smallest virtual time of the
// organisations that compete for the slot.
func (s *shares) charge(org core.Org, cost float64, weight int, floor float64) {
	start := s.of(org)
	s.clock = max(s.clock, min(start, floor))
	s.times[org] = start + cost/float64(max(1, weight))
}

// prune forgets organisations that are behind the present.
func (s *shares) prune() {
	for org, t := range s.times {
		if t <= s.clock {
			delete(s.times, org)
		}
	}
}
