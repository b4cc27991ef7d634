package intake

import (
	"fmt"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/records"
)

// maxURLs bounds the distinct URLs of a file, all of which the manifest lists.
const maxURLs = 16

// splitter validates lines and groups them into parts. It holds one part in memory.
type splitter struct {
	cfg      batch.Config
	checkURL func(method, url string) string

	part      []byte
	partItems int
	customIDs map[string]int // custom id to line number, for the current part

	lines int
	items int
	parts int
	urls  []records.URLUse
}

// addLine adds a line without its line feed. If the line starts a new part, it
// returns the previous part.
func (s *splitter) addLine(data []byte) ([]byte, error) {
	s.lines++
	line, err := ParseLine(data)
	if err == nil {
		err = s.recordURL(line)
	}
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", s.lines, err)
	}
	var done []byte
	if s.partItems >= s.maxItems() || (s.partItems > 0 && len(s.part)+len(data)+1 > s.cfg.MaxRangeBytes) {
		done = s.endPart()
	}
	if first, ok := s.customIDs[line.CustomID]; ok {
		return nil, fmt.Errorf("line %d: custom_id %q was used in line %d", s.lines, line.CustomID, first)
	}
	if s.customIDs == nil {
		s.customIDs = make(map[string]int)
	}
	s.customIDs[line.CustomID] = s.lines
	s.part = append(append(s.part, data...), '\n')
	s.partItems++
	s.items++
	return done, nil
}

func (s *splitter) recordURL(line Line) error {
	for _, u := range s.urls {
		if u.URL == line.URL {
			return nil
		}
	}
	if s.checkURL != nil {
		if reason := s.checkURL(line.Method, line.URL); reason != "" {
			return fmt.Errorf("url %q: %s", line.URL, reason)
		}
	}
	if len(s.urls) == maxURLs {
		return fmt.Errorf("url %q: a file has at most %d different urls", line.URL, maxURLs)
	}
	s.urls = append(s.urls, records.URLUse{URL: line.URL, Line: s.lines})
	return nil
}

// maxItems returns the maximum number of items of the current part.
func (s *splitter) maxItems() int {
	return s.cfg.RangeSizes[min(s.parts, len(s.cfg.RangeSizes)-1)]
}

// endPart ends the current part and returns it, or nil if it has no items.
func (s *splitter) endPart() []byte {
	if s.partItems == 0 {
		return nil
	}
	part := s.part
	s.part, s.partItems, s.customIDs = nil, 0, nil
	s.parts++
	return part
}
