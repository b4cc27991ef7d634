package dispatch

import (
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/route"
)

// reservation is a waiting or held reservation of this node.
type reservation struct {
	id      core.ReservationID
	request Request
	choice  route.Choice
	// events receives the outcome of a queued request.
	events      chan owner.EventMessage
	preempted   chan struct{}
	preemptOnce sync.Once

	mu sync.Mutex
	// owner is the owner of the replica, which records the reservation; empty
	// if there is none.
	owner core.NodeID
	// view is the membership view that determined owner.
	view  *membership.View
	phase phase
	since time.Time
	// unowned is set if the slot was taken without an answer of the owner.
	unowned bool
}

// phase is the phase of a reservation.
type phase uint8

const (
	// phaseRequested lasts until the owner answers the reserve message.
	phaseRequested phase = iota
	// phaseQueued lasts while the reservation waits in the owner's queue.
	phaseQueued
	// phaseHeld lasts while this node holds the slot.
	phaseHeld
	// phaseVoid follows if the owner changes before the slot is held. The slot
	// is then requested again with a new reservation.
	phaseVoid
)

// eventBufferSize is the capacity of the event channel of a reservation. Events
// beyond it are repetitions and can be dropped.
const eventBufferSize = 8

func newReservation(id core.ReservationID, request Request, choice route.Choice, members *membership.View) *reservation {
	return &reservation{
		id: id, request: request, choice: choice, owner: ownerOf(members, choice.Replica), view: members,
		events:    make(chan owner.EventMessage, eventBufferSize),
		preempted: make(chan struct{}),
	}
}

// deliver passes an event to the goroutine that waits for it, without blocking.
func (r *reservation) deliver(e owner.EventMessage) {
	if e.Kind == owner.EventPreempted {
		r.preemptOnce.Do(func() { close(r.preempted) })
		return
	}
	select {
	case r.events <- e:
	default:
	}
}

// markHeld records that this node holds the slot. It returns false if the
// reservation is void.
func (r *reservation) markHeld(now time.Time, unowned bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase == phaseVoid {
		return false
	}
	r.phase, r.since, r.unowned = phaseHeld, now, unowned
	return true
}

// markQueued records that the reservation waits in the owner's queue.
func (r *reservation) markQueued() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase == phaseRequested {
		r.phase = phaseQueued
	}
}

// updateOwner sets the owner according to a new membership view and reports
// whether it changed and whether the reservation is held. A reservation that is
// not held becomes void if the owner changed.
func (r *reservation) updateOwner(members *membership.View) (changed, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view == members || r.phase == phaseVoid {
		return false, false
	}
	r.view = members
	to := ownerOf(members, r.choice.Replica)
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

// ownerAndPhase returns the owner, or "" if there is none, and the phase.
func (r *reservation) ownerAndPhase() (core.NodeID, phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner, r.phase
}

func (r *reservation) registerItem(now time.Time) owner.RegisterItem {
	r.mu.Lock()
	defer r.mu.Unlock()
	item := owner.RegisterItem{
		Replica: r.choice.Replica.ID(), ID: r.id, Class: r.request.Class, Org: r.request.Org,
		Tokens: r.request.ExpectedTokens, Waiting: r.phase != phaseHeld,
	}
	if r.phase == phaseHeld {
		item.Age = now.Sub(r.since)
	}
	return item
}
