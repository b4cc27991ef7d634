package orders

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
)

// replica holds what the owner of a replica knows about the replica and the
// orders to it. Service.mu guards it.
type replica struct {
	id         core.ReplicaID
	dataCentre core.DataCentre
	address    string
	ownedSince time.Time
	desired    Desired
	report     Report
	history    History
	// fenced and fencedAt are those of Input.
	fenced   uint64
	fencedAt time.Time
	// sending is set while an order is being sent.
	sending   bool
	lastOrder *SentOrder
	reason    Reason
	permit    *permit
	// waitingSince is the time since which a load waits for a permit, or zero.
	waitingSince time.Time
}

// update replaces the desired state, the report and the address, and prunes the
// history.
func (r *replica) update(d *directory.Replica, desired Desired, report Report, c Config, now time.Time) {
	if r.address != d.Address {
		// The new address may belong to another process, which has none of the
		// orders sent to the old one.
		r.history, r.fenced = nil, 0
	}
	r.address, r.dataCentre, r.desired, r.report = d.Address, d.DataCentre, desired, report
	r.history = r.history.Prune(report, desired.HonoursFencing, c, now)
}

func (r *replica) decide(c Config, now time.Time) Decision {
	return Decide(Input{
		Desired: r.desired, Report: r.report, History: r.history, OwnedSince: r.ownedSince,
		Fenced: r.fenced, FencedAt: r.fencedAt, Now: now, Config: c,
	})
}

// recordResult records the outcome of an order.
func (r *replica) recordResult(s SentOrder) {
	r.sending = false
	r.history = r.history.Record(s.Order, s.Ended, s.Outcome)
	if s.Outcome == OutcomeFenced {
		r.fenced, r.fencedAt = s.Order.FencingNumber, s.Ended
	}
	s, _ = r.history.find(s.Order)
	r.lastOrder = &s
}
