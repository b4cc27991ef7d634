package jobs

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
)

// Preempt preempts one item at a replica whose slot is needed by online work. It
// reports whether an item was running there.
func (r *Runner) Preempt(target *replica.Replica) bool {
	clock, _ := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var victim *itemTask
	r.eachRunning(func(task *itemTask) {
		if task.replica == target && (victim == nil || r.preemptedBefore(task, victim, clock)) {
			victim = task
		}
	})
	if victim == nil {
		return false
	}
	victim.replica = nil // must not be preempted twice
	victim.cancel(errPreempted)
	r.log.Info("item preempted", "job", victim.job.entry.ID, "item", victim.item.ID, "replica", target.Info().ID)
	return true
}

// Victims returns, for each replica with running items, the one that Preempt would
// choose.
func (r *Runner) Victims() map[core.ReplicaID]placement.Victim {
	clock, _ := r.clock()
	out := make(map[core.ReplicaID]placement.Victim)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eachRunning(func(task *itemTask) {
		if task.replica == nil {
			return
		}
		id, v := task.replica.Info().ID, r.victim(task, clock)
		if other, ok := out[id]; !ok || v.Before(other) {
			out[id] = v
		}
	})
	return out
}

// eachRunning calls fn for each running item. The caller holds the lock.
func (r *Runner) eachRunning(fn func(*itemTask)) {
	for _, job := range r.jobs {
		for task := range job.running {
			fn(task)
		}
	}
}

func (r *Runner) victim(task *itemTask, clock time.Duration) placement.Victim {
	return placement.Victim{Due: task.job.entry.Due, Late: !r.meanTokenTime.canMeetDue(task, clock)}
}

// preemptedBefore reports whether an item is preempted before another one. Of two
// that are alike, the one that has made less progress yields.
func (r *Runner) preemptedBefore(a, b *itemTask, clock time.Duration) bool {
	va, vb := r.victim(a, clock), r.victim(b, clock)
	if va != vb {
		return va.Before(vb)
	}
	return a.totalRunTime() < b.totalRunTime()
}
