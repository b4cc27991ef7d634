package objects

import (
	"time"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// Fault is the fault plan, the body of POST /fault.
type Fault struct {
	// Down rejects every call with 503.
	Down bool `json:"down,omitempty"`
	// Delay is added to every call. A delayed write takes effect even if the
	// caller closes the connection meanwhile.
	Delay httpkit.Duration `json:"delay,omitempty"`
	// LoseResponses is the probability that a write takes effect and its
	// connection is then closed without a response.
	LoseResponses httpkit.Probability `json:"lose_answers,omitempty"`
	// RefuseWrites is the probability that a write is rejected with 503.
	RefuseWrites httpkit.Probability `json:"refuse_writes,omitempty"`
	// DropBefore is the probability that a call's connection is closed without
	// a response and without an effect.
	DropBefore httpkit.Probability `json:"drop_before,omitempty"`
}

func (f Fault) faultPlan() infratest.FaultPlan {
	return infratest.FaultPlan{
		Down:          f.Down,
		Delay:         time.Duration(f.Delay),
		LoseResponses: float64(f.LoseResponses),
		RefuseWrites:  float64(f.RefuseWrites),
	}
}
