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
	"gentiantide.example/gentiantide/internal/routes"
)

const testSettle = 10 * time.Second

// bench is a runner over an in-memory store. No item is sent: there are no
// replicas.
type bench struct {
	*gomega.WithT
	rows     *infratest.Rows
	store    *store
	runner   *Runner
	registry *replica.Registry
}

func newBench(t *testing.T, owner string) *bench {
	t.Parallel()
	rows := infratest.NewRows()
	s := &store{table: rows, objects: infratest.NewObjects()}
	log := slog.New(slog.DiscardHandler)
	exec := &Executor{Routes: &atomic.Pointer[routes.Table]{}, Log: log}
	book := NewBook(log)
	id, lifetime, _ := strings.Cut(owner, "/")
	self := nodes.Record{ID: core.NodeID(id), Lifetime: lifetime}
	placer := &localPlacer{registry: replica.NewRegistry()}
	runner := newRunner(s, book, &Options{
		Executor: exec, Placer: placer, Nodes: nodes.NewDirectory(rows, self, log), Clock: rows.Clock, Log: log,
	})
	book.Notify = runner.Changed
	return &bench{WithT: gomega.NewWithT(t), rows: rows, store: s, runner: runner, registry: placer.registry}
}

// job stores a job of the given items and lets the runner own it.
func (b *bench) job(id string, items ...string) *ownedJob {
	record := &Record{ID: id, State: StateOpen, Owner: b.runner.owner, Total: len(items), GiveUp: 1 << 60}
	version, err := b.store.put(context.Background(), record, 0)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	all := make([]Item, len(items))
	for i := range items {
		all[i].ID = items[i]
	}
	b.runner.Own(Entry{Record: *record, Version: version}, all, nil)
	return b.runner.jobs[id]
}

// finish gives an item a result.
func (b *bench) finish(job *ownedJob, item string) {
	b.runner.mu.Lock()
	defer b.runner.mu.Unlock()
	b.runner.finish(job, Result{Item: item, State: ItemSucceeded, Text: "text of " + item})
}

// listed returns the items that are listed.
func (b *bench) listed(job string) []string {
	results, _, err := b.store.results(context.Background(), job, 0)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	var items []string
	for i := range results {
		items = append(items, results[i].Item)
	}
	return items
}

func (b *bench) putResult(job string, position int, item string) {
	value, err := msgpack.Marshal(&Result{Item: item, State: ItemSucceeded})
	b.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = b.rows.CommitRows(context.Background(), infra.RowTxn{
		Writes: []infra.RowWrite{{RowKey: resultKey(job, position), Value: value}},
	})
	b.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against a position whose result changes: a write that took effect late
// holds it, and its item must not be listed again.
func TestTakenPositionIsKept(t *testing.T) {
	b := newBench(t, "a/1")
	job := b.job("job", "x", "y", "z")
	b.putResult("job", 0, "y")
	b.finish(job, "x")
	b.finish(job, "y")
	b.finish(job, "z")
	b.Eventually(func() []string { return b.listed("job") }, testSettle, "2ms").Should(gomega.HaveLen(3))
	b.Expect(b.listed("job")).To(gomega.Equal([]string{"y", "x", "z"}))
}

// Guards against commits of a former owner that take effect after the claim of
// another one.
func TestFormerOwnerCannotCommit(t *testing.T) {
	b := newBench(t, "a/1")
	job := b.job("job", "x", "y")
	b.rows.Hold()
	b.finish(job, "x")
	b.Eventually(b.rows.Held, testSettle, "2ms").Should(gomega.BeNumerically(">", 0))

	claimed := job.entry.Record
	claimed.Owner = "b/1"
	value, err := msgpack.Marshal(&claimed)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(b.rows.Apply(infra.RowTxn{
		Conditions: []infra.RowCondition{{RowKey: jobKey("job"), Version: job.entry.Version}},
		Writes:     []infra.RowWrite{{RowKey: jobKey("job"), Value: value}},
	})).To(gomega.Succeed())
	b.Expect(b.rows.Release()).To(gomega.Equal(0))
	b.finish(job, "y")
	b.Eventually(func() int { n, _, _ := b.runner.Owned(); return n }, testSettle, "2ms").Should(gomega.Equal(0))
	b.Expect(b.listed("job")).To(gomega.BeEmpty())
}

// Guards against items that run after the end of a job that comes while its new
// owner reads the items: the notice of the end finds nothing to stop.
func TestJobEndedDuringItsClaim(t *testing.T) {
	b := newBench(t, "a/1")
	claimed := Record{ID: "job", State: StateOpen, Owner: "a/1", Total: 1}
	ended := claimed
	ended.State = StateCancelled
	b.runner.book.Learn(&claimed, 2)
	b.runner.book.Learn(&ended, 3)
	b.runner.Own(Entry{Record: claimed, Version: 2}, []Item{{ID: "x"}}, nil)
	jobs, _, _ := b.runner.Owned()
	b.Expect(jobs).To(gomega.Equal(0))
}

// Guards against a job that is closed before all its results are listed, and
// against one that stays open.
func TestLastCommitClosesTheJob(t *testing.T) {
	b := newBench(t, "a/1")
	b.rows.Seed(3)
	job := b.job("job", "x", "y")
	b.rows.Set(infratest.FaultPlan{LoseAnswers: 0.5})
	b.finish(job, "x")
	b.Eventually(func() []string { return b.listed("job") }, testSettle, "2ms").Should(gomega.HaveLen(1))
	entry, err := b.store.job(context.Background(), "job")
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(entry.State).To(gomega.Equal(StateOpen))
	b.finish(job, "y")
	b.Eventually(func() State {
		entry, err := b.store.job(context.Background(), "job")
		b.Expect(err).NotTo(gomega.HaveOccurred())
		return entry.State
	}, testSettle, "2ms").Should(gomega.Equal(StateDone))
	b.Expect(b.listed("job")).To(gomega.Equal([]string{"x", "y"}))
	b.Eventually(func() int { n, _, _ := b.runner.Owned(); return n }, testSettle, "2ms").Should(gomega.Equal(0))
}

// Guards against a resend that is refused although its job was accepted at
// another node a moment ago: its own tokens fill the bound.
func TestResendOfAJobThatFillsTheBound(t *testing.T) {
	b := newBench(t, "a/1")
	b.job("job", "x")
	other := NewBook(slog.New(slog.DiscardHandler))
	other.note(&Record{ID: "filler", Host: "h", State: StateOpen, Tokens: 1000}, 1)
	intake := &Intake{
		store: b.store, book: other, clock: b.rows.Clock, owner: "b/1", log: slog.New(slog.DiscardHandler),
		accepted: func(Entry, []Item) { t.Error("the job has another owner") },
	}
	route := &routes.Route{Host: "h", MaxQueuedTokens: 1000}
	sub := &Submission{ID: "job", Host: "h", Items: []Item{{ID: "x", Tokens: 500}}}
	b.Expect(intake.Submit(t.Context(), sub, route, time.Second)).To(gomega.Equal(VerdictAccepted))
	sub.ID = "new"
	b.Expect(intake.Submit(t.Context(), sub, route, time.Second)).To(gomega.Equal(VerdictFull))
	b.rows.Set(infratest.FaultPlan{Down: true})
	b.Expect(intake.Submit(t.Context(), sub, route, time.Second)).To(gomega.Equal(VerdictAway))
}
