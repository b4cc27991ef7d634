package dispatch

import (
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/route"
)

// slot is a held reservation.
type slot struct {
	dispatcher  *Dispatcher
	reservation *reservation
	released    atomic.Bool
	// reported is set once the first token was reported.
	reported atomic.Bool
}

// Replica returns the replica's id.
func (s *slot) Replica() core.ReplicaID { return s.reservation.choice.Replica.ID() }

// Address returns the IP and port of the backend server.
func (s *slot) Address() string { return s.reservation.choice.Replica.Info.Address }

// Preempted is closed when the owner wants the slot back.
func (s *slot) Preempted() <-chan struct{} { return s.reservation.preempted }

// ReportFirstToken implements FirstTokenReporter.
func (s *slot) ReportFirstToken(after time.Duration) {
	if after <= 0 || s.released.Load() || !s.reported.CompareAndSwap(false, true) {
		return
	}
	s.dispatcher.reportFirstToken(s.reservation, after)
}

// Release gives the slot back. A second call is ignored.
func (s *slot) Release(o Observation) {
	if s.released.CompareAndSwap(false, true) {
		s.dispatcher.release(s.reservation, o, s.reported.Load())
	}
}

func (d *Dispatcher) reportFirstToken(r *reservation, after time.Duration) {
	ratio, duration := d.ejection(r.ask.Deployment)
	d.router.Observe(r.choice.Replica.ID(), route.Observation{
		FirstToken: after, InProgress: true, Probe: r.choice.Probe,
		EjectRatio: ratio, EjectDuration: duration, Now: d.options.Now(),
	})
	m := owner.ObserveMessage{Replica: r.choice.Replica.ID(), Latency: owner.LatencySample{FirstToken: after}}
	switch node, _ := r.state(); node {
	case "":
	case d.options.Messenger.Self():
		d.options.Owner.Observe(m)
	default:
		// A lost report is one observation less.
		_ = d.options.Messenger.Send(node, owner.KindObserve, m)
	}
}

func (d *Dispatcher) release(r *reservation, o Observation, reported bool) {
	d.live.remove(r.id)
	r.choice.Replica.RemoveRequest(r.ask.Class)
	ratio, duration := d.ejection(r.ask.Deployment)
	seen := route.Observation{
		Failed: o.Failed, Cancelled: o.Cancelled, FirstToken: o.FirstToken, Total: o.Total,
		Tokens: o.Tokens, Probe: r.choice.Probe, FirstTokenReported: reported, Now: d.options.Now(),
		EjectRatio: ratio, EjectDuration: duration,
	}
	good := d.router.Observe(r.choice.Replica.ID(), seen)
	d.sendRelease(r, owner.ReleaseMessage{
		Replica: r.choice.Replica.ID(), ID: r.id, Completed: !o.Failed && !o.Cancelled,
		ProbePassed: good, Latency: speed(seen),
	})
}

// speed returns what the owner has not been told yet.
func speed(o route.Observation) owner.LatencySample {
	s := owner.LatencySample{PerToken: o.PerToken()}
	switch {
	case o.FirstTokenReported:
	case o.FirstToken > 0:
		s.FirstToken = o.FirstToken
	case o.Cancelled && o.Tokens == 0:
		s.Waited = o.Total
	}
	return s
}
