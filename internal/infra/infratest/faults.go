package infratest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
)

// FaultPlan configures the faults that a service injects.
type FaultPlan struct {
	// Down makes every call fail with ErrUnavailable and without effect.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseResponses is the probability, 0 to 1, that a write takes effect but its
	// response is lost (ErrOutcomeUnknown).
	LoseResponses float64 `json:"lose_answers"`
	// RefuseWrites is the probability, 0 to 1, that a write fails with
	// ErrUnavailable and without effect.
	RefuseWrites float64 `json:"refuse_writes"`
}

// Faults injects the faults of a FaultPlan, with a seeded random source. The zero
// value injects no faults. Without a call of Seed the seed is 1.
type Faults struct {
	mu   sync.Mutex
	plan FaultPlan
	rnd  *rand.Rand
}

// Seed restarts the random source with a seed.
func (f *Faults) Seed(seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rnd = rand.New(rand.NewPCG(seed, seed))
}

// SetFaultPlan replaces the fault plan.
func (f *Faults) SetFaultPlan(plan FaultPlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = plan
}

// Plan returns the current fault plan.
func (f *Faults) Plan() FaultPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan
}

// chance returns true with the given probability. The caller holds the lock.
func (f *Faults) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	if f.rnd == nil {
		f.rnd = rand.New(rand.NewPCG(1, 1))
	}
	return f.rnd.Float64() < probability
}

// beforeCall injects the faults that come before a call takes effect: it delays
// the call, and returns ErrUnavailable if the call is refused.
func (f *Faults) beforeCall(ctx context.Context, write bool) error {
	f.mu.Lock()
	plan := f.plan
	refuse := plan.Down || (write && f.chance(plan.RefuseWrites))
	f.mu.Unlock()
	if plan.Delay > 0 {
		timer := time.NewTimer(plan.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return infra.ErrUnavailable
		}
	}
	if refuse || ctx.Err() != nil {
		return infra.ErrUnavailable
	}
	return nil
}

// afterWrite returns ErrOutcomeUnknown if the response to a write that took effect
// is lost.
func (f *Faults) afterWrite() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.chance(f.plan.LoseResponses) {
		return infra.ErrOutcomeUnknown
	}
	return nil
}
