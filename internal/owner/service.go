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
	// tickInterval is how often the ledgers expire waiters and apply changes of
	// the settings, the directory and the membership.
	tickInterval = 50 * time.Millisecond
	// formerOwnerGrace is how long the ledger of a replica is kept after another
	// node became its owner, for holders that do not know of the change yet.
	formerOwnerGrace = 3 * time.Second
)

// Service handles reservations on the replicas that this node owns. It also
// accepts requests for other replicas, because the membership views of nodes
// differ for some seconds after a change. Its methods are safe for concurrent
// use, except Tick, which only one goroutine may call.
type Service struct {
	options Options
	mu      sync.RWMutex
	ledgers map[core.ReplicaID]*lockedLedger
	// incarnations has the incarnation of each member that was last seen live or
	// leaving. Only the goroutine that calls Tick accesses it.
	incarnations map[core.NodeID]int64
}

// NewService returns a Service and registers its message handlers.
func NewService(options Options) *Service {
	s := &Service{
		options:      options,
		ledgers:      make(map[core.ReplicaID]*lockedLedger),
		incarnations: make(map[core.NodeID]int64),
	}
	s.registerHandlers()
	return s
}

// Run calls Tick periodically until ctx is done.
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

// Reserve requests a slot for the given holder.
func (s *Service) Reserve(holder core.NodeID, m ReserveMessage) ReserveResponse {
	if s.options.Replicas().Replica(m.Replica) == nil {
		return ReserveResponse{Verdict: VerdictUnknownReplica}
	}
	now := s.options.Now()
	request := s.ledgerRequest(holder, m, now)
	var decision Decision
	s.apply(m.Replica, func(l *Ledger) []Event {
		var events []Event
		decision, events = l.Reserve(request, now)
		return events
	})
	return ReserveResponse(decision)
}

// Release removes a reservation and records the latency that its holder
// observed.
func (s *Service) Release(m ReleaseMessage) {
	now := s.options.Now()
	s.apply(m.Replica, func(l *Ledger) []Event {
		l.Observe(m.Latency)
		return l.Release(m.ID, Outcome{Completed: m.Completed, ProbePassed: m.ProbePassed}, now)
	})
}

// Observe records the latency that a holder reports while its work is running.
func (s *Service) Observe(m ObserveMessage) {
	s.apply(m.Replica, func(l *Ledger) []Event {
		l.Observe(m.Latency)
		return nil
	})
}

