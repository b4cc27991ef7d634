package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/owner"
)

const (
	// viewCheckInterval is how often reservations are compared with the
	// membership view.
	viewCheckInterval = 50 * time.Millisecond
	// syncInterval is how often this node's reservations are compared with those
	// of each owner.
	syncInterval = 2 * time.Second
	// checkTimeout is the timeout of the comparison with one owner.
	checkTimeout = 500 * time.Millisecond
	// trailingSyncs is the number of comparisons with an owner after this node last
	// had a reservation with it. An owner drops reservations that are missing from
	// two consecutive lists, and one list may be lost.
	trailingSyncs = 3
)

// syncTargets is the set of owners with which SyncReservations compares this
// node's reservations.
type syncTargets struct {
	mu sync.Mutex
	// remaining is the number of comparisons still to be made with each node.
	remaining map[core.NodeID]int
}

// add schedules trailingSyncs more comparisons with the node, even if the
// reservation ends before the next one.
func (l *syncTargets) add(node core.NodeID) {
	if node == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remaining[node] = trailingSyncs
}

// Run keeps the owners' records of this node's reservations up to date until ctx is
// done: it calls OnViewChange often and SyncReservations every syncInterval.
func (d *Dispatcher) Run(ctx context.Context) {
	viewTicker := time.NewTicker(viewCheckInterval)
	defer viewTicker.Stop()
	syncTicker := time.NewTicker(syncInterval)
	defer syncTicker.Stop()
	var checks sync.WaitGroup
	defer checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-viewTicker.C:
			d.OnViewChange()
		case <-syncTicker.C:
			// Runs in the background, because an owner that does not answer must
			// not delay changes of the view. checkTimeout ends it well before
			// the next comparison.
			checks.Go(d.SyncReservations)
		}
	}
}

// OnViewChange moves the reservations of replicas whose owner changed: held
// ones are registered with the new owner, waiting ones are requested again. Run
// calls it often; for reservations already checked against the view it does
// nothing.
func (d *Dispatcher) OnViewChange() {
	members := d.options.Members()
	now := d.options.Now()
	moved := make(map[core.NodeID][]owner.RegisterItem)
	for _, r := range d.live.all() {
		changed, held := r.updateOwner(members)
		if !changed {
			continue
		}
		d.counters.moved.Add(1)
		if held {
			to, _ := r.ownerAndPhase()
			moved[to] = append(moved[to], r.registerItem(now))
		} else {
			r.deliver(owner.EventMessage{Kind: owner.EventLost, ID: r.id})
		}
	}
	for node, items := range moved {
		d.register(node, owner.RegisterMessage{Items: items})
	}
}

// SyncReservations compares this node's reservations with those that each owner has
// recorded and sends the complete list where they differ.
func (d *Dispatcher) SyncReservations() {
	now := d.options.Now()
	var wait sync.WaitGroup
	defer wait.Wait()
	items := make(map[core.NodeID][]owner.RegisterItem)
	for _, r := range d.live.all() {
		node, phase := r.ownerAndPhase()
		if node != "" && (phase == phaseQueued || phase == phaseHeld) {
			items[node] = append(items[node], r.registerItem(now))
			d.syncTargets.add(node)
		}
	}
	for _, node := range d.syncTargets.due() {
		wait.Go(func() {
			if !d.ownerMatches(node, items[node]) {
				d.register(node, owner.RegisterMessage{Items: items[node], Complete: true})
			}
		})
	}
}

// ownerMatches asks an owner whether it has recorded the same reservations. It
// returns false if the owner does not answer.
func (d *Dispatcher) ownerMatches(node core.NodeID, items []owner.RegisterItem) bool {
	var sum owner.Summary
	for _, item := range items {
		sum.Add(item.ID, item.Waiting)
	}
	if node == d.options.Messenger.Self() {
		return d.options.Owner.MatchesSummary(node, sum)
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var response owner.CheckResponse
	err := d.options.Messenger.Call(ctx, node, owner.KindCheck, sum, &response)
	return err == nil && response.Matches
}

// due returns the nodes to compare with now, sorted, and decrements their
// remaining comparisons.
func (l *syncTargets) due() []core.NodeID {
	l.mu.Lock()
	defer l.mu.Unlock()
	nodes := slices.Sorted(maps.Keys(l.remaining))
	for _, node := range nodes {
		if l.remaining[node]--; l.remaining[node] <= 0 {
			delete(l.remaining, node)
		}
	}
	return nodes
}

func (d *Dispatcher) register(node core.NodeID, m owner.RegisterMessage) {
	switch node {
	case "":
	case d.options.Messenger.Self():
		d.options.Owner.Register(node, m)
	default:
		// If the message is lost, the next SyncReservations finds the difference.
		_ = d.options.Messenger.Send(node, owner.KindRegister, m)
	}
}
