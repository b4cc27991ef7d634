package orders

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// Report is the last load report of an engine.
type Report struct {
	Load backend.Load
	// Received is when the report arrived, by the clock of this node; zero if
	// there is none. The engine's clock is not compared with this node's.
	Received time.Time
}

// reflects reports whether the report includes everything that the engine did
// before at, given the largest lag of a report.
func (r Report) reflects(at time.Time, lag time.Duration) bool {
	return !r.Received.Before(at.Add(lag))
}

func (r Report) listsModel(m modelName) bool {
	return slices.ContainsFunc(r.Load.Models, func(entry string) bool { return parseModel(entry) == m })
}
