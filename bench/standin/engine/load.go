package engine

import (
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// recordLoad adds the current load to the load log after a change. The caller
// holds the lock.
func (e *Engine) recordLoad() {
	models := make([]string, len(e.models))
	for i, m := range e.models {
		models[i] = m.String()
	}
	e.load.add(LoadReport{
		Load: backend.Load{
			At:            time.Now(),
			Running:       len(e.running),
			Waiting:       len(e.waiting),
			Slots:         e.params.Slots,
			KVUsed:        float64(e.kvUsed) / float64(max(e.params.KVTokens, 1)),
			Models:        models,
			Role:          e.role,
			FencingNumber: e.fencingNumber,
			Leaving:       e.fault.Leaving,
		},
		StepSeconds: e.lastStep.Seconds(),
	})
}

// Report returns the load report that callers see, which is older by the lag.
func (e *Engine) Report() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.visible(time.Now())
}

// Events returns at most limit published cache events with a sequence number
// above after.
func (e *Engine) Events(after uint64, limit int) []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events.after(time.Now(), after, limit)
}
