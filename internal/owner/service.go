package owner

import (
	"context"
	"sort"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/membership"
)

const (
	// tickInterval is how often waiters are checked for their deadlines and
	// the ledgers for changes of settings, replicas and members.
	tickInterval = 50 * time.Millisecond
	// disownedGrace is how long the ledger of a replica that moved to another
	// owner is kept for holders that have not heard of the move.
	disownedGrace = 3 * time.Second
)

// Service serves reservations on the replicas that this node owns. It also
// accepts requests for other replicas, because the views of nodes differ for
// some seconds after a change. Its methods are safe for concurrent use.
type Service struct {
	options Options
	mu      sync.RWMutex
	ledgers map[core.ReplicaID]*guarded
	// incarnations holds the members last seen live, by the ticking goroutine.
	incarnations map[core.NodeID]int64
}

// NewService returns a service and registers its message handlers.
func NewService(options Options) *Service {
	s := &Service{
		options:      options,
		ledgers:      make(map[core.ReplicaID]*guarded),
		incarnations: make(map[core.NodeID]int64),
	}
	s.handle()
	return s
}

// Run ticks until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Tick()
		}
	}
}

// Reserve asks for a slot for the given holder.
func (s *Service) Reserve(holder core.NodeID, m ReserveMessage) ReserveAnswer {
	if s.options.Replicas().Replica(m.Replica) == nil {
		return ReserveAnswer{Verdict: VerdictUnknown}
	}
	now := s.options.Now()
	request := s.request(holder, m, now)
	var decision Decision
	s.apply(m.Replica, func(l *Ledger) []Event {
		var events []Event
		decision, events = l.Reserve(request, now)
		return events
	})
	return ReserveAnswer(decision)
}

// Release ends a reservation.
func (s *Service) Release(m ReleaseMessage) {
	now := s.options.Now()
	s.apply(m.Replica, func(l *Ledger) []Event {
		l.Observe(m.Speed)
		return l.Release(m.ID, Outcome{Completed: m.Completed, ProbeGood: m.ProbeGood}, now)
	})
}

// Observe records what a holder reports while its work goes on.
func (s *Service) Observe(m ObserveMessage) {
	s.apply(m.Replica, func(l *Ledger) []Event {
		l.Observe(m.Speed)
		return nil
	})
}

// Register takes over the reservations that a holder lists.
func (s *Service) Register(holder core.NodeID, m RegisterMessage) {
	now := s.options.Now()
	lists := make(map[core.ReplicaID][]Listed)
	for _, item := range m.Items {
		lists[item.Replica] = append(lists[item.Replica], s.listed(holder, item, now))
	}
	if m.Complete {
		for _, replica := range s.replicas() {
			if _, ok := lists[replica]; !ok {
				lists[replica] = nil
			}
		}
	}
	for replica, list := range lists {
		s.apply(replica, func(l *Ledger) []Event {
			if m.Complete {
				return l.Sync(holder, list, now)
			}
			return l.Add(holder, list, now)
		})
	}
}

// PublishedLoads returns the loads of the replicas that this node owns, sorted
// by replica. The heartbeat carries them.
func (s *Service) PublishedLoads() []Load {
	var loads []Load
	members := s.options.Members()
	for _, r := range s.options.Replicas().All() {
		if !s.owns(members, &r) {
			continue
		}
		load := Load{Replica: r.ID, Slots: s.limits(r.ID).Slots}
		if g := s.find(r.ID); g != nil {
			g.mu.Lock()
			load = g.ledger.Load()
			g.mu.Unlock()
		}
		loads = append(loads, load)
	}
	return loads
}

// Tick applies the present views and ends expired waiters. Run calls it.
func (s *Service) Tick() {
	now := s.options.Now()
	members := s.options.Members()
	gone := s.goneHolders(members)
	for _, replica := range s.replicas() {
		limits := s.limits(replica)
		s.apply(replica, func(l *Ledger) []Event {
			events := l.Configure(limits, now)
			for _, holder := range gone {
				events = append(events, l.DropHolder(holder, now)...)
			}
			return append(events, l.Tick(now)...)
		})
		s.sweep(replica, members, now)
	}
}

