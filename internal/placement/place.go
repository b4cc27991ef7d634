package placement

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// askTimeout bounds the question to a hub, which takes a few ms between data
	// centres and on a busy small VM some tens.
	askTimeout = 80 * time.Millisecond
	// askAgain is when a request that waits asks again: the hub may have
	// restarted, or its message was lost.
	askAgain = 300 * time.Millisecond
	// itemAskAgain is the same for an item of a job, of which many may wait.
	itemAskAgain = time.Second
	// itemRoom is the number of free slots that an item needs at a replica,
	// itself included, if no hub places it. The others are left to online work
	// that this node does not know of yet.
	itemRoom = 3
)

var errHubKnowsNone = errors.New("the hub knows no replica for the request")

// Query describes a request, or an item of a job, that needs a replica.
type Query struct {
	Service core.DeploymentID
	// Tried are the replicas that the request must not return to.
	Tried []core.ReplicaID
	// Arrived is when the request came to this node.
	Arrived time.Time
	// Objective is the time in which it should begin, Patience the one after
	// which its caller leaves, both from its arrival.
	Objective time.Duration
	Patience  time.Duration
	// Urgent is set for a stream that goes on after a break.
	Urgent bool
	// Class says whether it is a caller's request or an item of a job. An item is
	// due in DueIn, or Late if it cannot be done by then.
	Class core.Class
	DueIn time.Duration
	Late  bool
}

// Place returns a replica at which the request was counted. Without one it
// returns the time after which a slot may be free, or 0 if that is not known.
func (s *Service) Place(ctx context.Context, q *Query) (*replica.Replica, time.Duration) {
	g := group{Service: q.Service, Count: s.groups(q.Service)}
	g.Index = rand.IntN(g.Count)
	for _, hub := range s.usable(g) {
		r, wait, err := s.placeAt(ctx, hub, g, q)
		switch {
		case err == nil:
			return r, wait
		case ctx.Err() != nil:
			return nil, 0
		case errors.Is(err, errHubKnowsNone):
		default:
			s.giveUp(hub, err)
		}
	}
	return s.placeAlone(q), 0
}

// placeAlone chooses by what this node knows itself.
func (s *Service) placeAlone(q *Query) *replica.Replica {
	s.alone.Lock() // items placed together must see each other
	defer s.alone.Unlock()
	now := time.Now()
	choice := &replica.Query{Service: q.Service, DataCentre: s.Nodes.Self().DataCentre, Now: now, Tried: q.Tried}
	if q.Class == core.ClassBatch {
		choice.Room = itemRoom
	}
	r := s.Registry.Choose(choice)
	if r == nil {
		return nil
	}
	if q.Class == core.ClassOnline && r.Busy(now) >= float64(r.Info().Slots) {
		s.Yield(r)
	}
	r.Begin(q.Class)
	return r
}

// placeAt asks one hub until it places or refuses the request.
func (s *Service) placeAt(ctx context.Context, hub core.NodeID, g group, q *Query) (*replica.Replica, time.Duration, error) {
	s.mu.Lock()
	t := s.tellings[g]
	s.mu.Unlock()
	if t == nil || t.hub != hub {
		s.tellHub(g, hub, time.Now())
	}
	tried := slices.Clone(q.Tried)
	for {
		id := s.asks.Add(1)
		given, wait, err := s.await(ctx, hub, g, q, id, tried)
		if err != nil || wait > 0 {
			s.sendWithdraw(hub, g, id)
			return nil, wait, err
		}
		if r := s.accept(hub, g, q, given); r != nil {
			return r, 0, nil
		}
		s.sendWithdraw(hub, g, id)
		tried = append(tried, given.Replica)
	}
}

// avoided returns the replicas of a service with failures that this node saw.
func (s *Service) avoided(service core.DeploymentID) []core.ReplicaID {
	var out []core.ReplicaID
	now := time.Now()
	ready := s.Registry.Ready(service)
	for _, r := range ready {
		if r.Avoided(now) {
			out = append(out, r.Info().ID)
		}
	}
	if len(out) == len(ready) {
		return nil
	}
	return out
}

// await asks and waits for the grant. For a request that is refused it returns
// the expected wait instead.
func (s *Service) await(ctx context.Context, hub core.NodeID, g group, q *Query, id uint64, tried []core.ReplicaID) (granted, time.Duration, error) {
	grants := make(chan granted, 1)
	s.mu.Lock()
	s.waits[id] = grants
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waits, id)
		s.mu.Unlock()
	}()
	for {
		answer, err := s.ask(ctx, hub, g, q, id, tried)
		if err != nil {
			return granted{}, 0, err
		}
		switch answer.Verdict {
		case verdictGranted:
			return granted{ID: id, Replica: answer.Replica, Grant: answer.Grant}, 0, nil
		case verdictRefused:
			return granted{}, max(answer.Wait, time.Millisecond), nil
		case verdictQueued:
			if given, err := next(ctx, grants, q.again()); err != nil || given.Replica != "" {
				return given, 0, err
			}
		default:
			return granted{}, 0, errHubKnowsNone
		}
	}
}

// again is the time after which a request that waits asks again.
func (q *Query) again() time.Duration {
	if q.Class == core.ClassBatch {
		return itemAskAgain
	}
	return askAgain
}

// next waits for a grant; it returns none when it is time to ask again.
func next(ctx context.Context, grants <-chan granted, again time.Duration) (granted, error) {
	timer := time.NewTimer(again)
	defer timer.Stop()
	select {
	case g := <-grants:
		return g, nil
	case <-timer.C:
		return granted{}, nil
	case <-ctx.Done():
		return granted{}, ctx.Err()
	}
}

func (s *Service) ask(ctx context.Context, hub core.NodeID, g group, q *Query, id uint64, tried []core.ReplicaID) (askAnswer, error) {
	avoided := s.avoided(q.Service)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer askAnswer
	err := s.Transport.Call(ctx, hub, kindAsk, &ask{
		Group: g, ID: id, DataCentre: s.Nodes.Self().DataCentre, Urgent: q.Urgent,
		Not: append(avoided, tried...), Avoided: len(avoided),
		Waited: time.Since(q.Arrived), Objective: q.Objective, Patience: q.Patience,
		Batch: q.Class == core.ClassBatch, DueIn: q.DueIn, Late: q.Late,
	}, &answer)
	return answer, err
}

// accept counts the request at the replica, unless the replica takes no new
// work by what this node knows.
func (s *Service) accept(hub core.NodeID, g group, q *Query, given granted) *replica.Replica {
	r := s.Registry.Get(given.Replica)
	if r == nil || r.Info().Leaving || r.Info().Service != q.Service || slices.Contains(q.Tried, given.Replica) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Begin(q.Class)
	if t := s.tellings[g]; t != nil && t.hub == hub {
		t.seen = append(t.seen, given.Grant)
	}
	return r
}

func (s *Service) sendWithdraw(hub core.NodeID, g group, id uint64) {
	if err := s.Transport.Send(hub, kindWithdraw, &withdraw{Group: g, ID: id}); err != nil {
		s.Log.Debug("withdrawal not sent, it expires", "node", hub, "error", err)
	}
}

// granted takes the grant of a request that waited. A grant that nobody waits
// for expires at the hub.
func (s *Service) granted(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var g granted
	if err := msgpack.Unmarshal(body, &g); err != nil {
		return nil, err
	}
	s.mu.Lock()
	grants := s.waits[g.ID]
	s.mu.Unlock()
	if grants == nil {
		return nil, nil
	}
	select {
	case grants <- g:
	default: // it was told twice
	}
	return nil, nil
}