// Register adds the reservations that a holder lists. If the list is complete,
// it also updates the ledgers in which the holder has none.
func (s *Service) Register(holder core.NodeID, m RegisterMessage) {
	now := s.options.Now()
	lists := make(map[core.ReplicaID][]ListedReservation)
	for _, item := range m.Items {
		lists[item.Replica] = append(lists[item.Replica], s.listedReservation(holder, item, now))
	}
	if m.Complete {
		for _, replica := range s.replicasWithLedger() {
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

// Loads returns the loads of the replicas that this node owns, sorted by replica.
// Only tests use it; the heartbeat carries Counts.
func (s *Service) Loads() []Load {
	var loads []Load
	members := s.options.Members()
	for _, r := range s.options.Replicas().All() {
		if !s.owns(members, &r) {
			continue
		}
		load := Load{Replica: r.ID, Slots: s.limits(r.ID).Slots}
		if l := s.existingLedger(r.ID); l != nil {
			l.mu.Lock()
			load = l.ledger.Load()
			l.mu.Unlock()
		}
		loads = append(loads, load)
	}
	return loads
}

// Tick applies the current settings, directory and membership, expires waiters
// and deletes the ledgers of replicas that this node no longer owns. Run calls
// it.
func (s *Service) Tick() {
	now := s.options.Now()
	members := s.options.Members()
	departed := s.departedHolders(members)
	for _, replica := range s.replicasWithLedger() {
		limits := s.limits(replica)
		s.apply(replica, func(l *Ledger) []Event {
			events := l.Configure(limits, now)
			for _, holder := range departed {
				events = append(events, l.DropHolder(holder, now)...)
			}
			return append(events, l.Tick(now)...)
		})
		s.deleteIfNotOwned(replica, members, now)
	}
}

// departedHolders returns the nodes that went down or restarted since the last
// call. Their earlier reservations are no longer valid. A node that was only
// partitioned from this one lists its reservations again.
func (s *Service) departedHolders(members *membership.View) []core.NodeID {
	var departed []core.NodeID
	for id, incarnation := range s.incarnations {
		m, ok := members.Member(id)
		if !ok || m.State == membership.StateDown || m.Incarnation != incarnation {
			departed = append(departed, id)
			delete(s.incarnations, id)
		}
	}
	for _, m := range members.Members() {
		if m.State == membership.StateLive || m.State == membership.StateLeaving {
			s.incarnations[m.ID] = m.Incarnation
		}
	}
	return departed
}

// deleteIfNotOwned deletes the ledger of a replica that this node has not owned
// for formerOwnerGrace.
func (s *Service) deleteIfNotOwned(replica core.ReplicaID, members *membership.View, now time.Time) {
	l := s.existingLedger(replica)
	if l == nil {
		return
	}
	if s.owns(members, s.options.Replicas().Replica(replica)) {
		l.notOwnedSince = time.Time{}
		return
	}
	if l.notOwnedSince.IsZero() {
		l.notOwnedSince = now
	}
	if now.Sub(l.notOwnedSince) < formerOwnerGrace {
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

// limits returns the limits of a replica according to the settings and the
// directory. An unknown replica has no slots.
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
	if deployment := snapshot.Deployment(r.Deployment); deployment != nil {
		limits.QueueLimit = deployment.QueueLimit
		limits.BatchHeadroom = deployment.BatchHeadroom
		limits.ProbeInterval = deployment.EjectDuration
		if deployment.Slots > 0 {
			limits.Slots = deployment.Slots
		}
	}
	return limits
}

// apply runs f on a replica's ledger, which it creates if there is none, and
// sends the events to their holders.
func (s *Service) apply(replica core.ReplicaID, f func(*Ledger) []Event) {
	events, load := s.ledgerFor(replica).update(f)
	for _, e := range events {
		// A lost event is sent again when the holder lists its reservations.
		_ = s.options.Messenger.Send(e.Holder, KindEvent, EventMessage{Kind: e.Kind, ID: e.ID, Load: load})
	}
}

// existingLedger returns the ledger of a replica, or nil.
func (s *Service) existingLedger(replica core.ReplicaID) *lockedLedger {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ledgers[replica]
}

// ledgerFor returns the ledger of a replica and creates it if there is none.
func (s *Service) ledgerFor(replica core.ReplicaID) *lockedLedger {
	if l := s.existingLedger(replica); l != nil {
		return l
	}
	limits := s.limits(replica)
	info := s.options.Replicas().Replica(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledgers[replica]
	if l == nil {
		l = &lockedLedger{ledger: NewLedger(replica, limits)}
		if info != nil {
			l.ledger.AssumeInUse(info.InUse-info.Batch, info.Batch, s.options.Now())
		}
		s.ledgers[replica] = l
	}
	return l
}

// replicasWithLedger returns the IDs of the replicas that have a ledger, sorted.
func (s *Service) replicasWithLedger() []core.ReplicaID {
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
	for _, id := range s.replicasWithLedger() {
		l := s.existingLedger(id)
		if l == nil {
			continue
		}
		l.mu.Lock()
		ledger := l.ledger.Dump()
		l.mu.Unlock()
		ledger.Owned = s.owns(members, s.options.Replicas().Replica(id))
		dump.Ledgers = append(dump.Ledgers, ledger)
	}
	return dump
}
