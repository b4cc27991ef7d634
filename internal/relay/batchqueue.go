package relay

import (
	"context"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
)

// Bounds of the pause after a refused request for a slot. Idle capacity lasts
// only seconds, so the upper bound is well below one.
const (
	batchPauseMin = 10 * time.Millisecond
	batchPauseMax = 250 * time.Millisecond
)

const (
	// batchWaiters is the number of items of a deployment that wait with the
	// owners at the same time. A waiter gets a slot as soon as it is idle; with
	// one at a time, slots of other replicas stay idle meanwhile. More would
	// add messages to the owners and nothing else.
	batchWaiters = 8
	// batchWait is how long an item waits at one replica before it is placed
	// anew, since another may have become idle meanwhile.
	batchWait = 1 * time.Second
)

// batchQueue lets the batch work of each deployment wait for slots. Only the
// first in line ask; otherwise the messages to the owners would grow with the
// number of waiting items. The zero value is ready for use.
type batchQueue struct {
	lines sync.Map // core.DeploymentID to *batchLine
}

// batchLine is the waiting line of one deployment.
type batchLine struct {
	waiters chan struct{} // room for batchWaiters
	// retry has room for the one waiter that asks again while the owners
	// refuse, so that full queues are not asked by all waiters.
	retry chan struct{}
}

func (q *batchQueue) acquire(ctx context.Context, id core.DeploymentID, try func() (dispatch.Slot, *core.Refusal)) (dispatch.Slot, *core.Refusal) {
	line := q.line(id)
	if !enter(ctx, line.waiters) {
		return nil, cancelledInLine()
	}
	defer func() { <-line.waiters }()
	slot, refusal := try()
	if refusal == nil || !worthWaiting(refusal) {
		return slot, refusal
	}
	if !enter(ctx, line.retry) {
		return nil, cancelledInLine()
	}
	defer func() { <-line.retry }()
	return retryWithPauses(ctx, try, refusal)
}

// retryWithPauses asks until it gets a slot, a refusal that waiting does not
// help, or the context ends.
func retryWithPauses(ctx context.Context, try func() (dispatch.Slot, *core.Refusal), refusal *core.Refusal) (dispatch.Slot, *core.Refusal) {
	for pause := batchPauseMin; ; pause = min(2*pause, batchPauseMax) {
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, refusal
		}
		var slot dispatch.Slot
		if slot, refusal = try(); refusal == nil || !worthWaiting(refusal) {
			return slot, refusal
		}
	}
}

// enter takes a place, or returns false if the context ends first.
func enter(ctx context.Context, places chan struct{}) bool {
	select {
	case places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func cancelledInLine() *core.Refusal {
	return core.Refuse(core.CodeCancelled, "cancelled while waiting for a slot")
}

func (q *batchQueue) line(id core.DeploymentID) *batchLine {
	if line, ok := q.lines.Load(id); ok {
		return line.(*batchLine)
	}
	line, _ := q.lines.LoadOrStore(id, &batchLine{
		waiters: make(chan struct{}, batchWaiters), retry: make(chan struct{}, 1),
	})
	return line.(*batchLine)
}

// worthWaiting reports whether batch work waits rather than fails.
func worthWaiting(refusal *core.Refusal) bool {
	return refusal.Code == core.CodeOverloaded || refusal.Code == core.CodeNoBackend
}
