package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/batch/store"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
)

// Params holds the dependencies of a Coordinator.
type Params struct {
	Store     *store.Store
	Config    batch.Config
	Log       *slog.Logger
	Scope     tally.Scope
	Messenger peer.Messenger
	Members   func() *membership.View
	// Weight returns the fair-share weight of an organisation, 1 or more.
	Weight func(core.Org) int
}

// Coordinator implements the coordinator role of one node.
type Coordinator struct {
	p        Params
	scanWake chan struct{}   // requests a scan
	actWake  chan struct{}   // requests endJobs and announceWork without a scan
	observer *lease.Observer // used only by the loop goroutine

	mu       sync.Mutex
	jobs     map[core.JobID]*jobInfo
	lastScan time.Time
	scanErrs int

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Coordinator and registers its message handlers.
func New(p Params) *Coordinator {
	c := &Coordinator{
		p: p, scanWake: make(chan struct{}, 1), actWake: make(chan struct{}, 1),
		observer: lease.NewObserver(p.Config.LeaseDuration),
		jobs:     make(map[core.JobID]*jobInfo),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	p.Messenger.Handle(KindRangeRequest, c.handleRangeRequest)
	p.Messenger.Handle(KindRangeReport, c.handleRangeReport)
	p.Messenger.Handle(KindJobChanged, c.handleJobChanged)
	return c
}

// Start starts the scan loop.
func (c *Coordinator) Start() { c.wg.Go(c.loop) }

// Stop stops the scan loop and waits for it. Other coordinators take over the
// open jobs.
func (c *Coordinator) Stop() {
	c.cancel()
	c.wg.Wait()
}

func (c *Coordinator) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.actWake:
			c.endJobs()
			c.announceWork()
			continue
		case <-c.scanWake:
		case <-timer.C:
			timer.Reset(c.p.Config.ScanEvery)
		}
		c.scan(c.ctx)
	}
}

// Wake requests a scan without waiting for it.
func (c *Coordinator) Wake() { signal(c.scanWake) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// NotifyJob notifies the coordinator of a job that the job was accepted or
// changed.
func (c *Coordinator) NotifyJob(id core.JobID) {
	if owner, ok := c.owner(records.Shard(id, c.p.Config.Shards)); ok {
		// If the message is lost, the next scan finds the change.
		_ = c.p.Messenger.Send(owner, KindJobChanged, JobChanged{Job: id})
	}
}

// owner returns the node that coordinates a shard.
func (c *Coordinator) owner(shard int) (core.NodeID, bool) {
	return c.p.Members().Owner(records.ShardName(shard), "")
}

func (c *Coordinator) ownsShard(shard int) bool {
	owner, ok := c.owner(shard)
	return ok && owner == c.p.Messenger.Self()
}
