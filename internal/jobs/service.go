package jobs

import (
	"context"
	"log/slog"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

// Placer finds replicas for items.
type Placer interface {
	// Place waits for a replica, counts the item there and returns the replica. It
	// returns nil if none was found before ctx or the query's MaxWait had passed.
	Place(ctx context.Context, q *placement.Query) (*replica.Replica, time.Duration)
}

// Options are the dependencies and settings of a Service.
type Options struct {
	Table    infra.PartitionedTable
	Objects  infra.Objects
	Executor *Executor
	Placer   Placer
	// Registry lists the replicas that the Placer places items at.
	Registry *replica.Registry
	// Messenger passes jobs on to other nodes when this one stops. If nil, they are
	// claimed after the node's lease has ended.
	Messenger peer.Messenger
	// Nodes is the directory of nodes. Its own record identifies this node as an
	// owner of jobs.
	Nodes *nodes.Directory
	// Clock returns the time of the store's monotonic clock. ok is false until it
	// is known.
	Clock func() (now time.Duration, ok bool)
	// JobRetention is how long a job stays readable after its submission. Ended
	// jobs are then deleted; 0 keeps them forever.
	JobRetention time.Duration
	Log          *slog.Logger
}

// Service accepts, executes and serves the batch jobs of a node.
type Service struct {
	JobCache *JobCache
	Intake   *Intake
	Reader   *Reader
	runner   *Runner
	claimer  *orphanClaimer
	sweep    *sweeper
	nodes    *nodes.Directory
	waiting  *waitingTokens
	// handovers is nil without a messenger.
	handovers *handovers
}

// New returns a service. It executes no jobs until Run is called.
func New(o Options) *Service {
	s := &store{table: o.Table, objects: o.Objects}
	owner := o.Nodes.Self()
	cache := NewJobCache(o.Log)
	runner := newRunner(s, cache, &o)
	service := &Service{
		JobCache: cache,
		Reader:   &Reader{store: s, cache: cache, jobItems: newItemCache()},
		Intake: &Intake{
			store: s, cache: cache, clock: o.Clock, owner: owner.Owner(), configVersion: o.Executor.configVersion, log: o.Log,
			onAccepted: func(e Entry, items []Item) { runner.StartJob(e, items, nil) },
		},
		runner:  runner,
		claimer: &orphanClaimer{runner: runner, claiming: make(map[string]bool)},
		nodes:   o.Nodes,
	}
	service.sweep = &sweeper{store: s, cache: cache, claimer: service.claimer, clock: o.Clock, retention: o.JobRetention}
	cache.Notify = runner.RowsChanged
	service.waiting = &waitingTokens{runner: runner, messenger: o.Messenger, view: o.Nodes.View}
	service.Intake.waitingOf = service.waiting.of
	if o.Messenger != nil {
		o.Messenger.Handle(kindWaiting, service.waiting.handle)
		service.handovers = &handovers{runner: runner, messenger: o.Messenger, view: o.Nodes.View}
		o.Messenger.Handle(kindOffer, service.handovers.handleOffer)
		o.Messenger.Handle(kindHandover, service.handovers.handleHandover)
	}
	return service
}

// CatchUpWith sets the function with which the cache is brought up to date before a job is
// accepted that takes its organisation near its limit. It must be called before Run.
func (s *Service) CatchUpWith(catchUp func(context.Context) error) { s.Intake.catchUp = catchUp }

// Run executes jobs, claims orphaned ones and deletes expired ones until ctx
// ends.
func (s *Service) Run(ctx context.Context) {
	go s.runner.Run(ctx)
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	sweeps := time.NewTicker(sweepInterval)
	defer sweeps.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweeps.C:
			if view := s.nodes.View(); view.Settled {
				s.sweep.sweep(ctx, view)
			}
		case <-ticker.C:
			if view := s.nodes.View(); view.Settled {
				s.claimer.claimOrphans(ctx, view)
			}
		}
	}
}

// Submit stores a job; see Intake.Submit.
func (s *Service) Submit(ctx context.Context, sub *Submission, route *routetable.Route, retryFor time.Duration) SubmitOutcome {
	return s.Intake.Submit(ctx, sub, route, retryFor)
}

// Waiting are the open jobs of an organisation, and the tokens of their items without a
// result.
type Waiting struct {
	Jobs   int
	Tokens int64
}

// WaitingByOrganisation returns the open jobs by organisation. Owners of jobs that do not
// answer count with all tokens.
func (s *Service) WaitingByOrganisation(ctx context.Context) map[core.Org]Waiting {
	open := s.JobCache.Select(func(e *Entry) bool { return e.State == StateOpen })
	known := s.waiting.of(ctx, open)
	out := make(map[core.Org]Waiting)
	for i := range open {
		w, tokens := out[open[i].Org], open[i].Tokens
		if rest, ok := known[open[i].ID]; ok {
			tokens = rest
		}
		out[open[i].Org] = Waiting{Jobs: w.Jobs + 1, Tokens: w.Tokens + tokens}
	}
	return out
}

// Preempt preempts an item to free a slot for online work; see Runner.Preempt.
func (s *Service) Preempt(r *replica.Replica) bool { return s.runner.Preempt(r) }

// Victims returns the items that Preempt would choose; see Runner.Victims.
func (s *Service) Victims() map[core.ReplicaID]placement.Victim { return s.runner.Victims() }

// itemDrainTimeout is how long items may run on, when the node stops, whose jobs could
// not be passed on. Other nodes resume them after this node's lease has ended.
const itemDrainTimeout = 3 * time.Second

// PassOn takes no more jobs from other nodes and passes the jobs on to them. It returns
// when that is done or ctx ends; until then, and for jobs that are submitted to this node
// later, items run on. While the store does not answer, no node can take any.
func (s *Service) PassOn(ctx context.Context) {
	s.runner.refuseJobs()
	if s.handovers != nil && !s.nodes.Failing() {
		s.handovers.passOn(ctx)
	}
}

// Stop passes the remaining jobs on and stops the execution of those that no node takes;
// see Runner.Stop.
func (s *Service) Stop(ctx context.Context) {
	s.PassOn(ctx)
	ctx, cancel := context.WithTimeout(ctx, itemDrainTimeout)
	defer cancel()
	s.runner.Stop(ctx)
}

// Counts returns the number of jobs, pending items and running items of this
// node, for the state dump.
func (s *Service) Counts() (jobs, pending, running int) { return s.runner.JobCounts() }
