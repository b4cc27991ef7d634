package loadshare

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// sendEvery is the least time between counts while they change. A slot of
	// an engine turns over about every 90 ms.
	sendEvery = 20 * time.Millisecond
	// perNode lengthens that time in large fleets, so that a node receives at
	// most 500 messages a second from its own data centre and as many from the
	// others.
	perNode = 2 * time.Millisecond
	// freshEnough is the age of counts up to which replicas of other data
	// centres are as well known as those of the own one.
	freshEnough = 50 * time.Millisecond
	// staleCost is added to the work of such a replica for each further 100 ms
	// of age: about as many requests as several nodes send there unknown to each
	// other.
	staleCost = 1.0
	// maxSilence is the longest time without counts while nothing changes.
	maxSilence = 300 * time.Millisecond
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

// Service exchanges counts with the other nodes.
type Service struct {
	Options
	ledger *ledger
	known  map[core.NodeID]string
	// near and far are the nodes of the own and of other data centres.
	near, far audience
}

// audience is nodes that get the same counts at the same times.
type audience struct {
	nodes []core.NodeID
	last  []count
	sent  time.Time
}

// interval is the least time between counts for the audience.
func (a *audience) interval() time.Duration {
	return max(sendEvery, time.Duration(len(a.nodes))*perNode)
}

// New registers the handlers. The transport is started afterwards.
func New(o Options) *Service {
	s := &Service{Options: o, ledger: newLedger(), known: make(map[core.NodeID]string)}
	o.Transport.Handle(kindCounts, s.counts)
	o.Transport.Handle(kindYield, s.yield)
	o.Transport.Handle(kindSilent, s.silent)
	return s
}

// Run exchanges counts until ctx ends.
func (s *Service) Run(ctx context.Context) {
	silence := time.NewTicker(maxSilence)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Registry.Changes():
		case <-silence.C:
			s.follow()
			s.expire(time.Now())
		}
		s.tell(time.Now())
		// Changes that come meanwhile go out together.
		pause := time.NewTimer(s.near.interval())
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
	}
}

// follow takes the addresses of the live nodes.
func (s *Service) follow() {
	present := make(map[core.NodeID]string)
	s.near.nodes, s.far.nodes = nil, nil
	for _, record := range s.Nodes.View().Alive {
		if record.ID == s.Transport.Self() || record.Address == "" {
			continue
		}
		present[record.ID] = record.Address
		if record.DataCentre == s.Nodes.Self().DataCentre {
			s.near.nodes = append(s.near.nodes, record.ID)
		} else {
			s.far.nodes = append(s.far.nodes, record.ID)
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
	age := max(0, s.far.interval()-freshEnough)
	s.Registry.SetStaleCost(staleCost * age.Seconds() / 0.1)
}

// expire takes the counts of silent nodes off. The sums of the others are
// confirmed, as they hold for a short time only.
func (s *Service) expire(now time.Time) {
	changed, heard := s.ledger.expire(now)
	s.apply(changed, now)
	if heard == 0 {
		return // load reports of the replicas decide
	}
	for _, r := range s.Registry.All() {
		t := s.ledger.sum(r.Info().ID)
		r.Share(t.online, t.batch, now)
	}
}

// apply hands sums to the replicas.
func (s *Service) apply(changed map[core.ReplicaID]total, now time.Time) {
	for id, t := range changed {
		if r := s.Registry.Get(id); r != nil {
			r.Share(t.online, t.batch, now)
		}
	}
}

// tell sends this node's counts to those who do not know them.
func (s *Service) tell(now time.Time) {
	var own []count
	for _, r := range s.Registry.All() {
		if online, batch := r.Own(); online+batch > 0 {
			own = append(own, count{ID: r.Info().ID, Online: online, Batch: batch})
		}
	}
	slices.SortFunc(own, func(a, b count) int { return strings.Compare(string(a.ID), string(b.ID)) })
	s.tellAudience(&s.near, own, now)
	if now.Sub(s.far.sent) >= s.far.interval() {
		s.tellAudience(&s.far, own, now)
	}
}

func (s *Service) tellAudience(a *audience, own []count, now time.Time) {
	if slices.Equal(own, a.last) && now.Sub(a.sent) < maxSilence {
		return
	}
	a.last, a.sent = own, now
	for _, id := range a.nodes {
		if err := s.Transport.Send(id, kindCounts, &counts{Replicas: own}); err != nil {
			s.Log.Debug("counts not sent", "node", id, "error", err)
		}
	}
}

func (s *Service) counts(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var c counts
	if err := msgpack.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	now := time.Now()
	s.apply(s.ledger.take(from, &c, now), now)
	return nil, nil
}

func (s *Service) yield(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var y yield
	if err := msgpack.Unmarshal(body, &y); err != nil {
		return nil, err
	}
	if r := s.Registry.Get(y.Replica); r != nil && s.Yield(r) {
		s.Log.Info("batch work gave way to another node", "replica", y.Replica, "node", from)
	}
	return nil, nil
}

// Suspect tells the other nodes of a replica that went silent here. Each goes by
// what it hears of the replica itself, if it does.
func (s *Service) Suspect(r *replica.Replica) {
	for _, record := range s.Nodes.View().Alive {
		if record.ID == s.Transport.Self() {
			continue
		}
		if err := s.Transport.Send(record.ID, kindSilent, &silent{Replica: r.Info().ID}); err != nil {
			s.Log.Debug("silence not told", "node", record.ID, "error", err)
		}
	}
}

func (s *Service) silent(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var m silent
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	if r := s.Registry.Get(m.Replica); r != nil {
		r.Suspect(time.Now())
		s.Log.Info("replica is silent at another node", "replica", m.Replica, "node", from)
	}
	return nil, nil
}

// MakeRoom lets one item of batch work at a replica give way, here or at the
// node that has most of it there.
func (s *Service) MakeRoom(r *replica.Replica) {
	if s.Yield(r) {
		return
	}
	holder, ok := s.ledger.batchHolder(r.Info().ID)
	if !ok {
		return
	}
	if err := s.Transport.Send(holder, kindYield, &yield{Replica: r.Info().ID}); err != nil {
		s.Log.Info("question to give way not sent", "node", holder, "error", err)
	}
}
