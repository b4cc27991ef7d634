package membership

import (
	"context"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/peer"
)

// seedPrefix marks links to seed addresses, whose node ids are not known yet.
const seedPrefix = peer.SeedPrefix

// callTimeout bounds one heartbeat or digest.
const callTimeout = 800 * time.Millisecond

// Network is what the service needs of the transport between nodes.
type Network interface {
	peer.Messenger
	SetAddress(node core.NodeID, address string)
	Forget(node core.NodeID)
}

// Hooks connect membership to the packages whose data travels on its messages.
// Each may be nil.
type Hooks struct {
	SettingsVersion func() uint64
	// OnSettingsVersion is called when a node is known to have a version.
	OnSettingsVersion func(from core.NodeID, version uint64)
	// OwnStatus returns the state of the replicas that this node owns.
	OwnStatus func() []byte
	// CentreStatus returns the state of all replicas of this data centre.
	CentreStatus func() []byte
	// OnStatus receives either from another node.
	OnStatus func(from core.NodeID, status []byte)
	// OnView is called after the view has changed.
	OnView func(*View)
}

// Service runs the heartbeats and keeps the current View.
type Service struct {
	network Network
	hooks   Hooks
	seeds   []string
	log     *slog.Logger

	mu      sync.Mutex
	tracker *Tracker
	known   map[core.NodeID]struct{}
	view    atomic.Pointer[View]
}

// NewService returns a service and registers its message handlers.
func NewService(self Identity, network Network, seeds []string, hooks Hooks, log *slog.Logger) *Service {
	s := &Service{
		network: network, hooks: hooks, seeds: seeds, log: log,
		tracker: NewTracker(self),
		known:   make(map[core.NodeID]struct{}),
	}
	s.view.Store(s.tracker.View(time.Now(), 0))
	network.Handle(kindHeartbeat, s.handleHeartbeat)
	network.Handle(kindDigest, s.handleDigest)
	return s
}

// Current returns the view in force.
func (s *Service) Current() *View { return s.view.Load() }

// SetFleet takes over the nodes of a fleet list.
func (s *Service) SetFleet(nodes []Member, leaving map[core.NodeID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.BeginList()
	for _, m := range nodes {
		s.tracker.AddCandidate(m, leaving[m.ID])
	}
}

// Leave tells the other nodes that this one is stopping. It returns once they
// were told or ctx ended.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.tracker.SetLeaving()
	s.mu.Unlock()
	s.refresh(time.Now())
	s.beat(ctx)
}

// Run sends heartbeats and reads digests until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	last := time.Now()
	for round := 0; ; round++ {
		s.beat(ctx)
		if time.Duration(round)*HeartbeatInterval%DigestInterval == 0 {
			s.readDigests(ctx)
		}
		s.refresh(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if pause := now.Sub(last) - 2*HeartbeatInterval; pause > 0 {
			s.log.Warn("process was paused", "for", pause)
			s.mu.Lock()
			s.tracker.Shift(pause)
			s.mu.Unlock()
		}
		last = now
	}
}

// beat sends one heartbeat to each node of the own data centre and to seeds
// whose nodes are not known yet, and waits for the answers.
func (s *Service) beat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg := s.ownHeartbeat()
	var wait sync.WaitGroup
	for _, target := range s.heartbeatTargets() {
		wait.Go(func() { s.beatOne(ctx, target, msg) })
	}
	wait.Wait()
}

func (s *Service) beatOne(ctx context.Context, target core.NodeID, msg *heartbeat) {
	var answer heartbeatAnswer
	if err := s.network.Call(ctx, target, kindHeartbeat, msg, &answer); err != nil {
		return
	}
	s.mu.Lock()
	if answer.From.DataCentre == s.tracker.Self().DataCentre {
		s.tracker.Answered(answer.From, answer.ReachesYou, answer.SettingsVersion, time.Now())
	} else {
		s.tracker.Heard(answer.From)
	}
	s.connect(answer.From)
	s.mu.Unlock()
	s.reportVersion(answer.From.ID, answer.SettingsVersion)
}

func (s *Service) ownHeartbeat() *heartbeat {
	s.mu.Lock()
	msg := &heartbeat{From: s.tracker.Self()}
	s.mu.Unlock()
	msg.SettingsVersion = s.settingsVersion()
	if s.hooks.OwnStatus != nil {
		msg.Status = s.hooks.OwnStatus()
	}
	return msg
}

// heartbeatTargets returns the other nodes of the own data centre, and the
// seeds while no other node is known.
func (s *Service) heartbeatTargets() []core.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var targets []core.NodeID
	for id, n := range s.tracker.nodes {
		if n.member.DataCentre == s.tracker.self.DataCentre && n.member.Address != "" {
			s.connectMember(id, n.member.Address)
			targets = append(targets, id)
		}
	}
	for _, address := range s.seeds {
		if s.addressKnown(address) {
			continue
		}
		id := core.NodeID(seedPrefix + address)
		s.network.SetAddress(id, address)
		targets = append(targets, id)
	}
	return targets
}

func (s *Service) addressKnown(address string) bool {
	if address == s.tracker.self.Address {
		return true
	}
	for _, n := range s.tracker.nodes {
		if n.member.Address == address {
			return true
		}
	}
	return false
}

func (s *Service) connect(id Identity) {
	if id.ID != s.tracker.self.ID && id.Address != "" {
		s.connectMember(id.ID, id.Address)
	}
}

func (s *Service) connectMember(id core.NodeID, address string) {
	s.known[id] = struct{}{}
	s.network.SetAddress(id, address)
}

