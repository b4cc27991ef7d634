package dispatch

import (
	"context"
	"slices"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/route"
)

// place asks for a slot on the chosen replica. If online work may wait and the
// queues are short, it waits at two replicas and takes the slot that is free
// first. With long queues it would only double them.
func (d *Dispatcher) place(ctx context.Context, ask Request, choice route.Choice, excluded []core.ReplicaID) (Slot, *core.Refusal) {
	if ask.NoWait || ask.Class != core.ClassOnline || choice.Probe || !shortQueue(choice.Replica) {
		return d.try(ctx, ask, choice)
	}
	second := d.choose(ask, append(slices.Clone(excluded), choice.Replica.ID()))
	if second.Probe {
		second.Replica.EndProbe()
	}
	if second.Replica == nil || second.Probe || !shortQueue(second.Replica) {
		return d.try(ctx, ask, choice)
	}
	return d.race(ctx, ask, choice, second)
}

// shortQueue reports whether fewer requests wait than half the slots.
func shortQueue(r *route.Replica) bool {
	online, _ := r.Estimate()
	return 2*online < 3*r.Slots
}

// attempt is the outcome of waiting at one replica.
type attempt struct {
	slot    Slot
	refusal *core.Refusal
}

// race waits at two replicas. It returns the first slot; if both refuse, the
// last refusal. A second slot is given back unused.
func (d *Dispatcher) race(ctx context.Context, ask Request, choices ...route.Choice) (Slot, *core.Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := make(chan attempt, len(choices))
	for _, choice := range choices {
		go func() {
			slot, refusal := d.try(ctx, ask, choice)
			attempts <- attempt{slot, refusal}
		}()
	}
	var won Slot
	var refusal *core.Refusal
	for range choices {
		a := <-attempts
		switch {
		case a.slot == nil:
			refusal = a.refusal
		case won == nil:
			won = a.slot
			cancel()
		default:
			a.slot.Release(Observation{Cancelled: true})
		}
	}
	if won != nil {
		return won, nil
	}
	return nil, refusal
}
