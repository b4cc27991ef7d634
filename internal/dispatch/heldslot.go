package dispatch

import (
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/route"
)

// heldSlot implements Slot by a held reservation.
type heldSlot struct {
	dispatcher         *Dispatcher
	reservation        *reservation
	released           atomic.Bool
	firstTokenReported atomic.Bool
}

// Replica returns the replica's ID.
func (s *heldSlot) Replica() core.ReplicaID { return s.reservation.choice.Replica.ID() }

// Address returns the IP and port of the backend server.
func (s *heldSlot) Address() string { return s.reservation.choice.Replica.Info.Address }

// Preempted returns a channel that is closed when the owner preempts the slot.
func (s *heldSlot) Preempted() <-chan struct{} { return s.reservation.preempted }

// ReportFirstToken implements FirstTokenReporter.
func (s *heldSlot) ReportFirstToken(after time.Duration) {
	if after <= 0 || s.released.Load() || !s.firstTokenReported.CompareAndSwap(false, true) {
		return
	}
	s.dispatcher.reportFirstToken(s.reservation, after)
}

// Release releases the slot. Further calls are ignored.
func (s *heldSlot) Release(o Observation) {
	if s.released.CompareAndSwap(false, true) {
		s.dispatcher.release(s.reservation, o, s.firstTokenReported.Load())
	}
}

func (d *Dispatcher) reportFirstToken(r *reservation, after time.Duration) {
	ratio, duration := d.ejectionSettings(r.request.Deployment)
	d.router.Observe(r.choice.Replica.ID(), route.Observation{
		FirstToken: after, InProgress: true, Probe: r.choice.Probe,
		EjectRatio: ratio, EjectDuration: duration, Now: d.options.Now(),
	})
	m := owner.ObserveMessage{Replica: r.choice.Replica.ID(), Latency: owner.LatencySample{FirstToken: after}}
	switch node, _ := r.ownerAndPhase(); node {
	case "":
	case d.options.Messenger.Self():
		d.options.Owner.Observe(m)
	default:
		// If the report is lost, the owner lacks one observation.
		_ = d.options.Messenger.Send(node, owner.KindObserve, m)
	}
}

func (d *Dispatcher) release(r *reservation, o Observation, firstTokenReported bool) {
	d.live.remove(r.id)
	r.choice.Replica.RemoveRequest(r.request.Class)
	ratio, duration := d.ejectionSettings(r.request.Deployment)
	observation := route.Observation{
		Failed: o.Failed, Cancelled: o.Cancelled, FirstToken: o.FirstToken, Total: o.Total,
		Tokens: o.Tokens, Probe: r.choice.Probe, FirstTokenReported: firstTokenReported, Now: d.options.Now(),
		EjectRatio: ratio, EjectDuration: duration,
	}
	probePassed := d.router.Observe(r.choice.Replica.ID(), observation)
	d.sendRelease(r, owner.ReleaseMessage{
		Replica: r.choice.Replica.ID(), ID: r.id, Completed: !o.Failed && !o.Cancelled,
		ProbePassed: probePassed, Latency: unreportedLatency(observation),
	})
}

// unreportedLatency returns the part of an observation that has not been reported
// to the owner yet.
func unreportedLatency(o route.Observation) owner.LatencySample {
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
