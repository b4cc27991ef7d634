package quarantine

import (
	"sync"
	"time"
)

// maxProofs bounds the parts in one of the two generations of proofs.
const maxProofs = 4096

// proofs records for each part when the latest run with it began that proved
// harmless. It keeps the most recently proved parts in bounded memory.
type proofs struct {
	mu              sync.Mutex
	current, former map[Part]time.Time
	latest          time.Time
}

func newProofs() *proofs { return &proofs{current: make(map[Part]time.Time)} }

// add records that a run with the parts began at a time and proved harmless.
func (p *proofs) add(parts []Part, began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.current) >= maxProofs {
		p.former, p.current = p.current, make(map[Part]time.Time)
	}
	for _, part := range parts {
		if began.After(p.current[part]) {
			p.current[part] = began
		}
	}
	if began.After(p.latest) {
		p.latest = began
	}
}

// get returns when the latest harmless run with a part began, or the zero time.
func (p *proofs) get(part Part) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.current[part]; ok {
		return at
	}
	return p.former[part]
}

// any returns when the latest harmless run with any part began, or the zero time.
func (p *proofs) any() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest
}
