package worker

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/batch/coordinator"
	"gentiantide.example/gentiantide/internal/core"
)

func (w *Worker) handleWorkAvailable(_ context.Context, from core.NodeID, _ []byte) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopping {
		w.addCoordinator(from)
		w.wakeLoop()
	}
	return nil, nil
}

// handleSplitRequest marks a range whose unstarted items should be given up for a
// node with free capacity.
func (w *Worker) handleSplitRequest(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var msg coordinator.SplitRequest
	if err := msgpack.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.ranges {
		if r.job.ID == msg.Job && r.id == msg.Range {
			r.splitRequested = true
			w.wakeLoop()
		}
	}
	return nil, nil
}

// handleCancelRequest stops all items of a job and confirms this once none is
// running. Claims in progress are dropped when they complete.
func (w *Worker) handleCancelRequest(ctx context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var msg coordinator.CancelRequest
	if err := msgpack.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	if !w.p.Leases.OwnsSession(msg.Session) {
		return nil, errors.New("the lease session belongs to another process")
	}
	w.mu.Lock()
	w.cancelled[msg.Job] = time.Now()
	for _, r := range append([]*openRange(nil), w.ranges...) {
		if r.job.ID == msg.Job {
			w.p.Log.Info("batch range cancelled", "job", r.job.ID, "range", r.id, "running", r.running, "finished", r.finished)
			w.close(r)
		}
	}
	w.mu.Unlock()
	stopped := w.waitFor(ctx, func() bool { return w.runningByJob[msg.Job] == 0 })
	return msgpack.Marshal(coordinator.CancelResponse{Stopped: stopped})
}
