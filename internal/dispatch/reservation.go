package dispatch

import (
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/route"
)

// reservation is one reservation of this node, waiting or held.
type reservation struct {
	id     core.ReservationID
	ask    Request
	choice route.Choice
	// events carries the outcome of waiting.
	events    chan owner.EventMessage
	preempted chan struct{}
	preempt   sync.Once

	mu sync.Mutex
	// owner is the node that keeps the reservation; empty if there is none.
	owner core.NodeID
	// view is the view of the members that owner was taken from.
	view  *membership.View
	phase phase
	since time.Time
	// unowned is set if the slot was taken without the owner's answer.
	unowned bool
}

// phase is how far a reservation is.
type phase uint8

const (
	// phaseAsked is before the owner's first answer.
	phaseAsked phase = iota
	// phaseQueued is while the owner keeps the reservation waiting.
	phaseQueued
	// phaseHeld is while this node has the slot.
	phaseHeld
	// phaseVoid is after the ownership moved before the slot was held; the
	// work asks again with a new reservation.
	phaseVoid
)

// eventBuffer holds the events of one reservation. Repeated events beyond it
// carry nothing new.
const eventBuffer = 8

func newReservation(id core.ReservationID, ask Request, choice route.Choice, members *membership.View) *reservation {
	return &reservation{
		id: id, ask: ask, choice: choice, owner: owned(members, choice.Replica), view: members,
		events:    make(chan owner.EventMessage, eventBuffer),
		preempted: make(chan struct{}),
	}
}

// deliver hands over an event without waiting.
func (r *reservation) deliver(e owner.EventMessage) {
	if e.Kind == owner.EventPreempted {
		r.preempt.Do(func() { close(r.preempted) })
		return
	}
	select {
	case r.events <- e:
	default:
	}
}

// hold makes the slot held. It returns false if the reservation is void.
func (r *reservation) hold(now time.Time, unowned bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase == phaseVoid {
		return false
	}
	r.phase, r.since, r.unowned = phaseHeld, now, unowned
	return true
}

// queue records that the owner keeps the reservation waiting.
func (r *reservation) queue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase == phaseAsked {
		r.phase = phaseQueued
	}
}

// move records the owner by a new view. A reservation that is not held becomes
// void if the owner changed. changed is false if the owner is the same.
func (r *reservation) move(members *membership.View) (changed, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view == members || r.phase == phaseVoid {
		return false, false
	}
	r.view = members
	to := owned(members, r.choice.Replica)
	if r.owner == to {
		return false, false
	}
	if r.phase == phaseHeld {
		r.owner = to
		return true, true
	}
	r.phase = phaseVoid
	return true, false
}

// state returns the node that keeps the reservation and the phase.
func (r *reservation) state() (core.NodeID, phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner, r.phase
}

func (r *reservation) item(now time.Time) owner.RegisterItem {
	r.mu.Lock()
	defer r.mu.Unlock()
	item := owner.RegisterItem{
		Replica: r.choice.Replica.ID(), ID: r.id, Class: r.ask.Class, Org: r.ask.Org,
		Tokens: r.ask.ExpectedTokens, Waiting: r.phase != phaseHeld,
	}
	if r.phase == phaseHeld {
		item.Age = now.Sub(r.since)
	}
	return item
}
