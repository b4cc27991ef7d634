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

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// tellEvery is the least time between counts of a node.
	tellEvery = 10 * time.Millisecond
	// maxSilence is the longest time without counts while the node has work or
	// asks.
	maxSilence = 300 * time.Millisecond
	// reportFresh is the age of a load report up to which it is told. It is sent
	// at once, so that the hub can compare it with what it is told.
	reportFresh = 25 * time.Millisecond
)

// Options are what a Service needs.
type Options struct {
	Transport *peer.Transport
	Registry  *replica.Registry
	Nodes     *nodes.Directory
	// Yield lets one item of this node's batch work at a replica give way and
	// reports whether there was one.
	Yield func(*replica.Replica) bool
	Log   *slog.Logger
}

// Service places this node's online requests, and those of all nodes for the
// services whose hub this node is.
type Service struct {
	Options
	hub       *hub
	electable atomic.Pointer[electorate]
	run       uint64 // a random number of this process
	asks      atomic.Uint64
	alone     sync.Mutex // held while this node chooses itself

	mu sync.Mutex
	// known are the addresses that the transport has.
	known map[core.NodeID]string
	// down are the hubs that did not answer when last asked.
	down map[core.NodeID]*absence
	// waits are the requests that wait at a hub.
	waits map[uint64]chan granted
	// tellings is what hubs were told, by group.
	tellings map[group]*telling
	serial   uint64
}

// telling is what the hub of a group knows of this node.
type telling struct {
	hub  core.NodeID
	seen []uint64 // grants to confirm
	last []count
	sent time.Time
}

// New registers the handlers. The transport is started afterwards.
func New(o Options) *Service {
	s := &Service{
		Options: o, run: rand.Uint64(), known: make(map[core.NodeID]string), down: make(map[core.NodeID]*absence),
		waits: make(map[uint64]chan granted), tellings: make(map[group]*telling),
	}
	// A hub may still know requests of a former run of this node.
	s.asks.Store(rand.Uint64())
	s.electable.Store(newElectorate(o.Nodes.View(), o.Nodes.Self()))
	s.hub = newHub(&s.Options, s.sendYield)
	o.Transport.Handle(kindGranted, s.granted)
	o.Transport.Handle(kindTotals, s.totals)
	o.Transport.Handle(kindYield, s.yield)
	o.Transport.Handle(kindSilent, s.silent)
	return s
}

// Run tells the hubs this node's work until ctx ends.
func (s *Service) Run(ctx context.Context) {
	go s.hub.run(ctx)
	silence := time.NewTicker(maxSilence)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Registry.Changes():
		case <-silence.C:
			s.follow()
			s.probeAbsent(ctx, time.Now())
		}
		s.tell(time.Now())
		// Changes that come meanwhile go out together.
		pause := time.NewTimer(tellEvery)
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
	}
}

// Stop makes this node place no more requests of others. Their nodes ask the
// next hub.
func (s *Service) Stop() { s.hub.stopping.Store(true) }

// follow takes the addresses of the nodes.
func (s *Service) follow() {
	e := newElectorate(s.Nodes.View(), s.Nodes.Self())
	s.electable.Store(e)
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[core.NodeID]string)
	for i := range e.records {
		if record := &e.records[i]; record.ID != s.Transport.Self() {
			present[record.ID] = record.Address
		}
	}
	for id, address := range present {
		if s.known[id] != address {
			s.Transport.SetAddress(id, address)
		}
	}
	for id := range s.known {
		if _, ok := present[id]; !ok {
			s.Transport.Forget(id)
		}
	}
	s.known = present
}

// groups returns the number of groups of a service.
func (s *Service) groups(service core.DeploymentID) int {
	return groupCount(len(s.Registry.Ready(service)))
}

// tell sends the work at the replicas of each group to its hub.
func (s *Service) tell(now time.Time) {
	s.mu.Lock()
	groups := make(map[group]bool)
	for g := range s.tellings {
		groups[g] = true
	}
	s.mu.Unlock()
	for _, r := range s.Registry.All() {
		if online, batch := r.Own(); online+batch > 0 {
			service := r.Info().Service
			groups[groupOf(service, r.Info().ID, s.groups(service))] = true
		}
	}
	for g := range groups {
		if hubs := s.usable(g); len(hubs) > 0 {
			s.tellHub(g, hubs[0], now)
		}
	}
}

// tellHub sends the work at the replicas of one group, at once if it changed and
// every maxSilence. Without any work it does so once.
func (s *Service) tellHub(g group, to core.NodeID, now time.Time) {
	s.mu.Lock()
	t, ok := s.tellings[g]
	if !ok || t.hub != to {
		t = &telling{hub: to}
		s.tellings[g] = t
	}
	c := s.ownCounts(g, now)
	known := !t.sent.IsZero() && len(t.seen) == 0 && slices.Equal(c.Replicas, t.last)
	if known && (len(c.Replicas) == 0 || now.Sub(t.sent) < maxSilence/2) {
		s.mu.Unlock()
		return
	}
	c.Seen, t.seen = t.seen, nil
	t.last, t.sent = c.Replicas, now
	s.serial++
	c.Serial = s.serial
	s.mu.Unlock()
	if err := s.Transport.Send(to, kindCounts, c); err != nil {
		s.Log.Debug("counts not sent", "node", to, "error", err)
	}
}

// ownCounts returns this node's work at the replicas of a group, also that at
// replicas which leave. The caller holds the lock, so that no grant is taken
// meanwhile.
func (s *Service) ownCounts(g group, now time.Time) *counts {
	c := &counts{Group: g, Run: s.run}
	for _, r := range s.Registry.All() {
		online, batch := r.Own()
		if online+batch == 0 || r.Info().Service != g.Service || groupOf(g.Service, r.Info().ID, g.Count) != g {
			continue
		}
		one := count{ID: r.Info().ID, Online: online, Batch: batch}
		if load, ok := r.LastReport(now, reportFresh); ok {
			one.Slowdown = int(math.Round(load.Slowdown * usualSlowdown))
			one.Reported = load.Running + load.Waiting
		}
		c.Replicas = append(c.Replicas, one)
	}
	return c
}

// totals takes the work of all nodes, as the hub that this node asks tells it.
func (s *Service) totals(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var t totals
	if err := msgpack.Unmarshal(body, &t); err != nil {
		return nil, err
	}
	now := time.Now()
	if hubs := s.usable(t.Group); len(hubs) == 0 || hubs[0] != from {
		return nil, nil // another hub knows better
	}
	for _, one := range t.Replicas {
		if r := s.Registry.Get(one.ID); r != nil {
			online, batch := r.Own()
			r.Share(max(0, one.Online-online), max(0, one.Batch-batch), now)
		}
	}
	return nil, nil
}
