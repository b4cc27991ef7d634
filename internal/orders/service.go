package orders

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/membership"
)

// Service orders the engines of the replicas that this node owns. Its methods
// are safe for concurrent use.
type Service struct {
	options Options
	cfg     Config
	table   *permitTable
	// spawn runs a call to an engine or the table; tests run it in place.
	spawn func(func())
	tasks sync.WaitGroup

	mu       sync.Mutex
	replicas map[core.ReplicaID]*replica
	queue    queue
	// releasing holds the permits whose release is not confirmed yet.
	releasing []*permit
}

// NewService returns a service that does nothing until Run.
func NewService(o Options) *Service {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.Scope = o.Scope.SubScope("orders")
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	o.Config = o.Config.withDefaults()
	node := o.Members().Self()
	s := &Service{options: o, cfg: o.Config, replicas: make(map[core.ReplicaID]*replica)}
	s.spawn = func(f func()) { s.tasks.Go(f) }
	s.table = &permitTable{
		table: o.Table, cfg: o.Config, now: o.Now, node: node,
		process: fmt.Sprintf("%s/%d", node, o.Incarnation),
	}
	return s
}

// Run looks at all replicas until ctx ends. It then hands over its permits and
// waits for the calls that it started.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.Interval)
	defer ticker.Stop()
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			s.stop(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) stop(ctx context.Context) {
	s.tasks.Wait()
	s.mu.Lock()
	for _, r := range s.replicas {
		s.disown(r)
	}
	s.renewAll(ctx)
	s.mu.Unlock()
	s.tasks.Wait()
}

// tick looks once at all replicas and permits.
func (s *Service) tick(ctx context.Context) {
	members, view, current := s.options.Members(), s.options.Replicas(), s.options.Settings()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for id, r := range s.replicas {
		if !owns(members, view.Replica(id)) {
			s.disown(r)
		}
	}
	for i := range view.All() {
		d := &view.All()[i]
		desired := DesiredOf(current, current.Deployment(d.Deployment))
		r := s.replicas[d.ID]
		if r == nil {
			if desired.wantsNothing() || !owns(members, d) {
				continue
			}
			r = &replica{id: d.ID, ownedSince: now}
			s.replicas[d.ID] = r
		}
		r.observe(d, desired, s.options.Report(d.ID), s.cfg, now)
		s.act(ctx, r, now)
	}
	s.acquire(ctx, now)
	s.renewAll(ctx)
}

// owns reports whether this node is the present owner of a replica. Most
// replicas of the view are in other data centres and are told apart at once.
func owns(members *membership.View, d *directory.Replica) bool {
	if d == nil {
		return false
	}
	if self, ok := members.Member(members.Self()); !ok || (d.DataCentre != "" && d.DataCentre != self.DataCentre) {
		return false
	}
	owner, ok := members.Owner(string(d.ID), d.DataCentre)
	return ok && owner == members.Self()
}

// disown ends the work on a replica whose ownership moved. The load that may
// be running stays accounted for until the next owner adopts the permit.
func (s *Service) disown(r *replica) {
	delete(s.replicas, r.id)
	if r.permit != nil {
		r.permit.handOver = r.permit.used
		s.give(r)
	}
}

// act decides on a replica and sends the order, if there is one.
func (s *Service) act(ctx context.Context, r *replica, now time.Time) {
	if r.sending {
		return
	}
	d := r.decide(s.cfg, now)
	load := d.Reason == "" && d.Order.Kind == backend.OrderLoad
	if p := r.permit; p != nil && ((p.used && !d.Loading) || (!p.used && !load)) {
		s.give(r)
	}
	reason := d.Reason
	if load {
		reason = s.permitted(r, now)
	} else {
		r.waitingSince = time.Time{}
	}
	s.note(r, reason)
	if reason == "" {
		s.send(ctx, r, d.Order)
	}
}

// permitted returns the reason for which a load may not be sent now.
func (s *Service) permitted(r *replica, now time.Time) Reason {
	switch {
	case r.permit == nil:
		if r.waitingSince.IsZero() {
			r.waitingSince = now
		}
		return ReasonNoPermit
	case !r.permit.valid(now, s.cfg):
		return ReasonPermitOld
	}
	r.waitingSince = time.Time{}
	return ""
}

// note counts and logs a change of the reason.
func (s *Service) note(r *replica, reason Reason) {
	if reason == r.reason {
		return
	}
	r.reason = reason
	if reason == ReasonOldSettings {
		s.options.Scope.Counter("old_settings").Inc(1)
		s.options.Logger.Warn("no order: settings are old", "replica", r.id,
			"settings_version", r.desired.Number, "reported_number", r.report.Load.FencingNumber)
	}
}

// send sends an order in the background.
func (s *Service) send(ctx context.Context, r *replica, order backend.Order) {
	r.sending, r.reason = true, ReasonSending
	if order.Kind == backend.OrderLoad {
		r.permit.used = true
	}
	p, address := r.permit, r.address
	s.spawn(func() {
		err := errNotSent
		if s.stillRight(r, p, order) {
			callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
			err = s.options.Engine(address).Order(callCtx, order)
			cancel()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.finish(r, order, err)
	})
}

// stillRight checks an order again right before it is sent, since the process
// may have been paused after the decision.
func (s *Service) stillRight(r *replica, p *permit, order backend.Order) bool {
	if !owns(s.options.Members(), s.options.Replicas().Replica(r.id)) ||
		s.options.Settings().Version() != order.FencingNumber {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return order.Kind != backend.OrderLoad || (r.permit == p && p.valid(s.options.Now(), s.cfg))
}

// finish takes over the outcome of an order; the replica may have been
// disowned meanwhile.
func (s *Service) finish(r *replica, order backend.Order, err error) {
	if err == errNotSent {
		r.sending = false
		return
	}
	outcome := outcomeOf(err)
	r.finished(Sent{Order: order, Ended: s.options.Now(), Outcome: outcome})
	s.options.Scope.Tagged(map[string]string{"kind": string(order.Kind), "outcome": string(outcome)}).
		Counter("sent").Inc(1)
	attrs := []any{"replica", r.id, "kind", order.Kind, "number", order.FencingNumber, "outcome", outcome}
	if order.Kind == backend.OrderSetRole {
		attrs = append(attrs, "role", order.Role)
	} else {
		attrs = append(attrs, "model", modelOf(order).String())
	}
	if err != nil {
		s.options.Logger.Warn("order failed", append(attrs, "error", err)...)
		return
	}
	s.options.Logger.Info("order sent", attrs...)
}
