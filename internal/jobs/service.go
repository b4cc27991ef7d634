package jobs

import (
	"context"
	"log/slog"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routes"
)

// Placer finds replicas for items.
type Placer interface {
	// Place waits for a replica, counts the item there and returns it, or nil if
	// there was none in time.
	Place(ctx context.Context, q *placement.Query) (*replica.Replica, time.Duration)
}

// Options are what a Service needs.
type Options struct {
	Table    infra.PartitionedTable
	Objects  infra.Objects
	Executor *Executor
	Placer   Placer
	// Nodes is the directory of nodes; its own record names the owner.
	Nodes *nodes.Directory
	// Clock is the store's steady clock; ok is false until it is known.
	Clock func() (now time.Duration, ok bool)
	// Keep is how long after its submission a job stays readable.
	Keep time.Duration
	Log  *slog.Logger
}

// Service is the batch part of a node.
type Service struct {
	Book   *Book
	Intake *Intake
	Reader *Reader
	runner *Runner
	take   *takeover
	sweep  *sweeper
	nodes  *nodes.Directory
}

// New returns a service that executes nothing until Run.
func New(o Options) *Service {
	s := &store{table: o.Table, objects: o.Objects}
	owner := o.Nodes.Self()
	book := NewBook(o.Log)
	runner := newRunner(s, book, &o)
	service := &Service{
		Book:   book,
		Reader: &Reader{store: s, book: book, cache: newItemCache()},
		Intake: &Intake{
			store: s, book: book, clock: o.Clock, owner: owner.Owner(), log: o.Log,
			accepted: func(e Entry, items []Item) { runner.Own(e, items, nil) },
		},
		runner: runner,
		take:   &takeover{runner: runner, claiming: make(map[string]bool)},
		nodes:  o.Nodes,
	}
	service.sweep = &sweeper{store: s, book: book, take: service.take, clock: o.Clock, keep: o.Keep}
	book.Notify = runner.Changed
	return service
}

// Run executes jobs until ctx ends.
func (s *Service) Run(ctx context.Context) {
	go s.runner.Run(ctx)
	ticker := time.NewTicker(reviewPause)
	defer ticker.Stop()
	sweeps := time.NewTicker(sweepEvery)
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
				s.take.review(ctx, view)
			}
		}
	}
}

// Submit stores a job; see Intake.Submit.
func (s *Service) Submit(ctx context.Context, sub *Submission, route *routes.Route, patience time.Duration) Verdict {
	return s.Intake.Submit(ctx, sub, route, patience)
}

// Yield lets online work have a slot of a replica; see Runner.Yield.
func (s *Service) Yield(r *replica.Replica) bool { return s.runner.Yield(r) }

// Stop ends the execution; see Runner.Stop.
func (s *Service) Stop(ctx context.Context) { s.runner.Stop(ctx) }

// Counts returns the jobs and items at this node, for the state dump.
func (s *Service) Counts() (jobs, pending, running int) { return s.runner.Owned() }
