package quota

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// tickInterval is the time between rounds in which leases that are over are given
	// back.
	tickInterval = 100 * time.Millisecond
	// wakeGap is the time between two rounds after which the process was stopped in
	// between. Others may have leased its share.
	wakeGap = time.Second
)

// Options are the dependencies of a Service.
type Options struct {
	Messenger peer.Messenger
	Self      nodes.Record
	View      func() *nodes.View
	// AddNode adds a node to the directory that has made itself known.
	AddNode func(nodes.Record) bool
	// Organisations returns those of the configuration in force, or nil.
	Organisations func() *routetable.Organisations
	Log           *slog.Logger
	Scope         tally.Scope
}

// Service implements forward.Quota.
type Service struct {
	Options
	accounts       atomic.Pointer[map[core.Org]*nodeAccount]
	accountsMu     sync.Mutex // held while accounts is replaced
	lastCandidates atomic.Pointer[candidates]
	lastDuties     atomic.Pointer[duties]
	peers          *peers
	counters       *counters
	stopping       atomic.Bool

	mu      sync.Mutex
	ledgers map[core.Org]*ownedLedger
	// tickedAt is when the last round was.
	tickedAt time.Time
}

var _ forward.Quota = (*Service)(nil)

// New returns a Service whose handlers are registered. The caller starts the transport
// afterwards.
func New(o Options) *Service {
	now := time.Now()
	s := &Service{Options: o, peers: newPeers(now), counters: newCounters(o.Scope), ledgers: make(map[core.Org]*ownedLedger), tickedAt: now}
	s.accounts.Store(&map[core.Org]*nodeAccount{})
	s.lastCandidates.Store(newCandidates(nil, o.Self))
	o.Messenger.Handle(kindAsk, s.handleAsk)
	o.Messenger.Handle(kindReturn, s.handleReturn)
	o.Messenger.Handle(kindPass, s.handlePass)
	o.Messenger.Handle(kindHandOver, s.handleHandOver)
	o.Messenger.Handle(kindProbe, s.handleProbe)
	o.Messenger.Handle(kindUse, s.handleUse)
	o.Messenger.Handle(kindAnnounce, s.handleAnnouncement)
	return s
}

// Run gives back leases that are over and keeps the ledgers that this node owns, until
// ctx ends. It does nothing while no organisation is limited.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	announced := false
	var applied *duties
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d := s.duties()
			if len(d.limited) == 0 && len(*s.accounts.Load()) == 0 && !s.owns() {
				s.noteTick(now)
				continue
			}
			s.refreshLedgers(d, now)
			s.noteTick(now)
			if d != applied {
				applied = d
				s.forgetAccounts(d.limited)
			}
			if !announced && s.candidates().nodes > 0 {
				announced = true
				go s.announce(ctx, false)
			}
			s.giveBack(now)
			s.probe(ctx, now)
		}
	}
}

// candidates returns the candidates by the current view of the directory.
func (s *Service) candidates() *candidates {
	for {
		c, view := s.lastCandidates.Load(), s.View()
		if c.view == view {
			return c
		}
		next := newCandidates(view, s.Self)
		next.dataCentresKnown = max(next.dataCentresKnown, c.dataCentresKnown)
		if s.lastCandidates.CompareAndSwap(c, next) {
			return next
		}
	}
}

// probe calls the nodes that did not answer, and some others if none was heard of lately.
func (s *Service) probe(ctx context.Context, now time.Time) {
	c := s.candidates()
	ids := s.peers.due(c.known, now)
	if quiet := s.peers.lastHeard(now); quiet > quietTime && s.owns() {
		ids = append(ids, c.some(s.Self, quiet > 2*quietTime)...)
	}
	for _, id := range ids {
		go func() {
			defer contain.Recover(s.Log, "probe of", string(id))
			_ = s.call(ctx, id, kindProbe, nil, nil, probeTimeout)
		}()
	}
}

// call calls a node and notes whether it answers.
func (s *Service) call(ctx context.Context, id core.NodeID, kind string, req, resp any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := s.Messenger.Call(ctx, id, kind, req, resp)
	if id == s.Messenger.Self() {
		return err
	}
	if err == nil {
		s.peers.heard(id, time.Now())
		return nil
	}
	if s.peers.failed(id, time.Now()) {
		s.Log.Info("node does not answer about limits; others are asked until it does", "node", id, "error", err)
	}
	return err
}

func (s *Service) handleProbe(_ context.Context, from core.NodeID, _ []byte) ([]byte, error) {
	if s.stopping.Load() {
		return nil, errStopping
	}
	s.noteCaller(from)
	return nil, nil
}

// noteCaller notes a node that has called this one. One that was down may still be
// reached in one direction only, so that it stays down until it answers.
func (s *Service) noteCaller(from core.NodeID) {
	if from != s.Messenger.Self() {
		s.peers.called(time.Now())
	}
}
