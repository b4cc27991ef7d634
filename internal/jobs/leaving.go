package jobs

import (
	"maps"
	"slices"
)

// executes reports whether this node executes the job.
func (r *Runner) executes(job *ownedJob) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[job.entry.ID] == job
}

// ownedJobs returns the jobs that this node executes.
func (r *Runner) ownedJobs() []*ownedJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.jobs))
}

// refuseJobs makes the node take no more jobs from other nodes. Those that callers submit
// to it are still executed.
func (r *Runner) refuseJobs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

func (r *Runner) refusesJobs() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}
