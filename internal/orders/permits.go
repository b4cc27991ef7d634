package orders

import (
	"context"
	"errors"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// errNotSent means that an order was not sent because its reasons changed.
var errNotSent = errors.New("order not sent")

// acquire tries to get a permit for the replica that waits longest.
func (s *Service) acquire(ctx context.Context, now time.Time) {
	r := s.longestWaiting()
	if r == nil {
		if !s.queue.busy {
			s.queue = queue{}
		}
		return
	}
	s.queue.begin(now, s.cfg, s.options.Random())
	if s.queue.busy || now.Before(s.queue.next) {
		return
	}
	s.queue.busy = true
	number := r.desired.Number
	s.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
		p, how, err := s.table.take(callCtx, r.id, number)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.acquired(r, p, how, err)
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

// acquired takes over the outcome of an attempt.
func (s *Service) acquired(r *replica, p *permit, how taking, err error) {
	now := s.options.Now()
	s.queue.busy = false
	if err != nil {
		s.queue.failed(now, s.cfg, len(s.options.Members().Members()), s.options.Random())
		s.options.Scope.Counter("permit_waits").Inc(1)
		if !errors.Is(err, errNoPermit) {
			s.event("permit not taken", r.id, "error", err)
		}
		return
	}
	s.queue = queue{}
	s.options.Scope.Tagged(map[string]string{"how": string(how)}).Counter("permits_taken").Inc(1)
	s.event("permit taken", r.id, "permit", p.index, "how", how, "number", p.row.Number)
	p.tried = now
	if s.replicas[r.id] != r || r.permit != nil {
		// A permit that was adopted stands for a load that may be running.
		p.handOver = how == takingAdopted
		s.releasing = append(s.releasing, p)
		return
	}
	r.permit = p
}

// give begins the release of a replica's permit.
func (s *Service) give(r *replica) {
	r.permit.tried = time.Time{}
	s.releasing = append(s.releasing, r.permit)
	r.permit = nil
}

// renewAll renews the permits that are held and goes on with releases.
func (s *Service) renewAll(ctx context.Context) {
	now := s.options.Now()
	for _, r := range s.replicas {
		p := r.permit
		if p == nil || p.busy || now.Sub(p.renewed) < s.cfg.RenewEvery || !s.mayTry(p, now) {
			continue
		}
		s.work(ctx, p, now, s.table.renew, func(err error) { s.renewed(r, p, err) })
	}
	for _, p := range slices.Clone(s.releasing) {
		if !p.busy && s.mayTry(p, now) {
			s.work(ctx, p, now, s.table.release, func(err error) { s.released(p, err) })
		}
	}
}

// mayTry bounds the writes after a failure.
func (s *Service) mayTry(p *permit, now time.Time) bool {
	return now.Sub(p.tried) >= s.cfg.RenewEvery/5
}

func (s *Service) work(ctx context.Context, p *permit, now time.Time,
	call func(context.Context, *permit) error, done func(error)) {
	p.busy, p.tried = true, now
	copied := *p // the call changes it without the lock
	s.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
		err := call(callCtx, &copied)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		p.busy = false
		p.row, p.version, p.renewed, p.attempts = copied.row, copied.version, copied.renewed, copied.attempts
		done(err)
	})
}

func (s *Service) renewed(r *replica, p *permit, err error) {
	switch {
	case err == nil:
		s.options.Scope.Counter("permits_renewed").Inc(1)
	case errors.Is(err, errPermitLost):
		s.options.Scope.Counter("permits_lost").Inc(1)
		s.event("permit lost", p.row.Replica, "permit", p.index)
		if r.permit == p {
			r.permit = nil
		}
		s.releasing = slices.DeleteFunc(s.releasing, func(q *permit) bool { return q == p })
	default:
		s.event("permit not renewed", p.row.Replica, "permit", p.index, "error", err)
	}
}

// released ends a release. One that cannot be confirmed for two lengths is
// dropped: others have taken the permit over by then.
func (s *Service) released(p *permit, err error) {
	if err != nil && s.options.Now().Sub(p.renewed) < 2*s.cfg.PermitLength {
		if !errors.Is(err, infra.ErrOutcomeUnknown) {
			s.event("permit not released", p.row.Replica, "permit", p.index, "error", err)
		}
		return
	}
	s.releasing = slices.DeleteFunc(s.releasing, func(q *permit) bool { return q == p })
	s.options.Scope.Counter("permits_released").Inc(1)
	s.event("permit released", p.row.Replica, "permit", p.index, "handed_over", p.handOver)
}

func (s *Service) event(message string, replica core.ReplicaID, attrs ...any) {
	s.options.Logger.Info(message, append([]any{"replica", replica}, attrs...)...)
}
