package streamversion

import (
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// maxRemembered bounds the streams that a node remembers, to about 1 MB. A stream that
// is not remembered is looked up.
const maxRemembered = 8192

// memory holds the versions of the streams that this node began or looked up.
type memory struct {
	mu      sync.Mutex
	streams map[streamKey]remembered
}

// remembered is one stream: its version, unless that is unknown, when it began, and when
// no caller takes it up any more.
type remembered struct {
	version core.SoftwareVersion
	unknown bool
	at      time.Time
	until   time.Time
}

func newMemory() *memory { return &memory{streams: make(map[streamKey]remembered)} }

// put remembers a stream.
func (m *memory) put(key streamKey, r remembered) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.streams[key]; known || len(m.streams) < maxRemembered {
		m.streams[key] = r
	}
}

// get returns a stream, if it is remembered.
func (m *memory) get(key streamKey, now time.Time) (remembered, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.streams[key]
	return r, ok && !now.After(r.until)
}

// expire removes streams that no caller takes up any more.
func (m *memory) expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, r := range m.streams {
		if now.After(r.until) {
			delete(m.streams, key)
		}
	}
}

func (m *memory) len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.streams)
}
