package streamversion

import (
	"sort"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Dump is the state of a Service.
type Dump struct {
	Services []DumpService `json:"services"`
	// Fresh is set if the versions are recent enough to be relied on without the store.
	Fresh bool `json:"fresh"`
	// Pending is the number of streams whose row is to be written, Rows that of rows that
	// this node will delete, and Remembered that of streams that it remembers.
	Pending    int `json:"records_pending"`
	Rows       int `json:"records_kept"`
	Remembered int `json:"streams_remembered"`
}

// DumpService is one service in a Dump.
type DumpService struct {
	Service     core.DeploymentID      `json:"service"`
	Base        core.SoftwareVersion   `json:"base"`
	BaseSinceMS int64                  `json:"base_since_ms,omitempty"`
	Others      []core.SoftwareVersion `json:"others"`
}

// Dump returns the current state.
func (s *Service) Dump() Dump {
	d := Dump{Services: []DumpService{}, Fresh: s.fresh(time.Now()), Remembered: s.memory.len()}
	for service, v := range s.table.all() {
		d.Services = append(d.Services, DumpService{Service: service, Base: v.Base, BaseSinceMS: v.BaseSince.Milliseconds(), Others: v.Others})
	}
	sort.Slice(d.Services, func(i, j int) bool { return d.Services[i].Service < d.Services[j].Service })
	for _, w := range s.writers {
		pending, rows := w.counts()
		d.Pending, d.Rows = d.Pending+pending, d.Rows+rows
	}
	return d
}
