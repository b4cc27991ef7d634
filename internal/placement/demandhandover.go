package placement

import (
	"context"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// A hub that takes over in a rush would take the demand of that for the usual one. So each
// hub tells those that would follow it what the organisations usually ask for.

const (
	// kindDemands is a one-way message from a hub to the other hubs of a group.
	kindDemands = "placement.demands"
	// demandsInterval is the time between two of these messages. The averages span 30 s.
	demandsInterval = 5 * time.Second
	// demandsRetention is how long a hub uses what the former one has measured.
	demandsRetention = time.Minute
	// maxToldDemands bounds the organisations in a message, to about 30 KiB. Those with
	// the largest demand are told; the others begin with the least share.
	maxToldDemands = 1024
)

// usualDemands is what the organisations usually ask of a group.
type usualDemands struct {
	Group group `msgpack:"s"`
	// Measured is the time over which the hub has averaged.
	Measured time.Duration `msgpack:"m"`
	Orgs     []orgDemand   `msgpack:"o"`
}

// orgDemand is the usual demand of one organisation.
type orgDemand struct {
	//lint:ignore U1000 read by the codec
	_msgpack  struct{} `msgpack:",as_array"`
	Org       core.Org
	PerSecond float64
}

// toldDemands are the demands that a hub has told last.
type toldDemands struct {
	usualDemands
	receivedAt time.Time
}

// usual returns the demands for the other hubs, or nil if there are none yet or there are
// no organisations to be told apart.
func (t *turns) usual(g group) *usualDemands {
	if !t.known || !t.binding() {
		return nil
	}
	out := &usualDemands{Group: g, Measured: t.measured, Orgs: make([]orgDemand, 0, len(t.accounts))}
	for org, a := range t.accounts {
		out.Orgs = append(out.Orgs, orgDemand{Org: org, PerSecond: a.demand.perSecond})
	}
	slices.SortFunc(out.Orgs, func(a, b orgDemand) int {
		switch {
		case a.PerSecond > b.PerSecond:
			return -1
		case a.PerSecond < b.PerSecond:
			return 1
		}
		return 0
	})
	out.Orgs = out.Orgs[:min(len(out.Orgs), maxToldDemands)]
	return out
}

// adopt begins with what another hub has measured, if there is any, in place of the little
// that this one has measured.
func (t *turns) adopt(d *usualDemands, now time.Time) {
	if d == nil || t.known {
		return
	}
	t.beganAt, t.updatedAt = now.Add(-d.Measured), now
	for _, o := range d.Orgs {
		t.account(o.Org, 0).demand.perSecond = o.PerSecond
	}
	t.derive(t.accounts, d.Measured)
}

// prepareDemands returns a function that tells the demands to the other hubs of a group.
// It is called without the lock.
func (h *hub) prepareDemands(g group, state *groupState, now time.Time) func() {
	if now.Sub(state.demandsSentAt) < demandsInterval {
		return func() {}
	}
	state.demandsSentAt = now
	demands := state.onlineTurns.usual(g)
	if demands == nil {
		return func() {}
	}
	return func() { h.tellDemands(demands, now) }
}

// tellDemands keeps the demands for when this node is the hub again, and tells them to the
// other hubs.
func (s *Service) tellDemands(d *usualDemands, now time.Time) {
	s.keepDemands(d, now)
	for _, id := range s.usableHubs(d.Group) {
		if id == s.Transport.Self() {
			continue
		}
		if err := s.Transport.Send(id, kindDemands, d); err != nil {
			s.Log.Debug("cannot tell the usual demands", "node", id, "error", err)
		}
	}
}

// keepDemands keeps what a hub has measured, unless another one has measured for longer.
func (s *Service) keepDemands(d *usualDemands, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.demands[d.Group]
	if last == nil || d.Measured >= last.Measured || now.Sub(last.receivedAt) > demandsRetention {
		s.demands[d.Group] = &toldDemands{usualDemands: *d, receivedAt: now}
	}
}

func (s *Service) handleDemands(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var d usualDemands
	if err := msgpack.Unmarshal(body, &d); err != nil {
		return nil, err
	}
	d.Measured = min(max(d.Measured, shareInterval), usualWindow)
	s.keepDemands(&d, time.Now())
	return nil, nil
}

// formerDemands returns what a hub of a group has told lately, or nil.
func (s *Service) formerDemands(g group, now time.Time) *usualDemands {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.demands[g]
	if last == nil || now.Sub(last.receivedAt) > demandsRetention {
		return nil
	}
	return &last.usualDemands
}
