package jobs

import (
	"errors"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

// The output of an item is of one version of the software: what two versions write does
// not fit together. An item with partial output waits for a replica of the version that
// made it. After a while, or if there is none, it begins anew at any version.

// minSoftwareWait is how long an item with partial output waits for a replica of its
// software at least, while one is registered. Items wait for seconds for any slot when
// requests take most of them; with 2 s a quarter of the resumed items began anew. An
// item that has run for longer waits for as long as it has run, so that waiting costs at
// most as much as beginning anew.
const minSoftwareWait = 4 * time.Second

var errOtherSoftware = errors.New("replica has started again with other software")

// waitsForSoftware reports whether an item goes only to replicas that run the software
// that made its output so far. The caller holds the lock.
func (r *Runner) waitsForSoftware(task *itemTask, route *routetable.Route, now time.Time) bool {
	return task.begunAt != nil && route.HasBackend(task.begunAt.Service) &&
		now.Sub(task.progressAt) < max(minSoftwareWait, task.runTime) && r.serves(*task.begunAt)
}

// serves reports whether a replica with some software takes work.
func (r *Runner) serves(software replica.Software) bool {
	return slices.ContainsFunc(r.registry.Ready(software.Service), func(other *replica.Replica) bool { return other.Info().Software() == software })
}

// mayRunAt reports whether an item may go to a replica that runs some software now. The
// caller holds the lock.
func (r *Runner) mayRunAt(task *itemTask, route *routetable.Route, software replica.Software, now time.Time) bool {
	return task.begunAt == nil || *task.begunAt == software || !r.waitsForSoftware(task, route, now)
}

// dropOutput throws the output so far away, so that the item begins anew.
func (task *itemTask) dropOutput() {
	task.output, task.lastEvent, task.begunAt, task.newEvents, task.emptyRuns = itemOutput{}, forward.NoResume, nil, 0, 0
}
