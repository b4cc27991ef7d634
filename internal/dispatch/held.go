package dispatch

import (
	"sync/atomic"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/route"
)

// slot is a held reservation.
type slot struct {
	dispatcher  *Dispatcher
	reservation *reservation
	released    atomic.Bool
}

// Replica returns the replica's id.
func (s *slot) Replica() core.ReplicaID { return s.reservation.choice.Replica.ID() }

// Address returns the IP and port of the backend server.
func (s *slot) Address() string { return s.reservation.choice.Replica.Info.Address }

// Preempted is closed when the owner wants the slot back.
func (s *slot) Preempted() <-chan struct{} { return s.reservation.preempted }

// Release gives the slot back. A second call is ignored.
func (s *slot) Release(o Observation) {
	if s.released.CompareAndSwap(false, true) {
		s.dispatcher.release(s.reservation, o)
	}
}

func (d *Dispatcher) release(r *reservation, o Observation) {
	d.live.remove(r.id)
	r.choice.Replica.Done(r.ask.Class)
	ratio, duration := d.ejection(r.ask.Deployment)
	seen := route.Observation{
		Failed: o.Failed, Cancelled: o.Cancelled, FirstToken: o.FirstToken, Total: o.Total,
		Tokens: o.Tokens, Probe: r.choice.Probe, Now: d.options.Now(),
		EjectRatio: ratio, EjectDuration: duration,
	}
	d.router.Observe(r.choice.Replica.ID(), seen)
	d.sendRelease(r, owner.ReleaseMessage{
		Replica: r.choice.Replica.ID(), ID: r.id, Completed: !o.Failed && !o.Cancelled,
		FirstToken: seen.FirstToken, PerToken: seen.PerToken(),
	})
}
