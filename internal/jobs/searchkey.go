package jobs

import (
	"slices"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
)

// searchKey identifies what a search looks for: a replica of a service with any version
// or, if bound is set, with one.
type searchKey struct {
	software replica.Software
	bound    bool
	// org is the organisation whose items they are. Each has searches of its own, so that
	// the many items of one do not keep those of another from the hub.
	org core.Org
}

// query returns the placement query of a search.
func (k searchKey) query() *placement.Query {
	q := &placement.Query{Service: k.software.Service, Class: core.ClassBatch}
	if k.bound {
		q.Version = &k.software.Version
	}
	return q
}

// preferOrg puts the items of an organisation before the others, and otherwise keeps
// their order.
func preferOrg(tasks []*itemTask, org core.Org) []*itemTask {
	slices.SortStableFunc(tasks, func(a, b *itemTask) int {
		switch first, second := a.job.entry.Org == org, b.job.entry.Org == org; {
		case first == second:
			return 0
		case first:
			return -1
		default:
			return 1
		}
	})
	return tasks
}
