package jobs

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/routetable"
)

// organisationWeight is the weight of each organisation among those whose items wait: the
// configuration names none, so all are equal.
const organisationWeight = 1

// organisations returns those of the current configuration, or nil.
func (e *Executor) organisations() *routetable.Organisations {
	if table := e.Routes.Load(); table != nil {
		return table.Organisations
	}
	return nil
}

// sendOptions returns the options of the next request of an item. The organisation is
// that of the job, also after the key that submitted it was taken away.
func (e *Executor) sendOptions(task *itemTask, to core.ReplicaID) forward.SendOptions {
	org := task.job.entry.Org
	return forward.SendOptions{
		Replica: to, ResumeAfter: task.lastEvent, Identified: org != "" || e.organisations() != nil, Org: org,
	}
}

// priority returns the rank of an item.
func (e *Executor) priority(task *itemTask, route *routetable.Route) int {
	if organisations := e.organisations(); organisations != nil {
		return route.PriorityFor(organisations.ByName(task.job.entry.Org))
	}
	return route.Priority
}
