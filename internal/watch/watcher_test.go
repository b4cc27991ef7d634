package watch

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

const settle = 10 * time.Second

// recorder is a handler that keeps the table as it is told.
type recorder struct {
	mu        sync.Mutex
	rows      map[string]string
	snapshots int
}

func (r *recorder) Snapshot(rows []infra.VersionedRow) {
	r.mu.Lock()
	r.rows = make(map[string]string)
	r.snapshots++
	r.mu.Unlock()
	r.Changed(rows)
}

func (r *recorder) Changed(rows []infra.VersionedRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if row.Deleted {
			delete(r.rows, row.Key)
		} else {
			r.rows[row.Key] = string(row.Value)
		}
	}
}

func (r *recorder) get(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key]
}

func write(g *gomega.WithT, rows *infratest.Rows, partition, key, value string) {
	g.Expect(rows.Apply(infra.RowTxn{Writes: []infra.RowWrite{{
		RowKey: infra.RowKey{Table: "t", Partition: partition, Key: key}, Value: []byte(value), Delete: value == "",
	}}})).To(gomega.Succeed())
}

func follow(t *testing.T, store infra.PartitionedTable) (*Watcher, *recorder) {
	r := &recorder{rows: make(map[string]string)}
	w := New(store, "t", []string{"0", "1"}, r, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return w, r
}

// Guards against changes that are missed over a lost history and an outage.
func TestWatcherKeepsUp(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	write(g, rows, "0", "a", "1")
	write(g, rows, "1", "b", "1")
	w, r := follow(t, rows)
	<-w.Loaded()
	g.Expect(r.get("a") + r.get("b")).To(gomega.Equal("11"))

	write(g, rows, "1", "b", "2")
	write(g, rows, "0", "a", "")
	g.Eventually(func() string { return r.get("a") + r.get("b") }, settle, "1ms").Should(gomega.Equal("2"))

	write(g, rows, "0", "c", "3")
	rows.Compact()
	g.Eventually(func() string { return r.get("c") }, settle, "1ms").Should(gomega.Equal("3"))

	rows.Set(infratest.FaultPlan{Down: true})
	write(g, rows, "0", "c", "4")
	g.Eventually(w.Failing, settle, "1ms").Should(gomega.BeTrue())
	rows.Set(infratest.FaultPlan{})
	g.Eventually(func() string { return r.get("c") }, settle, "1ms").Should(gomega.Equal("4"))
	_, restored := w.Restored()
	g.Expect(restored).To(gomega.BeTrue())
}

// staleReads answers reads as of an earlier moment for a while.
type staleReads struct {
	infra.PartitionedTable
	mu    sync.Mutex
	stale map[string]infra.RowSet
	lost  bool
}

func (s *staleReads) Range(ctx context.Context, r infra.RowRange) (infra.RowSet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set, ok := s.stale[r.Partition]; ok {
		return set, nil
	}
	return s.PartitionedTable.Range(ctx, r)
}

func (s *staleReads) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (infra.RowSet, error) {
	s.mu.Lock()
	lost := s.lost
	s.lost = false
	s.mu.Unlock()
	if lost {
		return infra.RowSet{}, infra.ErrHistoryLost
	}
	return s.PartitionedTable.Follow(ctx, table, after, min(wait, 10*time.Millisecond))
}

// Guards against a table that reverts when a read after a lost history is older
// than what is known.
func TestWatcherIgnoresStaleReads(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	write(g, rows, "0", "a", "old")
	store := &staleReads{PartitionedTable: rows}
	old, err := rows.Range(t.Context(), infra.RowRange{Table: "t", Partition: "0"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	w, r := follow(t, store)
	<-w.Loaded()
	write(g, rows, "0", "a", "new")
	g.Eventually(func() string { return r.get("a") }, settle, "1ms").Should(gomega.Equal("new"))
	store.mu.Lock()
	store.stale, store.lost = map[string]infra.RowSet{"0": old, "1": old}, true
	store.mu.Unlock()
	g.Eventually(w.Failing, settle, "1ms").Should(gomega.BeTrue())
	g.Expect(r.get("a")).To(gomega.Equal("new"))
	store.mu.Lock()
	store.stale = nil
	store.mu.Unlock()
	g.Eventually(w.Failing, settle, "1ms").Should(gomega.BeFalse())
	g.Expect(r.get("a")).To(gomega.Equal("new"))
}

// Guards against a neighbour's copy that goes before what the store said.
func TestOfferOnlyBeforeTheFirstRead(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	rows.Set(infratest.FaultPlan{Down: true})
	write(g, rows, "0", "a", "store")
	w, r := follow(t, rows)
	offered := []infra.VersionedRow{{RowKey: infra.RowKey{Table: "t", Partition: "0", Key: "a"}, Value: []byte("copy"), Version: 1}}
	g.Expect(w.Offer(nil)).To(gomega.BeFalse())
	g.Expect(w.Offer(offered)).To(gomega.BeTrue())
	g.Expect(r.get("a")).To(gomega.Equal("copy"))
	g.Expect(w.Copy()).To(gomega.Equal(offered))
	rows.Set(infratest.FaultPlan{})
	<-w.Loaded()
	g.Eventually(func() string { return r.get("a") }, settle, "1ms").Should(gomega.Equal("store"))
	g.Expect(w.Offer(offered)).To(gomega.BeFalse())
	g.Expect(r.get("a")).To(gomega.Equal("store"))
}

// countedReads counts the calls that wait for changes.
type countedReads struct {
	*infratest.Rows
	calls atomic.Int32
}

func (c *countedReads) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (infra.RowSet, error) {
	c.calls.Add(1)
	return c.Rows.Follow(ctx, table, after, wait)
}

// Guards against a call of each node for each change: jobs come several times a
// second, and every node follows them.
func TestChangesInQuickSuccessionComeTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := &countedReads{Rows: infratest.NewRows()}
		r := &recorder{rows: make(map[string]string)}
		w := New(store, "t", []string{"0"}, r, slog.New(slog.DiscardHandler))
		w.Interval = 500 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		<-w.Loaded()
		for i := range 100 { // one each 100 ms, for 10 s
			write(g, store.Rows, "0", "k", strconv.Itoa(i))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(store.calls.Load()).To(gomega.BeNumerically("<=", 21))
		time.Sleep(w.Interval)
		g.Expect(r.get("k")).To(gomega.Equal("99"))
		cancel()
		synctest.Wait()
	})
}
