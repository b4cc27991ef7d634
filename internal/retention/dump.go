package retention

import "time"

// SweepDump is the state of the sweep of one prefix at this node.
type SweepDump struct {
	Prefix string `json:"prefix"`
	Owned  bool   `json:"owned"`
	// Cursor is the key of the last row that a running sweep has processed.
	Cursor string    `json:"cursor,omitempty"`
	Began  time.Time `json:"began,omitzero"`
	Ended  time.Time `json:"last_ended,omitzero"`
	Error  string    `json:"last_error,omitempty"`
	Counts Counts    `json:"counts"`
}

// Dump returns a []SweepDump with one entry for each prefix.
func (s *Service) Dump() any {
	var out []SweepDump
	for _, sw := range s.sweepers {
		out = append(out, sw.dump())
	}
	return out
}

func (s *sweeper) dump() SweepDump {
	owned := s.owned()
	s.mu.Lock()
	defer s.mu.Unlock()
	return SweepDump{
		Prefix: s.prefix, Owned: owned, Cursor: s.cursor, Began: s.startedAt.UTC(), Ended: s.endedAt,
		Error: s.lastError, Counts: s.counts.read(),
	}
}
