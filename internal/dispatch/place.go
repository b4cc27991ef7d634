package dispatch

import (
	"context"
	"slices"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/route"
)

// place requests a slot on the chosen replica. If online work may wait and the
// queues are short, it waits at two replicas and takes the first slot that it is
// granted. It does not if the queues are long, because that would only double
// their length.
func (d *Dispatcher) place(ctx context.Context, request Request, choice route.Choice, excluded []core.ReplicaID) (Slot, *core.Refusal) {
	if request.NoWait || request.Class != core.ClassOnline || choice.Probe || !shortQueue(choice.Replica) {
		return d.tryReplica(ctx, request, choice)
	}
	second := d.choose(request, append(slices.Clone(excluded), choice.Replica.ID()))
	if second.Probe {
		second.Replica.EndProbe()
	}
	if second.Replica == nil || second.Probe || !shortQueue(second.Replica) {
		return d.tryReplica(ctx, request, choice)
	}
	return d.race(ctx, request, choice, second)
}

// shortQueue reports whether the number of waiting online requests is less than
// half the number of slots, by estimate.
func shortQueue(r *route.Replica) bool {
	online, _ := r.Estimate()
	return 2*online < 3*r.Slots
}

// raceResult is the result of a request at one of the replicas in a race.
type raceResult struct {
	slot    Slot
	refusal *core.Refusal
}

// race requests a slot on each of the replicas at the same time. It returns the
// first slot that is granted and cancels the other requests, or the last refusal
// if all refuse. A second slot is released unused.
func (d *Dispatcher) race(ctx context.Context, request Request, choices ...route.Choice) (Slot, *core.Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan raceResult, len(choices))
	for _, choice := range choices {
		go func() {
			slot, refusal := d.tryReplica(ctx, request, choice)
			results <- raceResult{slot, refusal}
		}()
	}
	var winner Slot
	var refusal *core.Refusal
	for range choices {
		result := <-results
		switch {
		case result.slot == nil:
			refusal = result.refusal
		case winner == nil:
			winner = result.slot
			cancel()
		default:
			result.slot.Release(Observation{Cancelled: true})
		}
	}
	if winner != nil {
		return winner, nil
	}
	return nil, refusal
}
