package worker

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/batch/coordinator"
	"gentiantide.example/gentiantide/internal/core"
)

func (w *Worker) handleWork(_ context.Context, from core.NodeID, _ []byte) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopping {
		w.addSource(from)
		w.signal()
	}
	return nil, nil
}

// handleBehind marks a range whose unstarted items another node has room for.
func (w *Worker) handleBehind(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var msg coordinator.Behind
	if err := msgpack.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.ranges {
		if r.job.ID == msg.Job && r.id == msg.Range {
			r.behind = true
			w.signal()
		}
	}
	return nil, nil
}

// handleCancel stops all items of a job and confirms once none runs. Claims
// under way are dropped when they end.
func (w *Worker) handleCancel(ctx context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var msg coordinator.Cancel
	if err := msgpack.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	if !w.p.Keeper.Own(msg.Session) {
		return nil, errors.New("the session belongs to another process")
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
	stopped := w.await(ctx, func() bool { return w.runningOf[msg.Job] == 0 })
	return msgpack.Marshal(coordinator.CancelAnswer{Stopped: stopped})
}
