package orders

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
)

// replica is what the owner of a replica knows of its orders. The Service's
// lock guards it.
type replica struct {
	id         core.ReplicaID
	dataCentre core.DataCentre
	address    string
	ownedSince time.Time
	desired    Desired
	report     Report
	history    History
	fenced     uint64
	fencedAt   time.Time
	// sending is set while an order is on its way.
	sending bool
	last    *Sent
	reason  Reason
	permit  *permit
	// waitingSince is since when a load waits for a permit, or zero.
	waitingSince time.Time
}

// observe takes over the present inputs.
func (r *replica) observe(d *directory.Replica, desired Desired, report Report, c Config, now time.Time) {
	if r.address != d.Address {
		// Another process may listen at the new address.
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

// finished takes over the outcome of an order.
func (r *replica) finished(s Sent) {
	r.sending = false
	r.history = r.history.Record(s.Order, s.Ended, s.Outcome)
	if s.Outcome == OutcomeFenced {
		r.fenced, r.fencedAt = s.Order.FencingNumber, s.Ended
	}
	s, _ = r.history.find(s.Order)
	r.last = &s
}
