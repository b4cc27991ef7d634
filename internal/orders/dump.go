package orders

import (
	"sort"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// ServiceDump is the state of a Service on a node's dump page.
type ServiceDump struct {
	Replicas []ReplicaDump `json:"replicas"`
	Permits  []PermitDump  `json:"permits"`
	// NextAttempt is when the node next tries to acquire a permit.
	NextAttempt time.Time `json:"next_attempt,omitzero"`
}

// ReplicaDump is the desired and the reported state of one replica, and the
// state of the orders to it.
type ReplicaDump struct {
	Replica  core.ReplicaID `json:"replica"`
	Desired  Desired        `json:"desired"`
	Reported ReportDump     `json:"reported"`
	Last     *OrderDump     `json:"last_order,omitempty"`
	// Waiting is the reason why no order is sent.
	Waiting      Reason    `json:"waiting"`
	WaitingSince time.Time `json:"waiting_for_permit_since,omitzero"`
	// Unsettled is the number of orders whose effect is not certain yet.
	Unsettled int `json:"unsettled_orders"`
}

// ReportDump is the part of an engine's load report that orders depend on.
type ReportDump struct {
	Received      time.Time `json:"received"`
	Models        []string  `json:"models"`
	Role          string    `json:"role"`
	FencingNumber uint64    `json:"fencing_number"`
}

// OrderDump is the last order that was sent to an engine.
type OrderDump struct {
	Kind     string    `json:"kind"`
	Model    string    `json:"model,omitempty"`
	Role     string    `json:"role,omitempty"`
	Number   uint64    `json:"number"`
	Ended    time.Time `json:"ended"`
	Outcome  Outcome   `json:"outcome"`
	Attempts int       `json:"tries"`
}

// PermitDump is a permit that this node holds or is releasing.
type PermitDump struct {
	Index   int            `json:"index"`
	Replica core.ReplicaID `json:"replica"`
	Number  uint64         `json:"number"`
	Renewed time.Time      `json:"renewed"`
	// Used is set once a load was sent under the permit.
	Used      bool `json:"used"`
	Releasing bool `json:"releasing"`
}

// Dump returns a ServiceDump.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	dump := ServiceDump{NextAttempt: s.acquireSchedule.nextAttempt}
	for _, r := range s.replicas {
		dump.Replicas = append(dump.Replicas, r.dump())
		if r.permit != nil {
			dump.Permits = append(dump.Permits, r.permit.dump(false))
		}
	}
	for _, p := range s.releasing {
		dump.Permits = append(dump.Permits, p.dump(true))
	}
	sort.Slice(dump.Replicas, func(i, j int) bool { return dump.Replicas[i].Replica < dump.Replicas[j].Replica })
	sort.Slice(dump.Permits, func(i, j int) bool { return dump.Permits[i].Index < dump.Permits[j].Index })
	return dump
}

func (r *replica) dump() ReplicaDump {
	load := r.report.Load
	d := ReplicaDump{
		Replica: r.id, Desired: r.desired, Waiting: r.reason, WaitingSince: r.waitingSince, Unsettled: len(r.history),
		Reported: ReportDump{Received: r.report.Received, Models: load.Models, Role: load.Role, FencingNumber: load.FencingNumber},
	}
	if r.lastOrder != nil {
		d.Last = &OrderDump{
			Kind: string(r.lastOrder.Order.Kind), Role: r.lastOrder.Order.Role, Number: r.lastOrder.Order.FencingNumber,
			Ended: r.lastOrder.Ended, Outcome: r.lastOrder.Outcome, Attempts: r.lastOrder.Attempts,
		}
		if r.lastOrder.Order.Model != "" {
			d.Last.Model = modelOf(r.lastOrder.Order).String()
		}
	}
	return d
}

func (p *permit) dump(releasing bool) PermitDump {
	return PermitDump{
		Index: p.index, Replica: p.row.Replica, Number: p.row.Number,
		Renewed: p.renewed, Used: p.loadSent, Releasing: releasing,
	}
}
