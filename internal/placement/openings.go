package placement

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/replica"
)

// opening is a replica that can take a request: it has a free slot, or an item to
// preempt for an online request.
type opening struct {
	replicaSlots
	busy     int // all work, including pending grants and untracked load
	batch    int // the part of it that can be preempted
	slowdown float64
	victim   Victim // the item that is preempted first, if batch is positive
	settled  bool   // replicaSettleTime has passed, so that it may get items
	tokens   int    // requests that its limit allows now
	kept     int    // tokens of the prompt in question that the replica keeps
	standing standing
}

func (o *opening) free() int { return o.slots - o.busy }

func (o *opening) freeForItems() int {
	if !o.takesItems() {
		return 0
	}
	return min(max(0, o.free()), o.tokens)
}

// takesItems reports whether items may go to the replica. One with a limit gets only
// those that cost no online request its token, and one on probation only to try it.
func (o *opening) takesItems() bool {
	return o.settled && bucketFull(o.tokens) && !o.standing.onProbation
}

// usable reports whether the replica can take a request.
func (o *opening) usable() bool { return o.tokens > 0 && (o.free() > 0 || o.preemptible()) }

func (o *opening) preemptible() bool { return o.batch > 0 && o.busy-o.batch < o.slots }

func (o *opening) tooSlow() bool { return o.slowdown > maxFreeSlowdown }

// score is the relative time that a request would take at the replica, less what is
// saved if the replica keeps the beginning of its prompt. Lower is better.
func (o *opening) score(q *queuedRequest) float64 {
	load := float64(o.busy + 1)
	if o.dc != q.dc {
		load += replica.RemoteCost
	}
	return load*o.slowdown/float64(o.slots)*replica.FailureCost(o.standing.failedShare) - o.promptSaving()
}

// openings are the replicas that can take requests at one time. They are gathered
// once for all queued requests: with hundreds of these, looking at each replica for
// each request kept a hub busy for longer than nodes wait for its answer.
type openings struct {
	list []*opening
	free int // free slots of the replicas that may get items
	now  time.Time
}

// openings gathers the replicas that can take requests, without those that enough
// nodes have ejected. If they have ejected all, the votes are ignored.
func (s *scheduler) openings(now time.Time) *openings {
	ignoreVotes := !slices.ContainsFunc(s.replicas, func(r replicaSlots) bool { return !s.ejectionVotes.ejected(r.id) })
	out := &openings{now: now}
	for _, r := range s.replicas {
		if !ignoreVotes && s.ejectionVotes.ejected(r.id) {
			continue
		}
		o := &opening{
			settled:      now.Sub(r.usableSince) >= replicaSettleTime,
			replicaSlots: r, batch: s.sum(r.id).batch, slowdown: s.slowdown(r.id, now),
			busy:     max(s.trackedLoad(r.id)+s.untracked[r.id].confirmed(now), s.inherited.present(r.id, now)),
			tokens:   s.limits.tokens(r.id, now),
			standing: s.outcomes.standing(r.id, now),
		}
		if o.batch > 0 {
			_, o.victim, _ = s.victim(r.id)
		}
		if o.usable() {
			out.list = append(out.list, o)
			out.free += o.freeForItems()
		}
	}
	return out
}

// choose returns the best replica with a free slot, or for an online request that
// with the item to preempt first, or nil. Items of jobs get no slot out of the
// headroom. The tokens of limited replicas are saved for when the others are full. A
// replica on probation gets the first request that may try it, and no other.
func (o *openings) choose(q *queuedRequest, headroom int) (chosen *opening, preempts bool) {
	if q.batch && o.free <= headroom {
		return o.probe(q), false
	}
	var free, occupied *opening
	for _, r := range o.list {
		switch {
		case q.excludes(&r.replicaSlots):
		case r.standing.onProbation:
			if r.takesProbe(q, o.now) {
				return r, false
			}
		case q.batch && !r.takesItems():
		case r.free() > 0:
			if free == nil || r.before(free, q) {
				free = r
			}
		case !q.batch && (occupied == nil || r.preemptedBefore(occupied, q)):
			occupied = r
		}
	}
	if free == nil || occupied != nil && (free.tooSlow() && !occupied.tooSlow() || free.risky(q) && !occupied.risky(q)) {
		return occupied, occupied != nil
	}
	return free, false
}

// probe returns a replica on probation that a request may try, or nil. Its slots are no
// part of the headroom, and it gets no other work until a request has tried it.
func (o *openings) probe(q *queuedRequest) *opening {
	for _, r := range o.list {
		if r.standing.onProbation && !q.excludes(&r.replicaSlots) && r.takesProbe(q, o.now) {
			return r
		}
	}
	return nil
}

// takesProbe reports whether a request may try a replica on probation.
func (o *opening) takesProbe(q *queuedRequest, now time.Time) bool {
	return o.free() > 0 && (!q.batch || o.settled) && o.standing.mayProbe(q, now)
}

// before reports whether a request goes to r rather than to o, if both have a free
// slot.
func (r *opening) before(o *opening, q *queuedRequest) bool {
	if bucketFull(r.tokens) != bucketFull(o.tokens) {
		return bucketFull(r.tokens)
	}
	if r.risky(q) != o.risky(q) {
		return o.risky(q)
	}
	return r.score(q) < o.score(q)
}

// risky reports whether the request is lost, as it may run once, if one more run fails at
// a replica at which some have failed.
func (o *opening) risky(q *queuedRequest) bool { return o.standing.doubtful && !q.repeatable }

// preemptedBefore reports whether to preempt the item at r rather than that at o:
// not at a replica that is too slow or has failed, then by the item, then by the score.
func (r *opening) preemptedBefore(o *opening, q *queuedRequest) bool {
	switch {
	case r.tooSlow() != o.tooSlow():
		return o.tooSlow()
	case r.risky(q) != o.risky(q):
		return o.risky(q)
	case r.victim != o.victim:
		return r.victim.Before(o.victim)
	default:
		return r.score(q) < o.score(q)
	}
}

// take adds a request to the work at a replica.
func (o *openings) take(r *opening) {
	o.free -= r.freeForItems()
	r.busy++
	if r.tokens != unlimited {
		r.tokens--
	}
	o.free += r.freeForItems()
	if !r.usable() || r.standing.onProbation {
		o.list = slices.DeleteFunc(o.list, func(other *opening) bool { return other == r })
	}
}
