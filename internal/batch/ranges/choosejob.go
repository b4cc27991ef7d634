package ranges

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// JobCandidate is an open job whose ranges may be offered to a worker.
type JobCandidate struct {
	Job core.JobID
	Org core.Org
	Due time.Time
	// Free is the number of ranges that can be offered.
	Free int
}

// ChooseJob returns the index of the job whose range is offered next, or -1. Jobs
// are ordered by due time rounded down to granularity, then by the held ranges of
// the organisation relative to its weight, fewest first, then by exact due time,
// and last by id.
func ChooseJob(jobs []JobCandidate, held map[core.Org]int, weight func(core.Org) int, granularity time.Duration) int {
	best := -1
	for i := range jobs {
		if jobs[i].Free > 0 && (best < 0 || jobBefore(&jobs[i], &jobs[best], held, weight, granularity)) {
			best = i
		}
	}
	return best
}

func jobBefore(a, b *JobCandidate, held map[core.Org]int, weight func(core.Org) int, granularity time.Duration) bool {
	if x, y := a.Due.Truncate(granularity), b.Due.Truncate(granularity); !x.Equal(y) {
		return x.Before(y)
	}
	// Compares held/weight by cross-multiplication to avoid fractions.
	x, y := held[a.Org]*max(1, weight(b.Org)), held[b.Org]*max(1, weight(a.Org))
	if x != y {
		return x < y
	}
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.Job < b.Job
}
