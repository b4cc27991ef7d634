package placement

import (
	"math"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// grantTTL is how long a grant counts that its node has not confirmed. Nodes
	// confirm with their next counts, every maxSilence at the latest.
	grantTTL = time.Second
	// slowdownTTL is how long a reported slowdown holds. The neighbours that
	// cause it change many times a second.
	slowdownTTL = 300 * time.Millisecond
	// preemptCost is added, in requests, for a slot that batch work has to leave
	// first.
	preemptCost = 1.0
	// headroomShare is the share of the slots that batch work leaves free, so that
	// not each request that arrives has to wait for an item to give way.
	headroomShare = 0.03
	// usualSlowdown is the slowdown of a replica that is as fast as usual, in
	// hundredths.
	usualSlowdown = 100
)

// slot is one replica as the pool sees it.
type slot struct {
	id    core.ReplicaID
	dc    core.DataCentre
	slots int
}

// grant is a slot that a node was given and has not confirmed.
type grant struct {
	node    core.NodeID
	request uint64
	replica core.ReplicaID
	at      time.Time
}

// slowness is what a node reported of a replica.
type slowness struct {
	factor float64
	at     time.Time
}

// placed is a waiter that got a slot.
type placed struct {
	*waiter
	replica core.ReplicaID
	grant   uint64
	// preempts is set if batch work has to leave the slot.
	preempts bool
}

// pool is the account of the replicas of one group: the policy of the hub. It
// is a function of its inputs and the times passed in, and not safe for
// concurrent use.
type pool struct {
	*ledger
	replicas []slot
	grants   map[uint64]grant
	pending  map[core.ReplicaID]int // grants by replica
	slow     map[core.ReplicaID]slowness
	unseen   map[core.ReplicaID]unseen
	shunned  shunned
	waiting  []*waiter
	serial   uint64
	turnover turnover
}

func newPool() *pool {
	return &pool{
		ledger: newLedger(), grants: make(map[uint64]grant),
		pending: make(map[core.ReplicaID]int), slow: make(map[core.ReplicaID]slowness),
		unseen: make(map[core.ReplicaID]unseen), shunned: make(shunned),
	}
}

// ask places a request, lets it wait or refuses it. A request that is known gets
// its present state.
func (p *pool) ask(node core.NodeID, a *ask, now time.Time) (askAnswer, *placed) {
	p.shunned.learn(node, a.Not[:min(max(0, a.Avoided), len(a.Not))], now)
	if known := p.known(node, a.ID); known != nil {
		return *known, nil
	}
	w := newWaiter(node, a, now)
	if !slices.ContainsFunc(p.waiting, func(o *waiter) bool { return o.before(w, now) }) {
		if r, preempts := p.choose(w, now); r != nil {
			done := p.grant(w, r, preempts, now)
			return askAnswer{Verdict: verdictGranted, Replica: done.replica, Grant: done.grant}, done
		}
	}
	if !slices.ContainsFunc(p.replicas, func(r slot) bool { return !w.excludes(r.id) }) {
		return askAnswer{Verdict: verdictNone}, nil
	}
	if wait := p.expectedWait(); !w.batch && now.Add(wait).After(w.goneAt) {
		return askAnswer{Verdict: verdictRefused, Wait: wait}, nil
	}
	p.waiting = append(p.waiting, w)
	return askAnswer{Verdict: verdictQueued}, nil
}

// known returns the state of a request that was asked for before.
func (p *pool) known(node core.NodeID, id uint64) *askAnswer {
	if slices.ContainsFunc(p.waiting, func(w *waiter) bool { return w.node == node && w.id == id }) {
		return &askAnswer{Verdict: verdictQueued}
	}
	for number, g := range p.grants {
		if g.node == node && g.request == id {
			return &askAnswer{Verdict: verdictGranted, Replica: g.replica, Grant: number}
		}
	}
	return nil
}

// choose returns a replica with a free slot, or one where batch work leaves a
// slot, or nil. An item of a job gets none of the last free slots.
func (p *pool) choose(w *waiter, now time.Time) (best *slot, preempts bool) {
	if w.batch && p.free(now) <= p.headroom() {
		return nil, false
	}
	shun := p.shunned.list(p.replicas, now)
	bestScore := 0.0
	for i := range p.replicas {
		r := &p.replicas[i]
		if w.excludes(r.id) || shun[r.id] {
			continue
		}
		sum := p.sum(r.id)
		busy := p.told(r.id) + p.unseen[r.id].work(now)
		full := busy >= r.slots
		if full && (w.batch || sum.batch == 0 || busy-sum.batch >= r.slots) {
			continue
		}
		score := float64(busy + 1)
		if full {
			score += preemptCost
		}
		if r.dc != w.dc {
			score += replica.RemoteCost
		}
		score *= p.slowdown(r.id, now) / float64(r.slots)
		if best == nil || score < bestScore {
			best, bestScore, preempts = r, score, full
		}
	}
	return best, preempts
}

