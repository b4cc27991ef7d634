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

type remembered struct {
	version core.SoftwareVersion
	at      time.Time
	until   time.Time
}

func newMemory() *memory { return &memory{streams: make(map[streamKey]remembered)} }

// put remembers the version of a stream until a time.
func (m *memory) put(key streamKey, version core.SoftwareVersion, now, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.streams[key]; known || len(m.streams) < maxRemembered {
		m.streams[key] = remembered{version: version, at: now, until: until}
	}
}

// get returns the version of a stream and how long ago it was remembered.
func (m *memory) get(key streamKey, now time.Time) (version core.SoftwareVersion, age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.streams[key]
	if !ok || now.After(r.until) {
		return "", 0, false
	}
	return r.version, now.Sub(r.at), true
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
