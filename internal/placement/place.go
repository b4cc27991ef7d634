package placement

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/promptcache"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// hubCallTimeout bounds a call to a hub. It takes a few ms between data
	// centres, and some tens of ms on a busy small VM.
	hubCallTimeout = 80 * time.Millisecond
	// onlineRetryInterval is how often a queued request asks again: the hub may
	// have restarted, or the message with the grant was lost.
	onlineRetryInterval = 300 * time.Millisecond
	// batchRetryInterval is the same for an item of a job. It is longer because
	// many items may be queued.
	batchRetryInterval = time.Second
	// itemMinFreeSlots is the number of free slots that a replica must have to
	// get an item without a hub, including the slot that the item takes. The
	// others are left for online work that this node does not know of yet.
	itemMinFreeSlots = 3
)

var errNoReplica = errors.New("hub knows no replica for the request")

// Query describes a request, or an item of a job, that needs a replica.
type Query struct {
	Service core.DeploymentID
	// Tried are the replicas that the request must not return to.
	Tried []core.ReplicaID
	// Version, if set, is the version of the software that the replica must have.
	Version *core.SoftwareVersion
	// Arrived is when the request arrived at this node.
	Arrived time.Time
	// Objective is the time in which the response should begin, and MaxWait the
	// time after which the caller gives up, both since the arrival.
	Objective time.Duration
	MaxWait   time.Duration
	// Identity is the same when the caller sends the request again, or 0.
	Identity uint64
	// Urgent is set for a stream that resumes after an interruption.
	Urgent bool
	// Class distinguishes online requests from items of jobs. DueIn is the
	// time until an item is due. Late is set if it cannot be done by then.
	Class core.Class
	DueIn time.Duration
	Late  bool
	// Org is the organisation that the request belongs to, or empty. Weight is its
	// weight among the organisations, 1 if it is 0, and Priority the rank of the request:
	// 0 is the highest.
	Org      core.Org
	Weight   float64
	Priority int
	// Tokens is what the request costs a replica: tokens of the prompt plus the output
	// that is expected, or 0 if it is unknown.
	Tokens int
	// Repeatable is set if the request has not run yet and may be run again if its run fails.
	Repeatable bool
	// Prompt are the parts of the prompt, if replicas keep some.
	Prompt []promptcache.Part
}

// Place returns a replica and counts the request as in flight there; the caller
// must call End on the replica when the request has ended. If there is no
// replica, it returns nil and the time after which a slot may be free, or 0 if
// that is unknown.
func (s *Service) Place(ctx context.Context, q *Query) (*replica.Replica, time.Duration) {
	g := group{Service: q.Service, Count: s.numGroups(q.Service)}
	g.Index = rand.IntN(g.Count)
	for _, hub := range s.usableHubs(g) {
		r, wait, err := s.placeViaHub(ctx, hub, g, q)
		switch {
		case err == nil:
			return r, wait
		case ctx.Err() != nil:
			return nil, 0
		case errors.Is(err, errNoReplica):
		default:
			s.markDown(hub, err)
		}
	}
	return s.placeLocally(q), 0
}

// placeLocally chooses a replica without a hub, by what this node knows.
func (s *Service) placeLocally(q *Query) *replica.Replica {
	s.localMu.Lock() // concurrent placements must see each other's work
	defer s.localMu.Unlock()
	now := time.Now()
	choice := &replica.Query{
		Service: q.Service, DataCentre: s.Nodes.Self().DataCentre, Now: now, Tried: q.Tried, Version: q.Version,
		MayUse: func(r *replica.Replica) bool { return s.mayUseLocally(r, now) },
	}
	if q.Class == core.ClassBatch {
		choice.MinFreeSlots = itemMinFreeSlots
	}
	r := s.Registry.Choose(choice)
	if r == nil {
		return nil
	}
	s.takeLocalShare(r, now)
	if q.Class == core.ClassOnline && r.EstimatedLoad(now) >= float64(r.Info().Slots) {
		s.Preempt(r)
	}
	r.Begin(q.Class)
	return r
}

// placeViaHub asks one hub until it places or rejects the request.
func (s *Service) placeViaHub(ctx context.Context, hub core.NodeID, g group, q *Query) (*replica.Replica, time.Duration, error) {
	s.mu.Lock()
	sent := s.sentCounts[g]
	s.mu.Unlock()
	if sent == nil || sent.hub != hub {
		s.reportTo(ctx, hub, g)
	}
	tried := slices.Clone(q.Tried)
	for {
		id := s.lastRequestID.Add(1)
		grant, wait, err := s.awaitGrant(ctx, hub, g, q, id, tried)
		if err != nil || wait > 0 {
			s.sendWithdrawal(hub, g, id)
			return nil, wait, err
		}
		if r := s.acceptGrant(hub, g, q, grant); r != nil {
			return r, 0, nil
		}
		s.sendWithdrawal(hub, g, id)
		tried = append(tried, grant.Replica)
		if q.Version != nil {
			tried = s.appendOtherVersions(tried, q)
		}
	}
}

// appendOtherVersions adds the replicas of a service that have not the version of the
// query. A hub of an earlier build does not read the version of a request, and would
// grant one replica after the other.
func (s *Service) appendOtherVersions(tried []core.ReplicaID, q *Query) []core.ReplicaID {
	for _, r := range s.Registry.Ready(q.Service) {
		if info := r.Info(); !info.HasVersion(q.Version) && !slices.Contains(tried, info.ID) {
			tried = append(tried, info.ID)
		}
	}
	return tried
}