// free is the number of free slots.
func (p *pool) free(now time.Time) int {
	n := 0
	for _, r := range p.replicas {
		n += max(0, r.slots-p.told(r.id)-p.unseen[r.id].work(now))
	}
	return n
}

// headroom is the number of slots that batch work leaves free.
func (p *pool) headroom() int {
	return int(math.Ceil(headroomShare * float64(p.slots())))
}

func (p *pool) slots() int {
	n := 0
	for _, r := range p.replicas {
		n += r.slots
	}
	return n
}

// told is the work at a replica that this hub knows of.
func (p *pool) told(id core.ReplicaID) int {
	sum := p.sum(id)
	return sum.online + sum.batch + p.pending[id]
}

func (p *pool) slowdown(id core.ReplicaID, now time.Time) float64 {
	if s, ok := p.slow[id]; ok && now.Sub(s.at) <= slowdownTTL {
		return max(1, s.factor)
	}
	return 1
}

// grant gives a waiter a slot.
func (p *pool) grant(w *waiter, r *slot, preempts bool, now time.Time) *placed {
	p.serial++
	p.grants[p.serial] = grant{node: w.node, request: w.id, replica: r.id, at: now}
	p.pending[r.id]++
	if !w.batch {
		p.turnover.granted++
	}
	return &placed{waiter: w, replica: r.id, grant: p.serial, preempts: preempts}
}

// tell takes the counts of a node.
func (p *pool) tell(node core.NodeID, c *counts, now time.Time) {
	for _, number := range c.Seen {
		p.confirm(number, node)
	}
	if last, ok := p.nodes[node]; ok && last.stale(c) {
		return
	}
	p.take(node, c, now)
	for _, one := range c.Replicas {
		if one.Slowdown > 0 {
			p.slow[one.ID] = slowness{factor: float64(one.Slowdown) / usualSlowdown, at: now}
		}
		if one.Reported > 0 {
			p.unseen[one.ID] = p.unseen[one.ID].learn(one.Reported-p.told(one.ID), now)
		}
	}
}

// confirm removes a grant that is in its node's counts, or was not used.
func (p *pool) confirm(number uint64, node core.NodeID) {
	g, ok := p.grants[number]
	if !ok || g.node != node {
		return
	}
	delete(p.grants, number)
	if p.pending[g.replica]--; p.pending[g.replica] <= 0 {
		delete(p.pending, g.replica)
	}
}

// withdraw removes a request that waits, or its grant.
func (p *pool) withdraw(node core.NodeID, id uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.node == node && w.id == id })
	for number, g := range p.grants {
		if g.node == node && g.request == id {
			p.confirm(number, node)
		}
	}
}

// pump gives free slots to those who wait, the next one first. While there are
// none, which is the usual case when many wait, it looks at the replicas only.
func (p *pool) pump(now time.Time) []*placed {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return now.After(w.goneAt) })
	if len(p.waiting) == 0 || !p.open(now) {
		return nil
	}
	p.sortWaiting(now)
	var out []*placed
	kept := p.waiting[:0:0]
	for i, w := range p.waiting {
		if w.batch && p.free(now) <= p.headroom() {
			kept = append(kept, p.waiting[i:]...) // items come last
			break
		}
		r, preempts := p.choose(w, now)
		if r == nil {
			kept = append(kept, w)
			continue
		}
		out = append(out, p.grant(w, r, preempts, now))
		if !p.open(now) {
			kept = append(kept, p.waiting[i+1:]...)
			break
		}
	}
	p.waiting = kept
	return out
}

func (p *pool) sortWaiting(now time.Time) {
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		}
		return 0
	})
}

// open reports whether a slot is free, or in use by batch work, at a replica
// that is not avoided.
func (p *pool) open(now time.Time) bool {
	shun := p.shunned.list(p.replicas, now)
	return slices.ContainsFunc(p.replicas, func(r slot) bool {
		busy := p.told(r.id) + p.unseen[r.id].work(now)
		return !shun[r.id] && (busy < r.slots || busy-p.sum(r.id).batch < r.slots)
	})
}

// expire forgets silent nodes and grants that no node confirmed.
func (p *pool) expire(now time.Time) {
	p.ledger.expire(now)
	for number, g := range p.grants {
		if now.Sub(g.at) > grantTTL {
			p.confirm(number, g.node)
		}
	}
	busy := len(p.grants)
	for _, sum := range p.sums {
		busy += sum.online
	}
	p.turnover.look(busy, now)
}

// expectedWait estimates how long a new request would wait if it were served
// last.
func (p *pool) expectedWait() time.Duration {
	online := 0
	for _, w := range p.waiting {
		if !w.batch {
			online++
		}
	}
	return p.turnover.wait(online+1, p.slots())
}
