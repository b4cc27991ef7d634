package jobs

import "context"

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
