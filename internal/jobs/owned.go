package jobs

import "context"

// ownedJob is a job that this node executes. The runner's lock guards it.
type ownedJob struct {
	entry  Entry
	ctx    context.Context
	cancel context.CancelFunc

	pending  []*work
	running  map[*work]struct{}
	finished []Result // not committed yet
	// committed is the number of results in the table.
	committed  int
	committing bool
}

// remaining is the number of items without a committed result.
func (j *ownedJob) remaining() int { return j.entry.Total - j.committed }

// takePending removes a piece of work from the pending ones.
func (j *ownedJob) takePending(w *work) {
	for i, p := range j.pending {
		if p == w {
			j.pending = append(j.pending[:i], j.pending[i+1:]...)
			return
		}
	}
}
