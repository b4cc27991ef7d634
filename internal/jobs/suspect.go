package jobs

import (
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/quarantine"
)

// An item whose replica broke off before the first event of the item's output may have
// crashed it. Such suspects of a node run one at a time until they begin, so that a job
// whose items all crash replicas takes one down after the other, and the quarantine finds
// what they have in common before many are lost. Other items run beside them.
const (
	// suspectDelay is the delay before a suspect is sent again, and the pause before the
	// next one. It doubles with each further crash, up to maxSuspectDelay. Within it the
	// quarantine decides on crashes that are reported.
	suspectDelay    = time.Second
	maxSuspectDelay = 8 * time.Second
)

// suspect reports whether the item may have crashed the replica of its last run.
func (task *itemTask) suspect() bool { return task.crashes > 0 }

// mayHaveCrashed reports whether a run of the item that ended may have crashed its
// replica: the error is like that of a crash, and no run has brought an event.
func (task *itemTask) mayHaveCrashed(outcome runOutcome, err error) bool {
	return outcome == outcomeBroken && task.output.events == 0 && quarantine.ConnectionBroken(err)
}

// mayHaveDarkened reports whether a run of the item was given up before the item's first
// event, as when its replica has gone dark.
func (task *itemTask) mayHaveDarkened(outcome runOutcome, cause error) bool {
	return outcome == outcomeBroken && task.output.events == 0 && errors.Is(cause, errItemStalled)
}

// suspectDelay returns the delay before a suspect is sent again.
func (task *itemTask) suspectDelay() time.Duration {
	return doubled(suspectDelay, task.crashes-1, maxSuspectDelay)
}

// doubled returns a duration doubled a number of times, up to a bound.
func doubled(d time.Duration, times int, most time.Duration) time.Duration {
	for i := 0; i < times && d < most; i++ {
		d *= 2
	}
	return min(d, most)
}

// suspectGate lets one suspect of a node run at a time. It is guarded by the runner's
// mutex.
type suspectGate struct {
	running *itemTask
	// closedUntil is the end of the pause after a crash.
	closedUntil time.Time
}

// open reports whether a suspect may start: the one before has begun its output, or its
// run has ended and the pause is over.
func (g *suspectGate) open(now time.Time) bool {
	return (g.running == nil || g.running.begun.Load()) && !now.Before(g.closedUntil)
}

// start records that an item starts.
func (g *suspectGate) start(task *itemTask) {
	task.crashed = false
	task.begun.Store(false)
	if task.suspect() {
		g.running = task
	}
}

// end records that the run of an item has ended, and reports whether the item is sent
// again later because it may have crashed its replica.
func (g *suspectGate) end(task *itemTask, now time.Time) (delayed bool) {
	if g.running == task {
		g.running = nil
	}
	switch {
	case task.crashed:
		task.crashes++
		g.closedUntil = now.Add(suspectDelay)
		task.notBefore = now.Add(task.suspectDelay())
	case task.begun.Load():
		task.crashes = 0
	}
	return task.crashed
}

// filter returns the items that may start, of which one at most is a suspect.
func (g *suspectGate) filter(tasks []*itemTask, now time.Time) []*itemTask {
	open, out := g.open(now), tasks[:0]
	for _, task := range tasks {
		if task.suspect() {
			if !open {
				continue
			}
			open = false
		}
		out = append(out, task)
	}
	return out
}
