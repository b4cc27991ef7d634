package platformnode

import (
	"time"

	"gentiantide.example/gentiantide/internal/httpapi/operators"
	"gentiantide.example/gentiantide/internal/quarantine"
)

// operatorsQuarantine shows the quarantine to operators.
type operatorsQuarantine struct{ service *quarantine.Service }

// List implements operators.Quarantine.
func (q operatorsQuarantine) List() []operators.QuarantinedPart {
	now := time.Now()
	out := []operators.QuarantinedPart{}
	for _, e := range q.service.Entries() {
		state := "quarantined"
		switch {
		case e.Lifted:
			state = "lifted"
		case now.After(e.Until):
			state = "trial due"
		}
		out = append(out, operators.QuarantinedPart{
			Part: string(e.Part), State: state, Round: e.Round, Crashes: e.Crashes, RemainingMS: e.Until.Sub(now).Milliseconds(), By: string(e.By),
		})
	}
	return out
}

// Lift implements operators.Quarantine.
func (q operatorsQuarantine) Lift(part string) bool { return q.service.Lift(quarantine.Part(part)) }
