package jobs

import (
	"context"
	"time"
)

// ownedJob is a job that this node executes. It is guarded by the runner's
// mutex.
type ownedJob struct {
	entry  Entry
	ctx    context.Context
	cancel context.CancelFunc

	pending  []*itemTask
	running  map[*itemTask]struct{}
	finished []Result // results that are not committed yet
	// committed is the number of results already in the table.
	committed  int
	committing bool
	// handingOver is set while the job is passed to another node. Its items do not run.
	handingOver bool
}

// remaining returns the number of items without a committed result.
func (j *ownedJob) remaining() int { return j.entry.Total - j.committed }

// removePending removes an item from the pending ones.
func (j *ownedJob) removePending(task *itemTask) {
	for i, p := range j.pending {
		if p == task {
			j.pending = append(j.pending[:i], j.pending[i+1:]...)
			return
		}
	}
}

// applyProgress gives the pending items the output so far that a former owner has
// received. Output without the version that made it, from an owner of an earlier build,
// is not used: no replica can go on with it.
func (j *ownedJob) applyProgress(progress []itemProgress, now time.Time) {
	byItem := make(map[string]*itemProgress, len(progress))
	for i := range progress {
		byItem[progress[i].Item] = &progress[i]
	}
	for _, task := range j.pending {
		p := byItem[task.item.ID]
		if p == nil {
			continue
		}
		task.failures = p.Failures
		if p.Software == nil {
			continue
		}
		task.output = newItemOutput(p.EventData)
		task.lastEvent, task.runTime, task.begunAt, task.progressAt = p.LastEvent, p.RunTime, p.Software, now
	}
}