func (s *Service) handleHeartbeat(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var msg heartbeat
	if err := msgpack.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.tracker.Heard(msg.From)
	s.connect(msg.From)
	answer := heartbeatAnswer{From: s.tracker.Self(), ReachesYou: s.tracker.Reaches(msg.From.ID, time.Now())}
	s.mu.Unlock()
	answer.SettingsVersion = s.settingsVersion()
	s.reportVersion(msg.From.ID, msg.SettingsVersion)
	if s.hooks.OnStatus != nil && len(msg.Status) > 0 {
		s.hooks.OnStatus(msg.From.ID, msg.Status)
	}
	return msgpack.Marshal(answer)
}

// readDigests asks one node of each other data centre for its members.
func (s *Service) readDigests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, candidates := range s.otherCentres() {
		wait.Go(func() { s.readDigest(ctx, candidates) })
	}
	wait.Wait()
}

// otherCentres returns the known nodes of each other data centre of the
// region, live ones first and otherwise in random order.
func (s *Service) otherCentres() map[core.DataCentre][]core.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[core.DataCentre][]core.NodeID)
	for _, liveFirst := range []bool{true, false} {
		for id, n := range s.tracker.nodes {
			m := n.member
			if m.DataCentre == s.tracker.self.DataCentre || m.Region != s.tracker.self.Region || m.Address == "" {
				continue
			}
			if (m.State == StateLive) == liveFirst {
				s.connectMember(id, m.Address)
				out[m.DataCentre] = append(out[m.DataCentre], id)
			}
		}
	}
	return out
}

// digestTries is the number of nodes of a data centre that are asked in one
// round until one answers.
const digestTries = 3

func (s *Service) readDigest(ctx context.Context, candidates []core.NodeID) {
	if len(candidates) > digestTries {
		offset := rand.IntN(len(candidates)) // spreads the questions over the data centre
		candidates = append(candidates[offset:len(candidates):len(candidates)], candidates[:offset]...)[:digestTries]
	}
	s.mu.Lock()
	request := digestRequest{From: s.tracker.Self()}
	s.mu.Unlock()
	for _, id := range candidates {
		var answer digestAnswer
		if err := s.network.Call(ctx, id, kindDigest, request, &answer); err != nil {
			continue
		}
		s.applyDigest(id, &answer)
		return
	}
}

func (s *Service) applyDigest(from core.NodeID, answer *digestAnswer) {
	members := make([]Member, 0, len(answer.Members))
	for _, m := range answer.Members {
		state := StateLive
		if m.Identity.Leaving {
			state = StateLeaving
		}
		members = append(members, Member{
			ID: m.Identity.ID, DataCentre: m.Identity.DataCentre, Region: m.Identity.Region,
			Address: m.Identity.Address, State: state, Incarnation: m.Identity.Incarnation,
			SettingsVersion: m.SettingsVersion,
		})
	}
	s.mu.Lock()
	s.tracker.Digest(members, time.Now())
	for _, m := range members {
		s.connectMember(m.ID, m.Address)
	}
	s.mu.Unlock()
	for _, m := range members {
		s.reportVersion(m.ID, m.SettingsVersion)
	}
	if s.hooks.OnStatus != nil && len(answer.Status) > 0 {
		s.hooks.OnStatus(from, answer.Status)
	}
}

func (s *Service) handleDigest(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var request digestRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.tracker.Heard(request.From)
	s.connect(request.From)
	self := s.tracker.Self()
	s.mu.Unlock()
	var answer digestAnswer
	for _, m := range s.Current().Members() {
		if m.DataCentre != self.DataCentre || (m.State != StateLive && m.State != StateLeaving) {
			continue
		}
		answer.Members = append(answer.Members, digestMember{
			Identity: Identity{ID: m.ID, DataCentre: m.DataCentre, Region: m.Region, Address: m.Address,
				Incarnation: m.Incarnation, Leaving: m.State == StateLeaving},
			SettingsVersion: m.SettingsVersion,
		})
	}
	if s.hooks.CentreStatus != nil {
		answer.Status = s.hooks.CentreStatus()
	}
	return msgpack.Marshal(answer)
}

// refresh computes the view anew and tells the hook if a state changed.
func (s *Service) refresh(now time.Time) {
	s.mu.Lock()
	view := s.tracker.View(now, s.settingsVersion())
	s.forgetUnknown(view)
	s.mu.Unlock()
	old := s.view.Swap(view)
	if fingerprint(old) == fingerprint(view) {
		return
	}
	s.logChanges(old, view)
	if s.hooks.OnView != nil {
		s.hooks.OnView(view)
	}
}

func (s *Service) forgetUnknown(view *View) {
	for id := range s.known {
		if _, ok := view.Member(id); !ok {
			delete(s.known, id)
			s.network.Forget(id)
		}
	}
}

func (s *Service) logChanges(old, now *View) {
	for _, m := range now.Members() {
		before, _ := old.Member(m.ID)
		if before.State != m.State {
			s.log.Info("node state changed", "node", m.ID, "from", before.State, "to", m.State)
		}
	}
}

// fingerprint identifies the ids, states and incarnations of a view.
func fingerprint(v *View) uint64 {
	h := fnv.New64a()
	for _, m := range v.Members() {
		_, _ = h.Write([]byte(m.ID))
		_, _ = h.Write([]byte{0, byte(m.State)})
		for shift := 0; shift < 64; shift += 8 {
			_, _ = h.Write([]byte{byte(m.Incarnation >> shift)})
		}
	}
	return h.Sum64()
}

func (s *Service) settingsVersion() uint64 {
	if s.hooks.SettingsVersion == nil {
		return 0
	}
	return s.hooks.SettingsVersion()
}

func (s *Service) reportVersion(from core.NodeID, version uint64) {
	if s.hooks.OnSettingsVersion != nil && version > s.settingsVersion() {
		s.hooks.OnSettingsVersion(from, version)
	}
}
