package placement

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// minCountsInterval is the least time between two rounds of counts from a
	// node.
	minCountsInterval = 10 * time.Millisecond
	// maxCountsInterval is the longest time without counts to the hub of a group
	// while the node has work at its replicas. Node addresses are refreshed and
	// hubs that are down are probed at the same interval.
	maxCountsInterval = 300 * time.Millisecond
	// maxReportAge is the largest age of a replica's load report that is sent
	// with the counts. A report must be recent, so that the hub can compare it
	// with the counts that it has.
	maxReportAge = 25 * time.Millisecond
)

// Options are the dependencies of a Service.
type Options struct {
	Transport *peer.Transport
	Registry  *replica.Registry
	Nodes     *nodes.Directory
	// Preempt preempts one of this node's batch items at a replica and reports
	// whether there was one.
	Preempt func(*replica.Replica) bool
	// Victims returns, for each replica at which this node has batch items, the
	// item that Preempt would choose.
	Victims func() map[core.ReplicaID]Victim
	// Memory returns how many tokens a replica of a service holds, or 0 if that is
	// unknown. It may be nil.
	Memory func(core.DeploymentID) int
	Log    *slog.Logger
	Scope  tally.Scope
}

// Service gets replicas for this node's requests from the hubs, and runs the
// hub for the groups that this node manages.
type Service struct {
	Options
	hub           *hub
	candidates    atomic.Pointer[hubCandidates]
	runID         uint64 // random, one per process
	lastRequestID atomic.Uint64
	localMu       sync.Mutex // held while this node chooses a replica without a hub
	localShares   localShares
	// startAnnounced is closed when this node has made itself known as a hub.
	startAnnounced chan struct{}
	contacts       contacts

	mu sync.Mutex
	// peerAddresses are the addresses that the transport has been given.
	peerAddresses map[core.NodeID]string
	// downHubs are the hubs that did not answer and have not answered a probe
	// since.
	downHubs map[core.NodeID]*downHub
	// grantChans are the requests that wait for a grant, by request ID.
	grantChans map[uint64]*waitingRequest
	// announcedAt is when all nodes were last told of a change of a group's hub.
	announcedAt map[group]time.Time
	// serviceTimes are the estimates that the hubs of the groups last sent.
	serviceTimes map[group]time.Duration
	// demands are what hubs of the groups have told of the usual demands.
	demands map[group]*toldDemands
	// reachCheckedAt is when it was last checked whether a data centre can be reached.
	reachCheckedAt map[core.DataCentre]time.Time
	// totals are those that the hubs of the groups last sent.
	totals map[group]*formerTotals
	// sentCounts is the state of the reports to hubs, by group.
	sentCounts   map[group]*sentCounts
	lastSequence uint64
}

// sentCounts is what this node last sent to the hub of a group.
type sentCounts struct {
	hub         core.NodeID
	unconfirmed []uint64 // grants to confirm with the next counts
	lastCounts  []replicaCounts
	lastVictims []replicaVictim
	notices     sentNotices
	outcomes    reportedOutcomes
	sentAt      time.Time
}

// New returns a Service whose handlers are registered. The caller starts the
// transport afterwards.
func New(o Options) *Service {
	s := &Service{
		Options: o, runID: rand.Uint64(), peerAddresses: make(map[core.NodeID]string), downHubs: make(map[core.NodeID]*downHub),
		grantChans: make(map[uint64]*waitingRequest), announcedAt: make(map[group]time.Time), serviceTimes: make(map[group]time.Duration), demands: make(map[group]*toldDemands), totals: make(map[group]*formerTotals), reachCheckedAt: make(map[core.DataCentre]time.Time), sentCounts: make(map[group]*sentCounts), localShares: make(localShares), startAnnounced: make(chan struct{}),
	}
	// Starts at a random number, because a hub may still have requests from an
	// earlier run of this node.
	s.lastRequestID.Store(rand.Uint64())
	s.candidates.Store(newHubCandidates(o.Nodes.View(), o.Nodes.Self()))
	s.hub = newHub(&s.Options, s.sendPreemption)
	s.hub.firstHub, s.hub.announce, s.hub.announced = s.firstHub, s.announce, s.recentlyAnnounced
	s.hub.formerServiceTime, s.hub.formerTotals, s.hub.checkFormerHubs, s.hub.recordContact = s.formerServiceTime, s.formerTotals, s.checkFormerHubs, s.recordContact
	s.hub.formerDemands, s.hub.tellDemands = s.formerDemands, s.tellDemands
	o.Transport.Handle(kindHub, s.handleHub)
	o.Transport.Handle(kindDemands, s.handleDemands)
	o.Transport.Handle(kindHubChange, s.handleHubChange)
	o.Transport.Handle(kindGrant, s.handleGrant)
	o.Transport.Handle(kindTotals, s.handleTotals)
	o.Transport.Handle(kindPreempt, s.handlePreemption)
	o.Transport.Handle(kindSuspect, s.handleSuspicion)
	return s
}

