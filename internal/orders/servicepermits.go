package orders

import (
	"context"
	"errors"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// errNotSent means that an order was not sent because ownership, the settings
// or the permit changed after the decision.
var errNotSent = errors.New("order not sent: it is no longer valid")

// acquire starts an attempt to acquire a permit for the replica that has waited
// longest, if one is due.
func (s *Service) acquire(ctx context.Context, now time.Time) {
	r := s.longestWaiting()
	if r == nil {
		if !s.acquireSchedule.inFlight {
			s.acquireSchedule = acquireSchedule{}
		}
		return
	}
	s.acquireSchedule.start(now, s.cfg, s.options.Random())
	if s.acquireSchedule.inFlight || now.Before(s.acquireSchedule.nextAttempt) {
		return
	}
	s.acquireSchedule.inFlight = true
	number := r.desired.Number
	s.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
		p, kind, err := s.table.acquire(callCtx, r.id, number)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.acquired(r, p, kind, err)
	})
}

func (s *Service) longestWaiting() *replica {
	var first *replica
	for _, r := range s.replicas {
		if r.waitingSince.IsZero() || r.permit != nil {
			continue
		}
		if first == nil || r.waitingSince.Before(first.waitingSince) ||
			(r.waitingSince.Equal(first.waitingSince) && r.id < first.id) {
			first = r
		}
	}
	return first
}

// acquired records the outcome of an attempt to acquire a permit.
func (s *Service) acquired(r *replica, p *permit, kind acquireKind, err error) {
	now := s.options.Now()
	s.acquireSchedule.inFlight = false
	if err != nil {
		s.acquireSchedule.backOff(now, s.cfg, len(s.options.Members().Members()), s.options.Random())
		s.options.Scope.Counter("permit_waits").Inc(1)
		if !errors.Is(err, errNoPermit) {
			s.logEvent("failed to acquire permit", r.id, "error", err)
		}
		return
	}
	s.acquireSchedule = acquireSchedule{}
	s.options.Scope.Tagged(map[string]string{"how": string(kind)}).Counter("permits_taken").Inc(1)
	s.logEvent("permit acquired", r.id, "permit", p.index, "how", kind, "number", p.row.Number)
	p.lastAttempt = now
	if s.replicas[r.id] != r || r.permit != nil {
		// An adopted permit accounts for a load that may still be running.
		p.handOver = kind == acquiredAdopted
		s.releasing = append(s.releasing, p)
		return
	}
	r.permit = p
}

// startRelease queues a replica's permit for release.
func (s *Service) startRelease(r *replica) {
	r.permit.lastAttempt = time.Time{}
	s.releasing = append(s.releasing, r.permit)
	r.permit = nil
}

// renewAndRelease renews the held permits that are due and retries unconfirmed
// releases.
func (s *Service) renewAndRelease(ctx context.Context) {
	now := s.options.Now()
	for _, r := range s.replicas {
		p := r.permit
		if p == nil || p.inFlight || now.Sub(p.renewed) < s.cfg.RenewInterval || !s.attemptDue(p, now) {
			continue
		}
		s.startCall(ctx, p, now, s.table.renew, func(err error) { s.renewed(r, p, err) })
	}
	for _, p := range slices.Clone(s.releasing) {
		if !p.inFlight && s.attemptDue(p, now) {
			s.startCall(ctx, p, now, s.table.release, func(err error) { s.released(p, err) })
		}
	}
}

// attemptDue reports whether another call for the permit may start. It limits
// the rate of writes after a failure.
func (s *Service) attemptDue(p *permit, now time.Time) bool {
	return now.Sub(p.lastAttempt) >= s.cfg.RenewInterval/5
}

// startCall runs a call of the table service for a permit in the background and
// passes its error to done, with s.mu held.
func (s *Service) startCall(ctx context.Context, p *permit, now time.Time,
	call func(context.Context, *permit) error, done func(error)) {
	p.inFlight, p.lastAttempt = true, now
	copied := *p // the call modifies it without holding s.mu
	s.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
		err := call(callCtx, &copied)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		p.inFlight = false
		p.row, p.version, p.renewed, p.lastCounter = copied.row, copied.version, copied.renewed, copied.lastCounter
		done(err)
	})
}

// renewed records the outcome of a renewal.
func (s *Service) renewed(r *replica, p *permit, err error) {
	switch {
	case err == nil:
		s.options.Scope.Counter("permits_renewed").Inc(1)
	case errors.Is(err, errPermitLost):
		s.options.Scope.Counter("permits_lost").Inc(1)
		s.logEvent("permit lost", p.row.Replica, "permit", p.index)
		if r.permit == p {
			r.permit = nil
		}
		s.releasing = slices.DeleteFunc(s.releasing, func(q *permit) bool { return q == p })
	default:
		s.logEvent("failed to renew permit", p.row.Replica, "permit", p.index, "error", err)
	}
}

// released records the outcome of a release. A release that is not confirmed
// within two PermitTTL of the last renewal is dropped: the permit has expired
// for the other nodes by then.
func (s *Service) released(p *permit, err error) {
	if err != nil && s.options.Now().Sub(p.renewed) < 2*s.cfg.PermitTTL {
		if !errors.Is(err, infra.ErrOutcomeUnknown) {
			s.logEvent("failed to release permit", p.row.Replica, "permit", p.index, "error", err)
		}
		return
	}
	s.releasing = slices.DeleteFunc(s.releasing, func(q *permit) bool { return q == p })
	s.options.Scope.Counter("permits_released").Inc(1)
	s.logEvent("permit released", p.row.Replica, "permit", p.index, "handed_over", p.handOver)
}

func (s *Service) logEvent(message string, replica core.ReplicaID, attrs ...any) {
	s.options.Logger.Info(message, append([]any{"replica", replica}, attrs...)...)
}
