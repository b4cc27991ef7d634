package orders

import (
	"sort"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// ServiceDump is the state of a Service.
type ServiceDump struct {
	Replicas []ReplicaDump `json:"replicas"`
	Permits  []PermitDump  `json:"permits"`
	// NextAttempt is when the node next tries to get a permit.
	NextAttempt time.Time `json:"next_attempt,omitzero"`
}

// ReplicaDump is the state of the orders to one replica.
type ReplicaDump struct {
	Replica  core.ReplicaID `json:"replica"`
	Desired  Desired        `json:"desired"`
	Reported ReportDump     `json:"reported"`
	Last     *SentDump      `json:"last_order,omitempty"`
	// Waiting says why no order is sent.
	Waiting      Reason    `json:"waiting"`
	WaitingSince time.Time `json:"waiting_for_permit_since,omitzero"`
	Unsettled    int       `json:"unsettled_orders"`
}

// ReportDump is what an engine reported.
type ReportDump struct {
	Received      time.Time `json:"received"`
	Models        []string  `json:"models"`
	Role          string    `json:"role"`
	FencingNumber uint64    `json:"fencing_number"`
}

// SentDump is the last order to an engine.
type SentDump struct {
	Kind    string    `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Role    string    `json:"role,omitempty"`
	Number  uint64    `json:"number"`
	Ended   time.Time `json:"ended"`
	Outcome Outcome   `json:"outcome"`
	Tries   int       `json:"tries"`
}

// PermitDump is a permit that this node holds or releases.
type PermitDump struct {
	Index     int            `json:"index"`
	Replica   core.ReplicaID `json:"replica"`
	Number    uint64         `json:"number"`
	Renewed   time.Time      `json:"renewed"`
	Used      bool           `json:"used"`
	Releasing bool           `json:"releasing"`
}

// Dump returns a ServiceDump.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	dump := ServiceDump{NextAttempt: s.queue.next}
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
	if r.last != nil {
		d.Last = &SentDump{
			Kind: string(r.last.Order.Kind), Role: r.last.Order.Role, Number: r.last.Order.FencingNumber,
			Ended: r.last.Ended, Outcome: r.last.Outcome, Tries: r.last.Tries,
		}
		if r.last.Order.Model != "" {
			d.Last.Model = modelOf(r.last.Order).String()
		}
	}
	return d
}

func (p *permit) dump(releasing bool) PermitDump {
	return PermitDump{
		Index: p.index, Replica: p.row.Replica, Number: p.row.Number,
		Renewed: p.renewed, Used: p.used, Releasing: releasing,
	}
}