// Run reports this node's work to the hubs and runs the node's own hub, until
// ctx ends.
func (s *Service) Run(ctx context.Context) {
	go s.hub.run(ctx)
	refresh := time.NewTicker(maxCountsInterval)
	defer refresh.Stop()
	announced := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Registry.Changes():
		case <-s.Nodes.Changes():
			s.updateNodes()
		case <-refresh.C:
			s.updateNodes()
			s.probeDownHubs(ctx, time.Now())
		}
		if !announced && s.KnowsNodes() && len(s.Registry.All()) > 0 {
			announced = true
			go func() {
				defer close(s.startAnnounced)
				s.announceStart(ctx)
			}()
		}
		s.sendAllCounts(time.Now())
		// Batches the changes that arrive in the meantime.
		pause := time.NewTimer(minCountsInterval)
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
	}
}

// KnowsNodes reports whether the service knows any node that can be a hub.
func (s *Service) KnowsNodes() bool { return len(s.candidates.Load().records) > 0 }

// updateNodes refreshes the hub candidates and passes changed node addresses to
// the transport.
func (s *Service) updateNodes() {
	c := newHubCandidates(s.Nodes.View(), s.Nodes.Self())
	s.candidates.Store(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[core.NodeID]string)
	for i := range c.records {
		if record := &c.records[i]; record.ID != s.Transport.Self() {
			present[record.ID] = record.Address
		}
	}
	for id, address := range present {
		if s.peerAddresses[id] != address {
			s.Transport.SetAddress(id, address)
		}
	}
	for id := range s.peerAddresses {
		if _, ok := present[id]; !ok {
			s.Transport.Forget(id)
		}
	}
	s.peerAddresses = present
}

// numGroups returns the number of groups of a service.
func (s *Service) numGroups(service core.DeploymentID) int {
	return groupCount(len(s.Registry.Ready(service)))
}

// sendAllCounts sends each hub this node's counts, if they are due.
func (s *Service) sendAllCounts(now time.Time) {
	s.mu.Lock()
	groups := make(map[group]bool)
	for g := range s.sentCounts {
		groups[g] = true
	}
	s.mu.Unlock()
	for _, r := range s.Registry.All() {
		if online, batch := r.LocalLoad(); online+batch > 0 {
			service := r.Info().Service
			groups[groupOf(service, r.Info().ID, s.numGroups(service))] = true
		}
	}
	victims := s.Victims()
	for g := range groups {
		if hubs := s.usableHubs(g); len(hubs) > 0 {
			s.sendCounts(g, hubs[0], victims, now)
		}
	}
}

// sendCounts sends a hub the counts of one group, at once if they changed or
// confirm grants, and otherwise every maxCountsInterval. Empty counts are not
// repeated.
func (s *Service) sendCounts(g group, to core.NodeID, victims map[core.ReplicaID]Victim, now time.Time) {
	c := s.dueCounts(g, to, victims, now)
	if c == nil {
		return
	}
	if err := s.Transport.Send(to, kindCounts, c); err != nil {
		s.Log.Debug("cannot send counts to the hub", "node", to, "error", err)
	}
}

// reportTo gives a hub that this node has not used before the counts of a group, and
// returns when the hub has them: it would grant slots that this node occupies otherwise.
func (s *Service) reportTo(ctx context.Context, hub core.NodeID, g group) {
	c := s.dueCounts(g, hub, s.Victims(), time.Now())
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hubCallTimeout)
	defer cancel()
	if err := s.Transport.Call(ctx, hub, kindCounts, c, nil); err != nil {
		s.Log.Debug("cannot send counts to the hub", "node", hub, "error", err)
	}
}

