package relay

import (
	"context"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
)

// Limits of the backoff after no slot was granted. Capacity stays idle for only a
// few seconds, so the maximum is well below one second.
const (
	batchRetryDelayMin = 10 * time.Millisecond
	batchRetryDelayMax = 250 * time.Millisecond
)

const (
	// maxBatchWaiters is how many requests of a deployment may ask the replicas'
	// owners for a slot at the same time. With a single one, slots of other
	// replicas would stay idle while it waits for one replica. A higher number
	// would only add messages to the owners.
	maxBatchWaiters = 8
	// batchReplicaWait is how long a request waits for a slot of one replica before
	// a replica is chosen again, since another one may have become idle.
	batchReplicaWait = 1 * time.Second
)

// batchQueues queues the batch requests of each deployment that need a slot. At
// most maxBatchWaiters of them ask the replicas' owners, so that the number of
// messages does not grow with the queue. The zero value is ready for use.
type batchQueues struct {
	queues sync.Map // core.DeploymentID to *deploymentQueue
}

// deploymentQueue limits the batch requests of one deployment that ask for slots.
type deploymentQueue struct {
	waiterSem chan struct{} // semaphore with maxBatchWaiters permits
	// retrySem is a semaphore with a single permit. Only its holder retries while
	// the owners refuse, so that not all waiters load owners that have no slots.
	retrySem chan struct{}
}

// acquire calls acquireOnce until it returns a slot or a refusal that is not
// retryable, or until ctx is done.
func (q *batchQueues) acquire(ctx context.Context, id core.DeploymentID, acquireOnce func() (dispatch.Slot, *core.Refusal)) (dispatch.Slot, *core.Refusal) {
	queue := q.queue(id)
	if !acquirePermit(ctx, queue.waiterSem) {
		return nil, cancelledWhileWaiting()
	}
	defer func() { <-queue.waiterSem }()
	slot, refusal := acquireOnce()
	if refusal == nil || !isRetryable(refusal) {
		return slot, refusal
	}
	if !acquirePermit(ctx, queue.retrySem) {
		return nil, cancelledWhileWaiting()
	}
	defer func() { <-queue.retrySem }()
	return retryWithBackoff(ctx, acquireOnce, refusal)
}

// retryWithBackoff calls acquireOnce with exponential backoff until it returns a
// slot or a refusal that is not retryable, or until ctx is done.
func retryWithBackoff(ctx context.Context, acquireOnce func() (dispatch.Slot, *core.Refusal), refusal *core.Refusal) (dispatch.Slot, *core.Refusal) {
	for delay := batchRetryDelayMin; ; delay = min(2*delay, batchRetryDelayMax) {
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, refusal
		}
		var slot dispatch.Slot
		if slot, refusal = acquireOnce(); refusal == nil || !isRetryable(refusal) {
			return slot, refusal
		}
	}
}

// acquirePermit takes a permit of the semaphore. It returns false if ctx is done
// first.
func acquirePermit(ctx context.Context, sem chan struct{}) bool {
	select {
	case sem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func cancelledWhileWaiting() *core.Refusal {
	return core.Refuse(core.CodeCancelled, "cancelled while waiting for a slot")
}

func (q *batchQueues) queue(id core.DeploymentID) *deploymentQueue {
	if queue, ok := q.queues.Load(id); ok {
		return queue.(*deploymentQueue)
	}
	queue, _ := q.queues.LoadOrStore(id, &deploymentQueue{
		waiterSem: make(chan struct{}, maxBatchWaiters), retrySem: make(chan struct{}, 1),
	})
	return queue.(*deploymentQueue)
}

// isRetryable reports whether a batch request keeps waiting after the refusal.
func isRetryable(refusal *core.Refusal) bool {
	return refusal.Code == core.CodeOverloaded || refusal.Code == core.CodeNoBackend
}
