package ranges

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Candidate is a job with ranges that can be handed out.
type Candidate struct {
	Job core.JobID
	Org core.Org
	Due time.Time
	// Free is the number of ranges that can be handed out.
	Free int
}

// Choose returns the index of the job whose range is handed out next, or -1.
// Jobs are ordered by due time in steps of grain; within a step, the
// organisation with the fewest held ranges for its weight goes first, then the
// earlier due time, then the id.
func Choose(jobs []Candidate, held map[core.Org]int, weight func(core.Org) int, grain time.Duration) int {
	best := -1
	for i := range jobs {
		if jobs[i].Free > 0 && (best < 0 || earlier(&jobs[i], &jobs[best], held, weight, grain)) {
			best = i
		}
	}
	return best
}

func earlier(a, b *Candidate, held map[core.Org]int, weight func(core.Org) int, grain time.Duration) bool {
	if x, y := a.Due.Truncate(grain), b.Due.Truncate(grain); !x.Equal(y) {
		return x.Before(y)
	}
	// held/weight is compared crosswise to stay in whole numbers.
	x, y := held[a.Org]*max(1, weight(b.Org)), held[b.Org]*max(1, weight(a.Org))
	if x != y {
		return x < y
	}
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.Job < b.Job
}
