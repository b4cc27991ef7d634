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
	// acknowledgeTimeout is how long the owner of a replica has for its first
	// answer. Owners are about 2 ms away and answer from memory.
	acknowledgeTimeout = 20 * time.Millisecond
	// minRetryAfter is the least advice that a refusal for overload gives.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the advice, because load changes within seconds.
	maxRetryAfter = 30 * time.Second
	// freeAttempts bounds the replicas that one Acquire asks for a free slot
	// without waiting. An estimate is up to a second old, and at four fifths of
	// capacity a replica that should have room is full in about one of three
	// cases, so four attempts leave about one request in a hundred to wait.
	freeAttempts = 4
	// batchAttempts is the same for work that does not wait at all. If by
	// estimate no replica has room, one is asked: idle capacity lasts only
	// seconds, and the estimate may be that old.
	batchAttempts = 2
	// queueAttempts bounds the replicas at which one Acquire may wait.
	queueAttempts = 2
)

// Dispatcher gives work slots on replicas. Its methods are safe for concurrent
// use.
type Dispatcher struct {
	options  Options
	router   *route.Router
	live     reservations
	prefix   string
	sequence atomic.Uint64
	random   atomic.Uint64
	counters counters
	lists    lists
}

// New returns a dispatcher and registers its message handler.
func New(options Options) *Dispatcher {
	d := &Dispatcher{
		options: options,
		router:  route.NewRouter(options.DataCentre, options.Region),
		prefix: string(options.Messenger.Self()) + "/" +
			strconv.FormatInt(options.Now().UnixNano(), 36) + "/",
	}
	d.live.byID = make(map[core.ReservationID]*reservation)
	d.lists.owners = make(map[core.NodeID]int)
	d.random.Store(options.Seed)
	options.Messenger.Handle(owner.KindEvent, d.onEvent)
	return d
}

// Acquire returns a slot, or the reason why the work gets none. The work was
// not run if it is refused. Acquire returns when ctx ends, at the latest at the
// deadline of the work.
func (d *Dispatcher) Acquire(ctx context.Context, ask Request) (Slot, *core.Refusal) {
	excluded := append([]core.ReplicaID(nil), ask.Exclude...)
	refusal := core.Refuse(core.CodeNoBackend, "no backend server of the deployment is usable")
	for free, queued := 0, 0; queued < queueAttempts; {
		choice := d.choose(ask, excluded)
		if choice.Replica == nil && free > 0 && queued == 0 && !ask.NoWait {
			// The replicas that seemed to have room are full; wait at one.
			excluded, free = excluded[:len(ask.Exclude)], freeAttempts
			choice = d.choose(ask, excluded)
		}
		if choice.Replica == nil {
			break
		}
		step := ask
		last := ask.NoWait && (free+1 == batchAttempts || !choice.Replica.HasRoom(ask.Class))
		step.NoWait = ask.NoWait || (free < freeAttempts && !choice.Replica.HasQueue())
		slot, refused := d.place(ctx, step, choice, excluded)
		if slot != nil {
			d.counters.acquired[ask.Class].Add(1)
			return slot, nil
		}
		refusal = refused
		if step.NoWait {
			free++
		} else {
			queued++
		}
		if refused.Code != core.CodeOverloaded || last {
			break
		}
		excluded = append(excluded, choice.Replica.ID())
	}
	d.counters.refused[ask.Class].Add(1)
	return nil, refusal
}

func (d *Dispatcher) choose(ask Request, excluded []core.ReplicaID) route.Choice {
	d.router.Update(d.options.Replicas(), d.options.Settings())
	return d.router.Choose(route.Query{
		Deployment: ask.Deployment, Class: ask.Class, PrefixHash: ask.PrefixHash,
		Exclude: excluded, Random: d.nextRandom(), Now: d.options.Now(),
	})
}

// nextRandom is SplitMix64.
func (d *Dispatcher) nextRandom() uint64 {
	x := d.random.Add(0x9E3779B97F4A7C15)
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

// owned returns the owner of the replica, or "" if there is none.
func owned(members *membership.View, r *route.Replica) core.NodeID {
	id, _ := members.Owner(string(r.ID()), r.Info.DataCentre)
	return id
}

// learn takes over the owner's load and speed of a replica.
func (d *Dispatcher) learn(r *reservation, load owner.Load) {
	r.choice.Replica.SetLoad(load.InUse-load.Batch+load.Queued, load.Batch)
	ratio, duration := d.ejection(r.ask.Deployment)
	d.router.Learn(r.choice.Replica.ID(), route.Report{
		FirstToken: load.FirstToken, PerToken: load.PerToken, Observations: load.Observations,
		EjectRatio: ratio, EjectDuration: duration, Now: d.options.Now(),
	})
}

// ejection returns the settings of ejection of a deployment.
func (d *Dispatcher) ejection(id core.DeploymentID) (ratio float64, duration time.Duration) {
	if service := d.options.Settings().Deployment(id); service != nil {
		return service.EjectRatio, service.EjectDuration
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

// ended returns the refusal of work whose context ended or whose deadline
// passed, or nil.
func ended(ctx context.Context, deadline, now time.Time) *core.Refusal {
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

func overloaded(message string, wait time.Duration) *core.Refusal {
	refusal := core.Refuse(core.CodeOverloaded, message)
	refusal.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	return refusal
}
