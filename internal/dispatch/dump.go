package dispatch

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// ReservationDump is the state of one reservation of this node.
type ReservationDump struct {
	ID      core.ReservationID `json:"id"`
	Replica core.ReplicaID     `json:"replica"`
	Owner   core.NodeID        `json:"owner"`
	Class   string             `json:"class"`
	Org     core.Org           `json:"org"`
	Held    bool               `json:"held"`
	Unowned bool               `json:"unowned,omitempty"`
	Since   time.Time          `json:"since"`
}

// Dump is the state of a Dispatcher. The arrays are indexed by class.
type Dump struct {
	Acquired     [2]uint64         `json:"acquired"`
	Refused      [2]uint64         `json:"refused"`
	Queued       uint64            `json:"queued"`
	SilentOwners uint64            `json:"silent_owners"`
	Unowned      uint64            `json:"unowned"`
	Moved        uint64            `json:"moved"`
	Reservations []ReservationDump `json:"reservations"`
}

// Dump returns the state of the dispatcher as a value of type Dump.
func (d *Dispatcher) Dump() any {
	c := &d.counters
	dump := Dump{
		Acquired: [2]uint64{c.acquired[0].Load(), c.acquired[1].Load()},
		Refused:  [2]uint64{c.refused[0].Load(), c.refused[1].Load()},
		Queued:   c.queued.Load(), SilentOwners: c.silentOwners.Load(), Unowned: c.unowned.Load(),
		Moved: c.moved.Load(),
	}
	for _, r := range d.live.all() {
		r.mu.Lock()
		dump.Reservations = append(dump.Reservations, ReservationDump{
			ID: r.id, Replica: r.choice.Replica.ID(), Owner: r.owner, Class: r.request.Class.String(),
			Org: r.request.Org, Held: r.phase == phaseHeld, Unowned: r.unowned, Since: r.since,
		})
		r.mu.Unlock()
	}
	return dump
}
