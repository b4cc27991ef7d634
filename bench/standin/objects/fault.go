package objects

import (
	"time"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// Fault is what POST /fault commands.
type Fault struct {
	// Down refuses every call with 503.
	Down bool `json:"down,omitempty"`
	// Delay is added to every call. A delayed write takes effect even if the
	// caller has left meanwhile.
	Delay httpkit.Duration `json:"delay,omitempty"`
	// LoseAnswers is the share of writes that take effect and whose connection
	// is then closed without an answer.
	LoseAnswers httpkit.Share `json:"lose_answers,omitempty"`
	// RefuseWrites is the share of writes that are refused with 503.
	RefuseWrites httpkit.Share `json:"refuse_writes,omitempty"`
	// DropBefore is the share of calls whose connection is closed without an
	// answer and without an effect.
	DropBefore httpkit.Share `json:"drop_before,omitempty"`
}

func (f Fault) plan() infratest.FaultPlan {
	return infratest.FaultPlan{
		Down:         f.Down,
		Delay:        time.Duration(f.Delay),
		LoseAnswers:  float64(f.LoseAnswers),
		RefuseWrites: float64(f.RefuseWrites),
	}
}
