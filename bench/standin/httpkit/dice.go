package httpkit

import (
	"math/rand/v2"
	"sync"
)

// Dice is a seeded random source for several goroutines.
type Dice struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// NewDice returns a source that is determined by the seed.
func NewDice(seed uint64) *Dice {
	return &Dice{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Hit returns true with the probability s. Probability 0 draws no number.
func (d *Dice) Hit(s Share) bool {
	if s <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rnd.Float64() < float64(s)
}
