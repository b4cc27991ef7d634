package orders

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// Report is the last load report of an engine.
type Report struct {
	Load backend.Load
	// Received is when the report arrived, on the clock of this node; zero if
	// there is none. The engine's own clock is not compared with ours.
	Received time.Time
}

// shows reports whether the report includes what the engine did before at.
func (r Report) shows(at time.Time, lag time.Duration) bool {
	return !r.Received.Before(at.Add(lag))
}

func (r Report) lists(m modelName) bool {
	return slices.ContainsFunc(r.Load.Models, func(entry string) bool { return parseModel(entry) == m })
}
