package jobs

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

const eventuallyTimeout = 10 * time.Second

// fixture is a runner over an in-memory store. It has no replicas, so no item is
// sent.
type fixture struct {
	*gomega.WithT
	rows     *infratest.Rows
	store    *store
	runner   *Runner
	registry *replica.Registry
}

func newFixture(t *testing.T, owner string) *fixture {
	t.Parallel()
	rows := infratest.NewRows()
	s := &store{table: rows, objects: infratest.NewObjects()}
	log := slog.New(slog.DiscardHandler)
	exec := &Executor{Codec: plainCodec{}, Routes: noRoutes(), Log: log}
	cache := NewJobCache(log)
	id, lifetime, _ := strings.Cut(owner, "/")
	self := nodes.Record{ID: core.NodeID(id), Lifetime: lifetime}
	placer := &localPlacer{registry: replica.NewRegistry()}
	runner := newRunner(s, cache, &Options{
		Executor: exec, Placer: placer, Registry: placer.registry, Nodes: nodes.NewDirectory(rows, self, log), Clock: rows.Clock, Log: log,
	})
	cache.Notify = runner.RowsChanged
	return &fixture{WithT: gomega.NewWithT(t), rows: rows, store: s, runner: runner, registry: placer.registry}
}

// job stores a job with the given items and starts it at the runner.
func (f *fixture) job(id string, items ...string) *ownedJob {
	record := &Record{ID: id, State: StateOpen, Owner: f.runner.owner, Total: len(items), AbandonAt: 1 << 60}
	version, err := f.store.put(context.Background(), record, 0)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	all := make([]Item, len(items))
	for i := range items {
		all[i].ID = items[i]
	}
	f.runner.StartJob(Entry{Record: *record, Version: version}, all, nil)
	return f.runner.jobs[id]
}

// queueResult queues a successful result of an item.
func (f *fixture) queueResult(job *ownedJob, item string) {
	f.runner.mu.Lock()
	defer f.runner.mu.Unlock()
	f.runner.queueResult(job, Result{Item: item, State: ItemSucceeded, Text: "text of " + item})
}

// listedItems returns the items of a job whose results are in the table.
func (f *fixture) listedItems(job string) []string {
	results, _, err := f.store.results(context.Background(), job, 0)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	var items []string
	for i := range results {
		items = append(items, results[i].Item)
	}
	return items
}