// dueCounts returns the counts to send to a hub now, or nil.
func (s *Service) dueCounts(g group, to core.NodeID, victims map[core.ReplicaID]Victim, now time.Time) *nodeCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, ok := s.sentCounts[g]
	newHub := !ok || sent.hub != to
	if newHub {
		outcomes := make(reportedOutcomes)
		if ok {
			outcomes = sent.outcomes
		}
		sent = &sentCounts{hub: to, outcomes: outcomes}
		s.sentCounts[g] = sent
	}
	c := s.ownCounts(g, victims, now)
	unchanged := slices.Equal(c.Replicas, sent.lastCounts) && slices.Equal(c.Victims, sent.lastVictims)
	notices := knownNotices(s.Registry, g, now)
	c.Outcomes = sent.outcomes.due(s.Registry, g, now)
	if newHub {
		c.Standings = s.totals[g].standingsAt(now)
	}
	unchanged = unchanged && len(c.Outcomes)+len(c.Standings) == 0
	upToDate := !sent.sentAt.IsZero() && len(sent.unconfirmed) == 0 && unchanged && sent.notices.upToDate(notices)
	if upToDate && (len(c.Replicas) == 0 || now.Sub(sent.sentAt) < maxCountsInterval/2) {
		return nil
	}
	c.ConfirmedGrants, sent.unconfirmed = sent.unconfirmed, nil
	sent.notices.attach(&c.Notices, notices, now)
	sent.lastCounts, sent.lastVictims, sent.sentAt = c.Replicas, c.Victims, now
	s.lastSequence++
	c.Sequence = s.lastSequence
	return c
}

// ownCounts returns this node's work at the replicas of a group, including
// those that are leaving. The caller holds the lock, so that no grant is
// accepted in the meantime.
func (s *Service) ownCounts(g group, victims map[core.ReplicaID]Victim, now time.Time) *nodeCounts {
	c := &nodeCounts{Group: g, RunID: s.runID}
	for _, r := range s.Registry.All() {
		online, batch := r.LocalLoad()
		if online+batch == 0 || r.Info().Service != g.Service || groupOf(g.Service, r.Info().ID, g.Count) != g {
			continue
		}
		rc := replicaCounts{ID: r.Info().ID, Online: online, Batch: batch}
		if v, ok := victims[rc.ID]; ok && batch > 0 {
			c.Victims = append(c.Victims, replicaVictim{Index: len(c.Replicas), DueMS: v.Due.Milliseconds(), Late: v.Late})
		}
		if load, ok := r.LastReport(now, maxReportAge); ok {
			rc.Slowdown = int(math.Round(load.Slowdown * normalSlowdown))
			rc.Reported = load.Running + load.Waiting
		}
		c.Replicas = append(c.Replicas, rc)
	}
	return c
}

// formerTotals returns the totals that the hub of a group sent last, or nil.
func (s *Service) formerTotals(g group) *formerTotals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals[g]
}

// formerServiceTime returns the estimate that the hub of a group last sent, or 0.
func (s *Service) formerServiceTime(g group) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceTimes[g]
}

// handleTotals applies the work of all nodes, as reported by the hub that this
// node currently uses.
func (s *Service) handleTotals(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var t groupTotals
	if err := msgpack.Unmarshal(body, &t); err != nil {
		return nil, err
	}
	now := time.Now()
	learnNotices(s.Registry, t.Notices, from, now, s.Log)
	if hubs := s.usableHubs(t.Group); len(hubs) == 0 || hubs[0] != from {
		return nil, nil // not the hub that this node uses
	}
	if t.First != nil {
		s.learnHub(*t.First, from)
	}
	s.mu.Lock()
	if t.ServiceTime > 0 {
		s.serviceTimes[t.Group] = t.ServiceTime
	}
	s.totals[t.Group] = &formerTotals{replicas: t.Replicas, standings: t.Standings, at: now}
	s.mu.Unlock()
	learnStandings(s.Registry, &t, now)
	for _, rc := range t.Replicas {
		if r := s.Registry.Get(rc.ID); r != nil {
			online, batch := r.LocalLoad()
			r.SetRemoteLoad(max(0, rc.Online-online), max(0, rc.Batch-batch), now)
		}
	}
	return nil, nil
}
