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

// try asks for a slot on one replica and waits there if it is queued. It asks
// again when the ownership of the replica moves before the slot is held.
func (d *Dispatcher) try(ctx context.Context, ask Request, choice route.Choice) (Slot, *core.Refusal) {
	choice.Replica.Sent(ask.Class)
	for {
		r := d.newReservation(ask, choice)
		refusal, again := d.reserve(ctx, r)
		if refusal == nil && !again {
			return &slot{dispatcher: d, reservation: r}, nil
		}
		d.live.remove(r.id)
		if again {
			d.withdraw(r)
			if refusal = ended(ctx, ask.Deadline, d.options.Now()); refusal == nil {
				continue
			}
		}
		choice.Replica.Done(ask.Class)
		if choice.Probe {
			_, duration := d.ejection(ask.Deployment)
			choice.Replica.PostponeProbe(d.options.Now(), duration)
		}
		return nil, refusal
	}
}

func (d *Dispatcher) newReservation(ask Request, choice route.Choice) *reservation {
	id := core.ReservationID(d.prefix + strconv.FormatUint(d.sequence.Add(1), 36))
	r := newReservation(id, ask, choice, d.options.Members())
	d.live.add(r)
	d.lists.note(r.owner)
	return r
}

// reserve returns neither a refusal nor again once the reservation is held.
func (d *Dispatcher) reserve(ctx context.Context, r *reservation) (refusal *core.Refusal, again bool) {
	if refusal := ended(ctx, r.ask.Deadline, d.options.Now()); refusal != nil {
		return refusal, false
	}
	node, _ := r.state()
	answer, err := d.ask(ctx, node, r)
	if err != nil || answer.Verdict == owner.VerdictUnknown {
		if refusal := ended(ctx, r.ask.Deadline, d.options.Now()); refusal != nil {
			d.withdraw(r)
			return refusal, false
		}
		return d.proceed(r)
	}
	d.learn(r, answer.Load)
	switch answer.Verdict {
	case owner.VerdictGranted:
		return nil, !r.hold(d.options.Now(), false)
	case owner.VerdictQueued:
		d.counters.queued.Add(1)
		r.queue()
		return d.wait(ctx, r)
	default:
		return overloaded("the backend server has no free slot for the work", answer.Wait), false
	}
}

// ask sends the reserve message to the owner.
func (d *Dispatcher) ask(ctx context.Context, node core.NodeID, r *reservation) (owner.ReserveAnswer, error) {
	var answer owner.ReserveAnswer
	if node == "" {
		return answer, errors.New("the replica has no owner")
	}
	message := d.message(r)
	if node == d.options.Messenger.Self() {
		return d.options.Owner.Reserve(node, message), nil
	}
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	err := d.options.Messenger.Call(ctx, node, owner.KindReserve, message, &answer)
	return answer, err
}

func (d *Dispatcher) message(r *reservation) owner.ReserveMessage {
	m := owner.ReserveMessage{
		Replica: r.choice.Replica.ID(), ID: r.id, Class: r.ask.Class, Org: r.ask.Org,
		Tokens: r.ask.ExpectedTokens, NoWait: r.ask.NoWait, Probe: r.choice.Probe,
	}
	if !r.ask.Deadline.IsZero() {
		m.Remaining = r.ask.Deadline.Sub(d.options.Now())
	}
	if !r.ask.Finish.IsZero() {
		m.Finish = r.ask.Finish.Sub(d.options.Now())
	}
	if !r.ask.Due.IsZero() {
		m.Due = r.ask.Due.UnixMilli()
	}
	return m
}

// proceed takes a slot without the owner, if by this node's own estimate there
// is a free one. Batch work does not: without the owner it could not be
// preempted, and it can wait until ownership has moved.
func (d *Dispatcher) proceed(r *reservation) (refusal *core.Refusal, again bool) {
	d.counters.silent.Add(1)
	if r.ask.Class != core.ClassOnline || !d.roomFor(r) {
		d.withdraw(r)
		return overloaded("the owner of the backend server does not answer", 0), false
	}
	d.counters.unowned.Add(1)
	return nil, !r.hold(d.options.Now(), true)
}

// roomFor reports whether the estimate, which includes this request, fits.
func (d *Dispatcher) roomFor(r *reservation) bool {
	online, _ := r.choice.Replica.Estimate()
	return online <= r.choice.Replica.Slots
}

// wait waits for the outcome of a queued reservation. again is set if it must
// be asked for again.
func (d *Dispatcher) wait(ctx context.Context, r *reservation) (refusal *core.Refusal, again bool) {
	var deadline <-chan time.Time
	if !r.ask.Deadline.IsZero() {
		timer := time.NewTimer(r.ask.Deadline.Sub(d.options.Now()))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case e := <-r.events:
		return d.outcome(r, e)
	case <-ctx.Done():
		d.withdraw(r)
		return ended(ctx, r.ask.Deadline, d.options.Now()), false
	case <-deadline:
		d.withdraw(r)
		return overloaded("no slot became free before the deadline", 0), false
	}
}

func (d *Dispatcher) outcome(r *reservation, e owner.EventMessage) (refusal *core.Refusal, again bool) {
	if e.Load.Replica != "" {
		d.learn(r, e.Load)
	}
	switch e.Kind {
	case owner.EventGranted:
		return nil, !r.hold(d.options.Now(), false)
	case owner.EventExpired:
		return overloaded("no slot became free before the deadline", 0), false
	case owner.EventEvicted:
		return overloaded("the queue of the backend server is full", 0), false
	default:
		return nil, true
	}
}

// withdraw ends a reservation that the owner may have.
func (d *Dispatcher) withdraw(r *reservation) {
	d.sendRelease(r, owner.ReleaseMessage{Replica: r.choice.Replica.ID(), ID: r.id})
}

func (d *Dispatcher) sendRelease(r *reservation, m owner.ReleaseMessage) {
	node, _ := r.state()
	switch node {
	case "":
	case d.options.Messenger.Self():
		d.options.Owner.Release(m)
	default:
		// A lost release is found by the owner in the next lists.
		_ = d.options.Messenger.Send(node, owner.KindRelease, m)
	}
}
