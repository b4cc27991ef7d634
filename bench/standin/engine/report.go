package engine

import (
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// noteLoad records the present load; called with the lock held after changes.
func (e *Engine) noteLoad() {
	models := make([]string, len(e.models))
	for i, m := range e.models {
		models[i] = m.String()
	}
	e.load.note(Report{
		Load: backend.Load{
			At:            time.Now(),
			Running:       len(e.running),
			Waiting:       len(e.waiting),
			Slots:         e.params.Slots,
			KVUsed:        float64(e.kvUsed) / float64(max(e.params.KVTokens, 1)),
			Models:        models,
			Role:          e.role,
			FencingNumber: e.fencing,
			Leaving:       e.fault.Leaving,
		},
		StepSeconds: e.lastStep.Seconds(),
	})
}

// Report returns the load report, which is as old as the lag.
func (e *Engine) Report() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.visible(time.Now())
}

// Events returns at most limit published cache events after a number.
func (e *Engine) Events(after uint64, limit int) []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events.after(time.Now(), after, limit)
}
