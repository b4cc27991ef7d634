package infratest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
)

// FaultPlan says how a service misbehaves.
type FaultPlan struct {
	// Down refuses every call; nothing takes effect.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the share of writes, 0 to 1, that take effect and whose
	// answer is lost.
	LoseAnswers float64 `json:"lose_answers"`
	// RefuseWrites is the share of writes, 0 to 1, that are refused.
	RefuseWrites float64 `json:"refuse_writes"`
}

// Faults applies a FaultPlan with a seeded random source. The zero value has
// no faults and must be given a seed by Seed before probabilities are used.
type Faults struct {
	mu   sync.Mutex
	plan FaultPlan
	rnd  *rand.Rand
}

// Seed sets the random source.
func (f *Faults) Seed(seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rnd = rand.New(rand.NewPCG(seed, seed))
}

// SetFaultPlan replaces the plan.
func (f *Faults) SetFaultPlan(plan FaultPlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = plan
}

// Plan returns the plan in force.
func (f *Faults) Plan() FaultPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan
}

func (f *Faults) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	if f.rnd == nil {
		f.rnd = rand.New(rand.NewPCG(1, 1))
	}
	return f.rnd.Float64() < share
}

// before delays a call and refuses it if the plan says so.
func (f *Faults) before(ctx context.Context, write bool) error {
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

// after reports ErrUnknown if the answer of a write that took effect is lost.
func (f *Faults) after() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.chance(f.plan.LoseAnswers) {
		return infra.ErrOutcomeUnknown
	}
	return nil
}