func (f *fixture) putResult(job string, position int, item string) {
	value, err := msgpack.Marshal(&Result{Item: item, State: ItemSucceeded})
	f.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = f.rows.CommitRows(context.Background(), infra.RowTxn{
		Writes: []infra.RowWrite{{RowKey: resultKey(job, position), Value: value}},
	})
	f.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against a position whose result changes and an item listed twice: an
// earlier write took effect late and occupies the position.
func TestCommitKeepsTakenPosition(t *testing.T) {
	f := newFixture(t, "a/1")
	job := f.job("job", "x", "y", "z")
	f.putResult("job", 0, "y")
	f.queueResult(job, "x")
	f.queueResult(job, "y")
	f.queueResult(job, "z")
	f.Eventually(func() []string { return f.listedItems("job") }, eventuallyTimeout, "2ms").Should(gomega.HaveLen(3))
	f.Expect(f.listedItems("job")).To(gomega.Equal([]string{"y", "x", "z"}))
}

// Guards against a commit of a former owner that takes effect after another node
// has claimed the job.
func TestFormerOwnerCannotCommit(t *testing.T) {
	f := newFixture(t, "a/1")
	job := f.job("job", "x", "y")
	f.rows.HoldWrites()
	f.queueResult(job, "x")
	f.Eventually(f.rows.HeldWrites, eventuallyTimeout, "2ms").Should(gomega.BeNumerically(">", 0))

	claimed := job.entry.Record
	claimed.Owner = "b/1"
	value, err := msgpack.Marshal(&claimed)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(f.rows.Apply(infra.RowTxn{
		Conditions: []infra.RowCondition{{RowKey: jobKey("job"), Version: job.entry.Version}},
		Writes:     []infra.RowWrite{{RowKey: jobKey("job"), Value: value}},
	})).To(gomega.Succeed())
	f.Expect(f.rows.ReleaseWrites()).To(gomega.Equal(0))
	f.queueResult(job, "y")
	f.Eventually(func() int { n, _, _ := f.runner.JobCounts(); return n }, eventuallyTimeout, "2ms").Should(gomega.Equal(0))
	f.Expect(f.listedItems("job")).To(gomega.BeEmpty())
}

// Guards against running items of a cancelled job: the job is cancelled while its
// new owner is still reading the items, when there is no job to drop yet.
func TestJobCancelledDuringClaim(t *testing.T) {
	f := newFixture(t, "a/1")
	claimed := Record{ID: "job", State: StateOpen, Owner: "a/1", Total: 1}
	ended := claimed
	ended.State = StateCancelled
	f.runner.cache.Update(&claimed, 2)
	f.runner.cache.Update(&ended, 3)
	f.runner.StartJob(Entry{Record: claimed, Version: 2}, []Item{{ID: "x"}}, nil)
	jobs, _, _ := f.runner.JobCounts()
	f.Expect(jobs).To(gomega.Equal(0))
}

// Guards against a job that is done before all its results are listed, and
// against one that stays open after that, when answers of the store are lost.
func TestLastCommitClosesJob(t *testing.T) {
	f := newFixture(t, "a/1")
	f.rows.Seed(3)
	job := f.job("job", "x", "y")
	f.rows.SetFaultPlan(infratest.FaultPlan{LoseResponses: 0.5})
	f.queueResult(job, "x")
	f.Eventually(func() []string { return f.listedItems("job") }, eventuallyTimeout, "2ms").Should(gomega.HaveLen(1))
	entry, err := f.store.job(context.Background(), "job")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(entry.State).To(gomega.Equal(StateOpen))
	f.queueResult(job, "y")
	f.Eventually(func() State {
		entry, err := f.store.job(context.Background(), "job")
		f.Expect(err).NotTo(gomega.HaveOccurred())
		return entry.State
	}, eventuallyTimeout, "2ms").Should(gomega.Equal(StateDone))
	f.Expect(f.listedItems("job")).To(gomega.Equal([]string{"x", "y"}))
	f.Eventually(func() int { n, _, _ := f.runner.JobCounts(); return n }, eventuallyTimeout, "2ms").Should(gomega.Equal(0))
}

// Guards against rejecting a job that is submitted again and that another node has
// accepted a moment ago: the tokens of the job itself exhaust the limit.
func TestResubmitOfAcceptedJobAtTokenLimit(t *testing.T) {
	f := newFixture(t, "a/1")
	f.job("job", "x")
	other := NewJobCache(slog.New(slog.DiscardHandler))
	other.updateSilently(&Record{ID: "filler", Host: "h", State: StateOpen, Tokens: 1000}, 1)
	intake := &Intake{
		store: f.store, cache: other, clock: f.rows.Clock, owner: "b/1", log: slog.New(slog.DiscardHandler),
		onAccepted: func(Entry, []Item) { t.Error("the job has another owner") },
	}
	route := &routetable.Route{Host: "h", MaxQueuedTokens: 1000}
	sub := &Submission{ID: "job", Host: "h", Items: []Item{{ID: "x", Tokens: 500}}}
	f.Expect(intake.Submit(t.Context(), sub, route, time.Second)).To(gomega.Equal(SubmitAccepted))
	sub.ID = "new"
	f.Expect(intake.Submit(t.Context(), sub, route, time.Second)).To(gomega.Equal(SubmitQueueFull))
	f.rows.SetFaultPlan(infratest.FaultPlan{Down: true})
	f.Expect(intake.Submit(t.Context(), sub, route, time.Second)).To(gomega.Equal(SubmitUnavailable))
}

// noRoutes is the routing configuration of a node that has not read one yet.
func noRoutes() *atomic.Pointer[routetable.Table] { return &atomic.Pointer[routetable.Table]{} }
