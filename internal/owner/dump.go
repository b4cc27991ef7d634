package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// ReservationDump is the state of one reservation.
type ReservationDump struct {
	ID     core.ReservationID `json:"id"`
	Holder core.NodeID        `json:"holder"`
	Class  string             `json:"class"`
	Org    core.Org           `json:"org"`
	Status string             `json:"status"`
	Since  time.Time          `json:"since"`
	Tokens int                `json:"tokens,omitempty"`
}

// LedgerDump is the state of one ledger.
type LedgerDump struct {
	Replica      core.ReplicaID    `json:"replica"`
	Owned        bool              `json:"owned"`
	Limits       Limits            `json:"limits"`
	Load         Load              `json:"load"`
	MeanService  time.Duration     `json:"mean_service_ns"`
	Counters     Counters          `json:"counters"`
	Reservations []ReservationDump `json:"reservations"`
}

// Dump returns the state of the ledger, without Owned, which Service sets.
func (l *Ledger) Dump() LedgerDump {
	dump := LedgerDump{
		Replica:     l.replica,
		Limits:      l.limits,
		Load:        l.Load(),
		MeanService: time.Duration(l.meanServiceTime(core.ClassOnline) * float64(time.Second)),
		Counters:    l.counters,
	}
	for _, list := range [][]*reservation{l.held, l.waiting} {
		for _, entry := range list {
			dump.Reservations = append(dump.Reservations, ReservationDump{
				ID: entry.ID, Holder: entry.Holder, Class: entry.Class.String(), Org: entry.Org,
				Status: entry.status.String(), Since: entry.since, Tokens: entry.Tokens,
			})
		}
	}
	return dump
}
