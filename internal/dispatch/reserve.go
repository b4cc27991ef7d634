package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/route"
)

// tryReplica requests a slot on one replica and waits there if it is queued. It
// repeats the request if the owner of the replica changes before the slot is
// held, or if the owner has lost the request.
func (d *Dispatcher) tryReplica(ctx context.Context, request Request, choice route.Choice) (Slot, *core.Refusal) {
	choice.Replica.AddRequest(request.Class)
	for {
		r := d.newReservation(request, choice)
		refusal, again := d.reserve(ctx, r)
		if refusal == nil && !again {
			return &heldSlot{dispatcher: d, reservation: r}, nil
		}
		d.live.remove(r.id)
		if again {
			d.cancelReservation(r)
			if refusal = endedRefusal(ctx, request.Deadline, d.options.Now()); refusal == nil {
				continue
			}
		}
		choice.Replica.RemoveRequest(request.Class)
		if choice.Probe {
			_, duration := d.ejectionSettings(request.Deployment)
			choice.Replica.PostponeProbe(d.options.Now(), duration)
		}
		return nil, refusal
	}
}

func (d *Dispatcher) newReservation(request Request, choice route.Choice) *reservation {
	id := core.ReservationID(d.idPrefix + strconv.FormatUint(d.sequence.Add(1), 36))
	r := newReservation(id, request, choice, d.options.Members())
	d.live.add(r)
	d.syncTargets.add(r.owner)
	return r
}

// reserve requests the slot from the owner and waits for the outcome. It returns
// nil and false if the reservation is held. again is set if the slot must be
// requested again with a new reservation.
func (d *Dispatcher) reserve(ctx context.Context, r *reservation) (refusal *core.Refusal, again bool) {
	if refusal := endedRefusal(ctx, r.request.Deadline, d.options.Now()); refusal != nil {
		return refusal, false
	}
	node, _ := r.ownerAndPhase()
	response, err := d.sendReserve(ctx, node, r)
	if err != nil || response.Verdict == owner.VerdictUnknownReplica {
		if refusal := endedRefusal(ctx, r.request.Deadline, d.options.Now()); refusal != nil {
			d.cancelReservation(r)
			return refusal, false
		}
		return d.holdWithoutOwner(r)
	}
	d.applyLoad(r, response.Load)
	switch response.Verdict {
	case owner.VerdictGranted:
		return nil, !r.markHeld(d.options.Now(), false)
	case owner.VerdictQueued:
		d.counters.queued.Add(1)
		r.markQueued()
		return d.waitForOutcome(ctx, r)
	default:
		return overloaded("the backend server has no free slot for the work", response.Wait), false
	}
}

// sendReserve sends the reserve message to the owner and returns its response.
func (d *Dispatcher) sendReserve(ctx context.Context, node core.NodeID, r *reservation) (owner.ReserveResponse, error) {
	var response owner.ReserveResponse
	if node == "" {
		return response, errors.New("the replica has no owner")
	}
	message := d.reserveMessage(r)
	if node == d.options.Messenger.Self() {
		return d.options.Owner.Reserve(node, message), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	err := d.options.Messenger.Call(ctx, node, owner.KindReserve, message, &response)
	return response, err
}

func (d *Dispatcher) reserveMessage(r *reservation) owner.ReserveMessage {
	m := owner.ReserveMessage{
		Replica: r.choice.Replica.ID(), ID: r.id, Class: r.request.Class, Org: r.request.Org,
		Tokens: r.request.ExpectedTokens, NoWait: r.request.NoWait, Probe: r.choice.Probe,
	}
	if !r.request.Deadline.IsZero() {
		m.Remaining = r.request.Deadline.Sub(d.options.Now())
	}
	if !r.request.Finish.IsZero() {
		m.Finish = r.request.Finish.Sub(d.options.Now())
	}
	if !r.request.Due.IsZero() {
		m.Due = r.request.Due.UnixMilli()
	}
	return m
}

// holdWithoutOwner takes a slot without the owner's answer if one is free by this
// node's estimate. It refuses batch work, which could not be preempted without
// the owner and can wait until another node is the owner.
func (d *Dispatcher) holdWithoutOwner(r *reservation) (refusal *core.Refusal, again bool) {
	d.counters.silentOwners.Add(1)
	if r.request.Class != core.ClassOnline || !d.fitsEstimate(r) {
		d.cancelReservation(r)
		return overloaded("the owner of the backend server does not answer", 0), false
	}
	d.counters.unowned.Add(1)
	return nil, !r.markHeld(d.options.Now(), true)
}

// fitsEstimate reports whether the estimated number of online requests, which
// includes this one, is at most the number of slots.
func (d *Dispatcher) fitsEstimate(r *reservation) bool {
	online, _ := r.choice.Replica.Estimate()
	return online <= r.choice.Replica.Slots
}

// waitForOutcome waits for the outcome of a queued reservation. Its results are
// those of reserve.
func (d *Dispatcher) waitForOutcome(ctx context.Context, r *reservation) (refusal *core.Refusal, again bool) {
	var deadline <-chan time.Time
	if !r.request.Deadline.IsZero() {
		timer := time.NewTimer(r.request.Deadline.Sub(d.options.Now()))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case e := <-r.events:
		return d.handleOutcome(r, e)
	case <-ctx.Done():
		d.cancelReservation(r)
		return endedRefusal(ctx, r.request.Deadline, d.options.Now()), false
	case <-deadline:
		d.cancelReservation(r)
		return overloaded("no slot became free before the deadline", 0), false
	}
}

// handleOutcome applies the event that ends the wait of a queued reservation. Its
// results are those of reserve.
func (d *Dispatcher) handleOutcome(r *reservation, e owner.EventMessage) (refusal *core.Refusal, again bool) {
	if e.Load.Replica != "" {
		d.applyLoad(r, e.Load)
	}
	switch e.Kind {
	case owner.EventGranted:
		return nil, !r.markHeld(d.options.Now(), false)
	case owner.EventExpired:
		return overloaded("no slot became free before the deadline", 0), false
	case owner.EventEvicted:
		return overloaded("the queue of the backend server is full", 0), false
	default:
		return nil, true
	}
}

// cancelReservation releases a reservation that the owner may have recorded.
func (d *Dispatcher) cancelReservation(r *reservation) {
	d.sendRelease(r, owner.ReleaseMessage{Replica: r.choice.Replica.ID(), ID: r.id})
}

func (d *Dispatcher) sendRelease(r *reservation, m owner.ReleaseMessage) {
	node, _ := r.ownerAndPhase()
	switch node {
	case "":
	case d.options.Messenger.Self():
		d.options.Owner.Release(m)
	default:
		// If the release is lost, the owner drops the reservation because it is
		// missing from the next lists.
		_ = d.options.Messenger.Send(node, owner.KindRelease, m)
	}
}
