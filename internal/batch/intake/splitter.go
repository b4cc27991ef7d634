package intake

import (
	"fmt"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/records"
)

// maxURLs bounds the distinct URLs of a file, which the manifest lists.
const maxURLs = 16

// splitter checks lines and cuts them into parts. It holds one part.
type splitter struct {
	cfg      batch.Config
	checkURL func(method, url string) string

	part  []byte
	count int
	ids   map[string]int // custom id to line, of the current part

	lines int
	items int
	parts int
	urls  []records.URLUse
}

// add takes one line without its line feed. It returns the part before the
// line if the line begins a new one.
func (s *splitter) add(data []byte) ([]byte, error) {
	s.lines++
	line, err := ParseLine(data)
	if err == nil {
		err = s.accept(line)
	}
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", s.lines, err)
	}
	var done []byte
	if s.count >= s.size() || (s.count > 0 && len(s.part)+len(data)+1 > s.cfg.RangeBytes) {
		done = s.cut()
	}
	if first, ok := s.ids[line.CustomID]; ok {
		return nil, fmt.Errorf("line %d: custom_id %q was used in line %d", s.lines, line.CustomID, first)
	}
	if s.ids == nil {
		s.ids = make(map[string]int)
	}
	s.ids[line.CustomID] = s.lines
	s.part = append(append(s.part, data...), '\n')
	s.count++
	s.items++
	return done, nil
}

func (s *splitter) accept(line Line) error {
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

// size returns the number of items of the current part.
func (s *splitter) size() int {
	return s.cfg.RangeSizes[min(s.parts, len(s.cfg.RangeSizes)-1)]
}

// cut ends the current part, if it has any items.
func (s *splitter) cut() []byte {
	if s.count == 0 {
		return nil
	}
	part := s.part
	s.part, s.count, s.ids = nil, 0, nil
	s.parts++
	return part
}
