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

const eventuallyTimeout = 10 * time.Second

// recorder is a handler that applies snapshots and changes to a map.
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

func writeRow(g *gomega.WithT, rows *infratest.Rows, partition, key, value string) {
	g.Expect(rows.Apply(infra.RowTxn{Writes: []infra.RowWrite{{
		RowKey: infra.RowKey{Table: "t", Partition: partition, Key: key}, Value: []byte(value), Delete: value == "",
	}}})).To(gomega.Succeed())
}

func startWatcher(t *testing.T, store infra.PartitionedTable) (*Watcher, *recorder) {
	r := &recorder{rows: make(map[string]string)}
	w := New(store, "t", []string{"0", "1"}, r, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return w, r
}

// Guards against a node that refuses jobs of limited organisations in the first moments
// after it is ready, because its copy of the jobs has not been read yet.
func TestCatchUpWaitsForTheFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		rows := infratest.NewRows()
		writeRow(g, rows, "0", "a", "1")
		r := &recorder{rows: make(map[string]string)}
		w := New(rows, "t", []string{"0", "1"}, r, slog.New(slog.DiscardHandler))
		short, cancelShort := context.WithTimeout(t.Context(), time.Second)
		defer cancelShort()
		g.Expect(w.CatchUp(short)).To(gomega.MatchError(infra.ErrUnavailable))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		time.AfterFunc(time.Second, func() { w.Run(ctx); close(ended) })
		g.Expect(w.CatchUp(t.Context())).To(gomega.Succeed())
		g.Expect(r.get("a")).To(gomega.Equal("1"))
		cancel()
		<-ended
	})
}

// Guards against missing changes when the change feed loses its history or the
// store is unavailable.
func TestWatcherFollowsChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	writeRow(g, rows, "0", "a", "1")
	writeRow(g, rows, "1", "b", "1")
	w, r := startWatcher(t, rows)
	<-w.Loaded()
	g.Expect(r.get("a") + r.get("b")).To(gomega.Equal("11"))

	writeRow(g, rows, "1", "b", "2")
	writeRow(g, rows, "0", "a", "")
	g.Eventually(func() string { return r.get("a") + r.get("b") }, eventuallyTimeout, "1ms").Should(gomega.Equal("2"))

	writeRow(g, rows, "0", "c", "3")
	rows.Compact()
	g.Eventually(func() string { return r.get("c") }, eventuallyTimeout, "1ms").Should(gomega.Equal("3"))

	rows.SetFaultPlan(infratest.FaultPlan{Down: true})
	writeRow(g, rows, "0", "c", "4")
	g.Eventually(w.Failing, eventuallyTimeout, "1ms").Should(gomega.BeTrue())
	rows.SetFaultPlan(infratest.FaultPlan{})
	g.Eventually(func() string { return r.get("c") }, eventuallyTimeout, "1ms").Should(gomega.Equal("4"))
	_, restored := w.RestoredAt()
	g.Expect(restored).To(gomega.BeTrue())
}

// staleStore can answer reads with an earlier state of the table, and report a
// lost history.
type staleStore struct {
	infra.PartitionedTable
	mu    sync.Mutex
	stale map[string]infra.RowSet
	lost  bool
}

func (s *staleStore) Range(ctx context.Context, r infra.RowRange) (infra.RowSet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set, ok := s.stale[r.Partition]; ok {
		return set, nil
	}
	return s.PartitionedTable.Range(ctx, r)
}

func (s *staleStore) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (infra.RowSet, error) {
	s.mu.Lock()
	lost := s.lost
	s.lost = false
	s.mu.Unlock()
	if lost {
		return infra.RowSet{}, infra.ErrCompacted
	}
	return s.PartitionedTable.Follow(ctx, table, after, min(wait, 10*time.Millisecond))
}