// ejectedReplicas returns the replicas of a service that this node has ejected,
// or none if these are all.
func (s *Service) ejectedReplicas(service core.DeploymentID) []core.ReplicaID {
	var out []core.ReplicaID
	now := time.Now()
	ready := s.Registry.Ready(service)
	for _, r := range ready {
		if r.Ejected(now) {
			out = append(out, r.Info().ID)
		}
	}
	if len(out) == len(ready) {
		return nil
	}
	return out
}

// awaitGrant asks a hub for a replica and waits for the grant. For a request
// that is rejected it returns the expected wait instead.
func (s *Service) awaitGrant(ctx context.Context, hub core.NodeID, g group, q *Query, id uint64, tried []core.ReplicaID) (grantNotice, time.Duration, error) {
	waiting := &waitingRequest{hub: hub, grants: make(chan grantNotice, 1)}
	s.mu.Lock()
	s.grantChans[id] = waiting
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.grantChans, id)
		s.mu.Unlock()
	}()
	for {
		answer, err := s.requestReplica(ctx, hub, g, q, id, tried)
		if err != nil {
			return grantNotice{}, 0, err
		}
		switch answer.Outcome {
		case outcomeGranted:
			return grantNotice{RequestID: id, Replica: answer.Replica, GrantID: answer.GrantID}, 0, nil
		case outcomeRejected:
			return grantNotice{}, max(answer.ExpectedWait, time.Millisecond), nil
		case outcomeQueued:
			grant, err := receiveGrant(ctx, waiting.grants, q.retryInterval())
			if grant.moved {
				return grantNotice{}, 0, errHubStopped
			}
			if err != nil || grant.Replica != "" || grant.RejectedFor > 0 {
				return grant, grant.RejectedFor, err
			}
		default:
			return grantNotice{}, 0, errNoReplica
		}
	}
}

// retryInterval is how often the request asks again while it is queued.
func (q *Query) retryInterval() time.Duration {
	if q.Class == core.ClassBatch {
		return batchRetryInterval
	}
	return onlineRetryInterval
}

// receiveGrant waits for a grant. It returns an empty one after retryAfter.
func receiveGrant(ctx context.Context, grants <-chan grantNotice, retryAfter time.Duration) (grantNotice, error) {
	timer := time.NewTimer(retryAfter)
	defer timer.Stop()
	select {
	case g := <-grants:
		return g, nil
	case <-timer.C:
		return grantNotice{}, nil
	case <-ctx.Done():
		return grantNotice{}, ctx.Err()
	}
}

func (s *Service) requestReplica(ctx context.Context, hub core.NodeID, g group, q *Query, id uint64, tried []core.ReplicaID) (placementResponse, error) {
	ejected := s.ejectedReplicas(q.Service)
	ctx, cancel := context.WithTimeout(ctx, hubCallTimeout)
	defer cancel()
	var answer placementResponse
	err := s.Transport.Call(ctx, hub, kindRequest, &placementRequest{
		Group: g, ID: id, DataCentre: s.Nodes.Self().DataCentre, Identity: q.Identity, Urgent: q.Urgent,
		Excluded: append(ejected, tried...), NumEjected: len(ejected), Version: q.Version,
		Waited: time.Since(q.Arrived), Objective: q.Objective, MaxWait: q.MaxWait,
		Batch: q.Class == core.ClassBatch, DueIn: q.DueIn, Late: q.Late,
		Org: q.Org, Weight: q.Weight, Priority: q.Priority, Tokens: q.Tokens, Repeatable: q.Repeatable, Prompt: q.Prompt,
	}, &answer)
	return answer, err
}

// acceptGrant counts the request as in flight at the replica. It returns nil
// if, by what this node knows, the replica takes no new work or has another version
// than the query asks for: the hub may know of an earlier process of the replica.
func (s *Service) acceptGrant(hub core.NodeID, g group, q *Query, grant grantNotice) *replica.Replica {
	r := s.Registry.Get(grant.Replica)
	if r == nil || r.Leaving() || r.Info().Service != q.Service || !r.Info().HasVersion(q.Version) || slices.Contains(q.Tried, grant.Replica) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Begin(q.Class)
	if sent := s.sentCounts[g]; sent != nil && sent.hub == hub {
		sent.unconfirmed = append(sent.unconfirmed, grant.GrantID)
	}
	return r
}

func (s *Service) sendWithdrawal(hub core.NodeID, g group, id uint64) {
	if err := s.Transport.Send(hub, kindWithdraw, &withdrawal{Group: g, RequestID: id}); err != nil {
		s.Log.Debug("cannot send a withdrawal; the request expires at the hub", "node", hub, "error", err)
	}
}

// handleGrant passes a grant to the request that waits for it. A grant for
// which no request waits expires at the hub.
func (s *Service) handleGrant(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var g grantNotice
	if err := msgpack.Unmarshal(body, &g); err != nil {
		return nil, err
	}
	s.mu.Lock()
	waiting := s.grantChans[g.RequestID]
	s.mu.Unlock()
	if waiting != nil {
		waiting.notify(g)
	}
	return nil, nil
}