// goneHolders returns the nodes that went down or restarted since the last
// call. Their earlier reservations are void; a node that was only cut off
// lists its reservations again.
func (s *Service) goneHolders(members *membership.View) []core.NodeID {
	var gone []core.NodeID
	for id, incarnation := range s.incarnations {
		m, ok := members.Member(id)
		if !ok || m.State == membership.StateDown || m.Incarnation != incarnation {
			gone = append(gone, id)
			delete(s.incarnations, id)
		}
	}
	for _, m := range members.Members() {
		if m.State == membership.StateLive || m.State == membership.StateLeaving {
			s.incarnations[m.ID] = m.Incarnation
		}
	}
	return gone
}

// sweep forgets the ledger of a replica that this node no longer owns: at once
// if it is idle, otherwise after a grace.
func (s *Service) sweep(replica core.ReplicaID, members *membership.View, now time.Time) {
	g := s.find(replica)
	if g == nil {
		return
	}
	if s.owns(members, s.options.Replicas().Replica(replica)) {
		g.disowned = time.Time{}
		return
	}
	if g.disowned.IsZero() {
		g.disowned = now
	}
	if now.Sub(g.disowned) < disownedGrace {
		return
	}
	s.mu.Lock()
	delete(s.ledgers, replica)
	s.mu.Unlock()
}

// owns reports whether this node is the owner of the replica.
func (s *Service) owns(members *membership.View, r *directory.Replica) bool {
	if r == nil {
		return false
	}
	id, ok := members.Owner(string(r.ID), r.DataCentre)
	return ok && id == s.options.Messenger.Self()
}

// limits returns the limits of a replica by the settings and the directory. An
// unknown replica has no slots.
func (s *Service) limits(replica core.ReplicaID) Limits {
	r := s.options.Replicas().Replica(replica)
	if r == nil {
		return Limits{Closed: true}
	}
	snapshot := s.options.Settings()
	limits := Limits{
		Slots:  r.Slots,
		Closed: r.State != directory.StateUp || snapshot.Backend(replica).Drain,
	}
	if service := snapshot.Deployment(r.Deployment); service != nil {
		limits.QueueLimit = service.QueueLimit
		limits.BatchHeadroom = service.BatchHeadroom
		limits.ProbeInterval = service.EjectDuration
		if service.Slots > 0 {
			limits.Slots = service.Slots
		}
	}
	return limits
}

// apply runs f on a replica's ledger, which is made if need be, and sends the
// events.
func (s *Service) apply(replica core.ReplicaID, f func(*Ledger) []Event) {
	events, load := s.ledger(replica).do(f)
	for _, e := range events {
		// A lost event is repeated when the holder lists its reservations.
		_ = s.options.Messenger.Send(e.Holder, KindEvent, EventMessage{Kind: e.Kind, ID: e.ID, Load: load})
	}
}

func (s *Service) find(replica core.ReplicaID) *guarded {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ledgers[replica]
}

func (s *Service) ledger(replica core.ReplicaID) *guarded {
	if g := s.find(replica); g != nil {
		return g
	}
	limits := s.limits(replica)
	info := s.options.Replicas().Replica(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.ledgers[replica]
	if g == nil {
		g = &guarded{ledger: NewLedger(replica, limits)}
		if info != nil {
			g.ledger.Assume(info.InUse-info.Batch, info.Batch, s.options.Now())
		}
		s.ledgers[replica] = g
	}
	return g
}

// replicas returns the ids of the replicas with a ledger, sorted.
func (s *Service) replicas() []core.ReplicaID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ids := make([]core.ReplicaID, 0, len(s.ledgers))
	for id := range s.ledgers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// ServiceDump is the state of a Service.
type ServiceDump struct {
	Ledgers []LedgerDump `json:"ledgers"`
}

// Dump returns a ServiceDump.
func (s *Service) Dump() any {
	dump := ServiceDump{}
	members := s.options.Members()
	for _, id := range s.replicas() {
		g := s.find(id)
		if g == nil {
			continue
		}
		g.mu.Lock()
		ledger := g.ledger.Dump()
		g.mu.Unlock()
		ledger.Owned = s.owns(members, s.options.Replicas().Replica(id))
		dump.Ledgers = append(dump.Ledgers, ledger)
	}
	return dump
}
