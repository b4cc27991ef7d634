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
	// viewInterval is how often the view of the members is compared.
	viewInterval = 50 * time.Millisecond
	// listInterval is how often each owner gets the list of this node's
	// reservations with it.
	listInterval = 2 * time.Second
	// checkTimeout bounds the question whether the owner knows the same.
	checkTimeout = 500 * time.Millisecond
	// emptyLists is the number of lists sent to an owner after this node last had
	// a reservation with it. An owner drops what is missing from two
	// consecutive lists, and one may be lost.
	emptyLists = 3
)

// lists is what Run remembers between ticks.
type lists struct {
	mu sync.Mutex
	// owners holds the nodes that get lists and how many empty ones are left.
	owners map[core.NodeID]int
}

// note makes the node get lists, also if the reservation ends before the next.
func (l *lists) note(node core.NodeID) {
	if node == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners[node] = emptyLists
}

// Run registers reservations with the owners until the context ends: with a new
// owner at once, with all owners periodically.
func (d *Dispatcher) Run(ctx context.Context) {
	view := time.NewTicker(viewInterval)
	defer view.Stop()
	list := time.NewTicker(listInterval)
	defer list.Stop()
	var checks sync.WaitGroup
	defer checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-view.C:
			d.OnViewChange()
		case <-list.C:
			// An owner that does not answer must not hold up changes of the
			// view; the check ends well before the next one.
			checks.Go(d.SyncReservations)
		}
	}
}

// OnViewChange moves the reservations of replicas whose owner changed: held
// ones are registered with the new owner, waiting ones are asked for again. Run
// calls it often; reservations already checked against the view cost nothing.
func (d *Dispatcher) OnViewChange() {
	members := d.options.Members()
	now := d.options.Now()
	moved := make(map[core.NodeID][]owner.RegisterItem)
	for _, r := range d.live.all() {
		changed, held := r.move(members)
		if !changed {
			continue
		}
		d.counters.moved.Add(1)
		if held {
			to, _ := r.state()
			moved[to] = append(moved[to], r.item(now))
		} else {
			r.deliver(owner.EventMessage{Kind: owner.EventLost, ID: r.id})
		}
	}
	for node, items := range moved {
		d.register(node, owner.RegisterMessage{Items: items})
	}
}

// SyncReservations compares this node's reservations with those that each owner knows
// and sends the list where they differ.
func (d *Dispatcher) SyncReservations() {
	now := d.options.Now()
	var wait sync.WaitGroup
	defer wait.Wait()
	items := make(map[core.NodeID][]owner.RegisterItem)
	for _, r := range d.live.all() {
		node, phase := r.state()
		if node != "" && (phase == phaseQueued || phase == phaseHeld) {
			items[node] = append(items[node], r.item(now))
			d.lists.note(node)
		}
	}
	for _, node := range d.lists.next() {
		wait.Go(func() {
			if !d.agrees(node, items[node]) {
				d.register(node, owner.RegisterMessage{Items: items[node], Complete: true})
			}
		})
	}
}

// agrees asks an owner whether it knows the same reservations. No answer counts
// as no.
func (d *Dispatcher) agrees(node core.NodeID, items []owner.RegisterItem) bool {
	var sum owner.Summary
	for _, item := range items {
		sum.Add(item.ID, item.Waiting)
	}
	if node == d.options.Messenger.Self() {
		return d.options.Owner.Agrees(node, sum)
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var answer owner.CheckAnswer
	err := d.options.Messenger.Call(ctx, node, owner.KindCheck, sum, &answer)
	return err == nil && answer.Agrees
}

// next returns the nodes that get a list now, sorted.
func (l *lists) next() []core.NodeID {
	l.mu.Lock()
	defer l.mu.Unlock()
	nodes := slices.Sorted(maps.Keys(l.owners))
	for _, node := range nodes {
		if l.owners[node]--; l.owners[node] <= 0 {
			delete(l.owners, node)
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
		// A lost list is repeated at the next interval.
		_ = d.options.Messenger.Send(node, owner.KindRegister, m)
	}
}
