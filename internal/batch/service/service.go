package service

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/batchhttp"
	"gentiantide.example/gentiantide/internal/batch/coordinator"
	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/batch/results"
	"gentiantide.example/gentiantide/internal/batch/store"
	"gentiantide.example/gentiantide/internal/batch/worker"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/settings"
)

// Params holds the dependencies of a Service.
type Params struct {
	Config  batch.Config
	Table   infra.Table
	Objects infra.Objects
	// Messenger must not be started yet, since New registers handlers with it.
	Messenger peer.Messenger
	Members   func() *membership.View
	// Incarnation distinguishes this process from earlier ones of the same node.
	Incarnation int64
	Runner      batch.Runner
	Log         *slog.Logger
	Scope       tally.Scope
	// Weight returns the fair-share weight of an organisation. If nil, all weights
	// are 1.
	Weight func(core.Org) int
	// MaxTries returns the maximum number of tries of an item. If nil,
	// Config.MaxTries applies.
	MaxTries func(batch.Item) int
	// CheckURL returns the reason why items cannot be sent to a URL, or "". If nil,
	// all URLs are allowed.
	CheckURL     func(method, url string) string
	Authenticate func(*http.Request) (core.Org, *core.Refusal)
	WriteRefusal func(http.ResponseWriter, *core.Refusal)
}

// WeightFrom returns a function for Params.Weight that reads the weight of an
// organisation from the current settings.
func WeightFrom(snapshot func() *settings.Snapshot) func(core.Org) int {
	return func(org core.Org) int { return snapshot().Organisation(org).Weight }
}

// Service runs batch processing on one node.
type Service struct {
	p           Params
	intake      *intake.Intake
	coordinator *coordinator.Coordinator
	worker      *worker.Worker
	http        *batchhttp.Handler
}

// New returns a Service and registers its message handlers.
func New(p Params) *Service {
	if p.Weight == nil {
		p.Weight = func(core.Org) int { return 1 }
	}
	if p.MaxTries == nil {
		p.MaxTries = func(batch.Item) int { return p.Config.MaxTries }
	}
	s := &Service{p: p}
	st := store.New(p.Table, p.Objects, p.Config)
	s.coordinator = coordinator.New(coordinator.Params{
		Store: st, Config: p.Config, Log: p.Log, Scope: p.Scope,
		Messenger: p.Messenger, Members: p.Members, Weight: p.Weight,
	})
	s.worker = worker.New(worker.Params{
		Store: st, Config: p.Config, Log: p.Log, Scope: p.Scope, Messenger: p.Messenger,
		Leases: lease.NewManager(st, p.Config, p.Messenger.Self(), p.Incarnation, p.Log),
		Runner: p.Runner, Report: s.report, MaxTries: p.MaxTries, Weight: p.Weight,
	})
	s.intake = intake.New(intake.Params{
		Store: st, Config: p.Config, Log: p.Log, Scope: p.Scope,
		CheckURL: p.CheckURL, Notify: s.coordinator.NotifyJob,
	})
	s.http = batchhttp.New(batchhttp.Params{
		Intake: s.intake, Results: results.NewReader(st),
		Authenticate: p.Authenticate, WriteRefusal: p.WriteRefusal,
	})
	return s
}

// report sends a worker's report to the coordinator of the job.
func (s *Service) report(job core.JobID, report coordinator.RangeReport) {
	shard := records.Shard(job, s.p.Config.Shards)
	if owner, ok := s.p.Members().Owner(records.ShardName(shard), ""); ok {
		// If the message is lost, a scan finds the change.
		_ = s.p.Messenger.Send(owner, coordinator.KindRangeReport, report)
	}
}

// Register adds /v1/files and /v1/batches to a mux.
func (s *Service) Register(mux *http.ServeMux) { s.http.Register(mux) }

// Intake returns the component that accepts files and jobs.
func (s *Service) Intake() *intake.Intake { return s.intake }

// Start starts the coordinator and the worker.
func (s *Service) Start() {
	s.coordinator.Start()
	s.worker.Start()
}

// Stop starts no more items, waits for the running ones until ctx ends, and then
// interrupts them. It releases all ranges, so that other nodes can claim them at
// once.
func (s *Service) Stop(ctx context.Context) error {
	err := s.worker.Stop(ctx)
	s.coordinator.Stop()
	return err
}

// Kill stops all activity at once without releasing any range, like the loss of
// the node.
func (s *Service) Kill() {
	s.worker.Kill()
	s.coordinator.Stop()
}

// Dump is a snapshot of the state of batch processing on a node for operators.
type Dump struct {
	Time        time.Time
	Worker      worker.Dump
	Coordinator coordinator.Dump
}

// Dump returns the current state as a value of type Dump.
func (s *Service) Dump() any {
	return Dump{Time: time.Now().UTC(), Worker: s.worker.Dump(), Coordinator: s.coordinator.Dump()}
}
