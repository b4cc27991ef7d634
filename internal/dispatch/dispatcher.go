package dispatch

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/route"
)

const (
	// reserveTimeout is how long the owner of a replica has to answer a reserve
	// message. The round trip takes about 2 ms, and owners answer from memory.
	reserveTimeout = 20 * time.Millisecond
	// minRetryAfter is the smallest RetryAfter of a refusal for overload.
	minRetryAfter = time.Second
	// maxRetryAfter is the largest RetryAfter, because load changes within
	// seconds.
	maxRetryAfter = 30 * time.Second
	// maxNoWaitAttempts is the number of replicas that one Acquire asks for a
	// free slot before it waits in a queue. The estimate of a replica's load is
	// up to a second old: at 80 % of capacity, about one in three replicas that
	// seem to have a free slot is full. So after four attempts about one request
	// in a hundred has to wait.
	maxNoWaitAttempts = 4
	// maxBatchAttempts is the number of replicas that one Acquire with NoWait
	// asks. If by estimate no replica has a free slot, one is asked nevertheless:
	// capacity stays idle for only seconds, and the estimate may be as old.
	maxBatchAttempts = 2
	// maxQueueAttempts is the number of times that one Acquire may wait in a
	// queue.
	maxQueueAttempts = 2
)

// Dispatcher acquires slots on replicas for work. Its methods are safe for
// concurrent use.
type Dispatcher struct {
	options     Options
	router      *route.Router
	live        reservations
	idPrefix    string
	sequence    atomic.Uint64
	random      atomic.Uint64
	counters    counters
	syncTargets syncTargets
}

// New returns a Dispatcher and registers its message handler.
func New(options Options) *Dispatcher {
	d := &Dispatcher{
		options: options,
		router:  route.NewRouter(options.DataCentre, options.Region),
		idPrefix: string(options.Messenger.Self()) + "/" +
			strconv.FormatInt(options.Now().UnixNano(), 36) + "/",
	}
	d.live.byID = make(map[core.ReservationID]*reservation)
	d.syncTargets.remaining = make(map[core.NodeID]int)
	d.random.Store(options.Seed)
	options.Messenger.Handle(owner.KindEvent, d.onEvent)
	return d
}

// Acquire returns a slot for the work, or a refusal. Refused work was not run.
// Acquire returns a refusal when ctx is done or the deadline of the work passes.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (Slot, *core.Refusal) {
	excluded := append([]core.ReplicaID(nil), request.Exclude...)
	refusal := core.Refuse(core.CodeNoBackend, "no backend server of the deployment is usable")
	for noWaitAttempts, queueAttempts := 0, 0; queueAttempts < maxQueueAttempts; {
		choice := d.choose(request, excluded)
		if choice.Replica == nil && noWaitAttempts > 0 && queueAttempts == 0 && !request.NoWait {
			// The replicas that seemed to have a free slot are full. Start again
			// and wait in the queue of one.
			excluded, noWaitAttempts = excluded[:len(request.Exclude)], maxNoWaitAttempts
			choice = d.choose(request, excluded)
		}
		if choice.Replica == nil {
			break
		}
		attempt := request
		lastAttempt := request.NoWait && (noWaitAttempts+1 == maxBatchAttempts || !choice.Replica.HasFreeSlot(request.Class))
		attempt.NoWait = request.NoWait || (noWaitAttempts < maxNoWaitAttempts && !choice.Replica.HasQueue())
		slot, refused := d.place(ctx, attempt, choice, excluded)
		if slot != nil {
			d.counters.acquired[request.Class].Add(1)
			return slot, nil
		}
		refusal = refused
		if attempt.NoWait {
			noWaitAttempts++
		} else {
			queueAttempts++
		}
		if refused.Code != core.CodeOverloaded || lastAttempt {
			break
		}
		excluded = append(excluded, choice.Replica.ID())
	}
	d.counters.refused[request.Class].Add(1)
	return nil, refusal
}

func (d *Dispatcher) choose(request Request, excluded []core.ReplicaID) route.Choice {
	return d.router.ChooseFrom(d.options.Replicas(), d.options.Settings(), route.Query{
		Deployment: request.Deployment, Class: request.Class, PrefixHash: request.PrefixHash,
		Exclude: excluded, Random: d.nextRandom(), Now: d.options.Now(),
	})
}

// nextRandom returns the next number of a SplitMix64 generator.
func (d *Dispatcher) nextRandom() uint64 {
	x := d.random.Add(0x9E3779B97F4A7C15)
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

// ownerOf returns the owner of the replica, or "" if there is none.
func ownerOf(members *membership.View, r *route.Replica) core.NodeID {
	id, _ := members.Owner(string(r.ID()), r.Info.DataCentre)
	return id
}

// applyLoad applies the load and latency that the owner of a replica reports.
func (d *Dispatcher) applyLoad(r *reservation, load owner.Load) {
	r.choice.Replica.SetLoad(load.InUse-load.Batch+load.Queued, load.Batch)
	ratio, duration := d.ejectionSettings(r.request.Deployment)
	d.router.ApplyReport(r.choice.Replica.ID(), route.Report{
		FirstToken: load.FirstToken, PerToken: load.PerToken, Observations: load.Observations,
		EjectRatio: ratio, EjectDuration: duration, Now: d.options.Now(),
	})
}

// ejectionSettings returns the ejection ratio and duration of a deployment.
func (d *Dispatcher) ejectionSettings(id core.DeploymentID) (ratio float64, duration time.Duration) {
	if deployment := d.options.Settings().Deployment(id); deployment != nil {
		return deployment.EjectRatio, deployment.EjectDuration
	}
	return 0, 0
}

func (d *Dispatcher) onEvent(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var m owner.EventMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode event")
	}
	if r := d.live.get(m.ID); r != nil {
		r.deliver(m)
	}
	return nil, nil
}

// endedRefusal returns the refusal of work whose context is done or whose
// deadline has passed, or nil.
func endedRefusal(ctx context.Context, deadline, now time.Time) *core.Refusal {
	if err := ctx.Err(); errors.Is(err, context.DeadlineExceeded) {
		return core.Refuse(core.CodeDeadlineExceeded, "the deadline passed before the work got a slot")
	} else if err != nil {
		return core.Refuse(core.CodeCancelled, "the caller withdrew the work before it got a slot")
	}
	if !deadline.IsZero() && !now.Before(deadline) {
		return overloaded("no slot became free before the deadline", 0)
	}
	return nil
}

// overloaded returns a refusal for overload that advises a retry after the wait,
// within minRetryAfter and maxRetryAfter.
func overloaded(message string, wait time.Duration) *core.Refusal {
	refusal := core.Refuse(core.CodeOverloaded, message)
	refusal.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	return refusal
}
