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

// Params is what a Coordinator is made of.
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

// Coordinator is the coordinator role of one node.
type Coordinator struct {
	p        Params
	kick     chan struct{}   // asks for a scan
	nudge    chan struct{}   // asks to act on what is known
	observer *lease.Observer // used by the scan loop only

	mu       sync.Mutex
	jobs     map[core.JobID]*jobInfo
	scanned  time.Time
	scanErrs int

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Coordinator and registers its message handlers.
func New(p Params) *Coordinator {
	c := &Coordinator{
		p: p, kick: make(chan struct{}, 1), nudge: make(chan struct{}, 1),
		observer: lease.NewObserver(p.Config.LeaseLength),
		jobs:     make(map[core.JobID]*jobInfo),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	p.Messenger.Handle(KindAsk, c.handleAsk)
	p.Messenger.Handle(KindReport, c.handleReport)
	p.Messenger.Handle(KindJob, c.handleJob)
	return c
}

// Start begins to scan.
func (c *Coordinator) Start() { c.wg.Go(c.loop) }

// Stop ends the scans. Jobs are left to the coordinators that follow.
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
		case <-c.nudge:
			c.endJobs()
			c.announce()
			continue
		case <-c.kick:
		case <-timer.C:
			timer.Reset(c.p.Config.ScanEvery)
		}
		c.scan(c.ctx)
	}
}

// Wake starts a scan soon.
func (c *Coordinator) Wake() { signal(c.kick) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// NotifyJob tells the coordinator of a job that it was accepted or changed.
func (c *Coordinator) NotifyJob(id core.JobID) {
	if owner, ok := c.owner(records.Shard(id, c.p.Config.Shards)); ok {
		// A lost notice is made up for by the next scan.
		_ = c.p.Messenger.Send(owner, KindJob, JobNotice{Job: id})
	}
}

// owner returns the coordinator of a shard.
func (c *Coordinator) owner(shard int) (core.NodeID, bool) {
	return c.p.Members().Owner(records.ShardName(shard), "")
}

func (c *Coordinator) mine(shard int) bool {
	owner, ok := c.owner(shard)
	return ok && owner == c.p.Messenger.Self()
}
