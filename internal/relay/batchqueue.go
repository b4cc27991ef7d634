package relay

import (
	"context"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
)

// Bounds of the interval at which a node asks for a free slot for the batch
// work of one deployment. Idle capacity lasts only seconds, so the upper bound
// is well below one.
const (
	batchPollMin = 10 * time.Millisecond
	batchPollMax = 250 * time.Millisecond
)

// batchQueue lets the batch work of each deployment wait for slots. Only the
// first in line asks; otherwise the messages to the owners would grow with the
// number of waiting items. The zero value is ready for use.
type batchQueue struct {
	lines sync.Map // core.DeploymentID to chan struct{} with room for one
}

func (q *batchQueue) acquire(ctx context.Context, id core.DeploymentID, try func() (dispatch.Slot, *core.Refusal)) (dispatch.Slot, *core.Refusal) {
	line := q.line(id)
	select {
	case line <- struct{}{}:
		defer func() { <-line }()
	case <-ctx.Done():
		return nil, core.Refuse(core.CodeCancelled, "cancelled while waiting for a slot")
	}
	for wait := batchPollMin; ; wait = min(2*wait, batchPollMax) {
		slot, refusal := try()
		if refusal == nil || !worthWaiting(refusal) {
			return slot, refusal
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, refusal
		}
	}
}

func (q *batchQueue) line(id core.DeploymentID) chan struct{} {
	if line, ok := q.lines.Load(id); ok {
		return line.(chan struct{})
	}
	line, _ := q.lines.LoadOrStore(id, make(chan struct{}, 1))
	return line.(chan struct{})
}

// worthWaiting reports whether batch work waits rather than fails.
func worthWaiting(refusal *core.Refusal) bool {
	return refusal.Code == core.CodeOverloaded || refusal.Code == core.CodeNoBackend
}