// Guards against a copy that goes back in time: the history is lost and the store
// answers the following read with a state older than the known one.
func TestWatcherIgnoresStaleReads(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	writeRow(g, rows, "0", "a", "old")
	store := &staleStore{PartitionedTable: rows}
	old, err := rows.Range(t.Context(), infra.RowRange{Table: "t", Partition: "0"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	w, r := startWatcher(t, store)
	<-w.Loaded()
	writeRow(g, rows, "0", "a", "new")
	g.Eventually(func() string { return r.get("a") }, eventuallyTimeout, "1ms").Should(gomega.Equal("new"))
	store.mu.Lock()
	store.stale, store.lost = map[string]infra.RowSet{"0": old, "1": old}, true
	store.mu.Unlock()
	g.Eventually(w.Failing, eventuallyTimeout, "1ms").Should(gomega.BeTrue())
	g.Expect(r.get("a")).To(gomega.Equal("new"))
	store.mu.Lock()
	store.stale = nil
	store.mu.Unlock()
	g.Eventually(w.Failing, eventuallyTimeout, "1ms").Should(gomega.BeFalse())
	g.Expect(r.get("a")).To(gomega.Equal("new"))
}

// Guards against a peer's copy that replaces rows read from the store.
func TestPreloadOnlyBeforeFirstLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	rows.SetFaultPlan(infratest.FaultPlan{Down: true})
	writeRow(g, rows, "0", "a", "store")
	w, r := startWatcher(t, rows)
	preloaded := []infra.VersionedRow{{RowKey: infra.RowKey{Table: "t", Partition: "0", Key: "a"}, Value: []byte("copy"), Version: 1}}
	g.Expect(w.Preload(nil)).To(gomega.BeFalse())
	g.Expect(w.Preload(preloaded)).To(gomega.BeTrue())
	g.Expect(r.get("a")).To(gomega.Equal("copy"))
	g.Expect(w.Copy()).To(gomega.Equal(preloaded))
	rows.SetFaultPlan(infratest.FaultPlan{})
	<-w.Loaded()
	g.Eventually(func() string { return r.get("a") }, eventuallyTimeout, "1ms").Should(gomega.Equal("store"))
	g.Expect(w.Preload(preloaded)).To(gomega.BeFalse())
	g.Expect(r.get("a")).To(gomega.Equal("store"))
}

// countingStore counts the calls of Follow.
type countingStore struct {
	*infratest.Rows
	calls atomic.Int32
}

func (c *countingStore) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (infra.RowSet, error) {
	c.calls.Add(1)
	return c.Rows.Follow(ctx, table, after, wait)
}

// Guards against one call of every node for each change. Jobs are submitted several
// times per second, and every node follows their table.
func TestFrequentChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := &countingStore{Rows: infratest.NewRows()}
		r := &recorder{rows: make(map[string]string)}
		w := New(store, "t", []string{"0"}, r, slog.New(slog.DiscardHandler))
		w.Interval = 500 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		<-w.Loaded()
		for i := range 100 { // one change every 100 ms, for 10 s
			writeRow(g, store.Rows, "0", "k", strconv.Itoa(i))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(store.calls.Load()).To(gomega.BeNumerically("<=", 21))
		time.Sleep(w.Interval)
		g.Expect(r.get("k")).To(gomega.Equal("99"))
		cancel()
		synctest.Wait()
	})
}

// panickingHandler panics at one key.
type panickingHandler struct{ recorder }

func (h *panickingHandler) Snapshot(rows []infra.VersionedRow) {
	h.check(rows)
	h.recorder.Snapshot(rows)
}

func (h *panickingHandler) Changed(rows []infra.VersionedRow) {
	h.check(rows)
	h.recorder.Changed(rows)
}

func (h *panickingHandler) check(rows []infra.VersionedRow) {
	for _, row := range rows {
		if row.Key == "bad" {
			panic("bad row")
		}
	}
}

// Guards against one row that ends the process, or that keeps the other rows from
// their handler: in a snapshot, in a batch of changes and in a peer's copy.
func TestPanicAtOneRowLosesOnlyThatRow(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	writeRow(g, rows, "0", "a", "1")
	writeRow(g, rows, "0", "bad", "1")
	writeRow(g, rows, "0", "c", "1")
	h := &panickingHandler{recorder{rows: make(map[string]string)}}
	w := New(rows, "t", []string{"0"}, h, slog.New(slog.DiscardHandler))
	g.Expect(w.Preload([]infra.VersionedRow{{RowKey: infra.RowKey{Key: "bad"}}, {RowKey: infra.RowKey{Key: "p"}, Value: []byte("1")}})).To(gomega.BeTrue())
	g.Expect(h.get("p")).To(gomega.Equal("1"))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	<-w.Loaded()
	g.Expect(h.get("a") + h.get("c")).To(gomega.Equal("11"))
	g.Expect(rows.Apply(infra.RowTxn{Writes: []infra.RowWrite{
		{RowKey: infra.RowKey{Table: "t", Partition: "0", Key: "bad"}, Value: []byte("2")},
		{RowKey: infra.RowKey{Table: "t", Partition: "0", Key: "c"}, Value: []byte("2")},
	}})).To(gomega.Succeed())
	g.Eventually(func() string { return h.get("c") }, eventuallyTimeout, "1ms").Should(gomega.Equal("2"))
}
