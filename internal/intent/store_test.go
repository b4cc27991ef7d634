package intent

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// lateTable is a table some of whose writes take effect after the caller was
// told that their outcome is unknown.
type lateTable struct {
	*infratest.Table
	mu   sync.Mutex
	hold int // writes to hold back
	late []infra.Txn
}

func (l *lateTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	l.mu.Lock()
	if l.hold > 0 {
		l.hold--
		l.late = append(l.late, txn)
		l.mu.Unlock()
		return nil, infra.ErrOutcomeUnknown
	}
	l.mu.Unlock()
	return l.Table.Commit(ctx, txn)
}

func (l *lateTable) land() {
	l.mu.Lock()
	late := l.late
	l.late = nil
	l.mu.Unlock()
	for _, txn := range late {
		_, _ = l.Table.Commit(context.Background(), txn)
	}
}

func newStore(table infra.Table, node string) *Store {
	n := 0
	return New(Config{Table: table, NewID: func() string { n++; return node + "-" + strconv.Itoa(n) }})
}

// live is a started attempt of a caller.
type live struct {
	store   *Store
	attempt *Attempt
	key     string
}

// world drives several nodes that share a table and counts executions.
type world struct {
	table   *lateTable
	nodes   []*Store
	live    []live
	runs    map[string]int
	crashed map[string]bool // a node died with the key's attempt
}

func digestOf(key string) Digest { return DigestOf([]byte(key)) }

func answerOf(key string) Response { return Response{Status: 201, Body: []byte("permit " + key)} }

func (w *world) begin(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	w.beginKey(t, rapid.SampledFrom(w.nodes).Draw(t, "node"), key)
}

func (w *world) beginKey(t *rapid.T, store *Store, key string) Outcome {
	decision, refusal := store.Begin(context.Background(), "org", key, digestOf(key))
	switch {
	case refusal != nil && (refusal.Execution != core.NotRun || refusal.Code != core.CodeStoreUnavailable):
		t.Fatalf("unexpected refusal %+v", refusal)
	case refusal != nil:
		return 0
	case decision.Outcome == Started:
		w.live = append(w.live, live{store, decision.Attempt, key})
	case decision.Outcome == Replay && (w.runs[key] != 1 || string(decision.Response.Body) != string(answerOf(key).Body)):
		t.Fatalf("replayed %q after %d runs", decision.Response.Body, w.runs[key])
	case decision.Outcome == KeyReused:
		t.Fatalf("key %s taken for reused", key)
	}
	return decision.Outcome
}

// take removes a live attempt that the test draws.
func (w *world) take(t *rapid.T) live {
	if len(w.live) == 0 {
		t.Skip("no attempt is live")
	}
	i := rapid.IntRange(0, len(w.live)-1).Draw(t, "attempt")
	l := w.live[i]
	w.live = append(w.live[:i], w.live[i+1:]...)
	return l
}

// send runs an attempt as the callers' API does.
func (w *world) send(t *rapid.T) {
	l := w.take(t)
	if l.attempt.CheckAge() != nil {
		_ = l.store.Abandon(context.Background(), l.attempt)
		return
	}
	w.runs[l.key]++
	if w.runs[l.key] > 1 {
		t.Fatalf("key %s ran %d times", l.key, w.runs[l.key])
	}
	_ = l.store.Finish(context.Background(), l.attempt, answerOf(l.key))
}

func (w *world) abandon(t *rapid.T) {
	l := w.take(t)
	_ = l.store.Abandon(context.Background(), l.attempt)
}

func (w *world) crash(t *rapid.T) { w.crashed[w.take(t).key] = true }

func (w *world) faults(t *rapid.T) {
	w.table.SetFaultPlan(infratest.FaultPlan{
		Down:        rapid.Bool().Draw(t, "down"),
		LoseAnswers: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "lose"),
	})
	w.table.mu.Lock()
	w.table.hold = rapid.SampledFrom([]int{0, 1, 3, 12}).Draw(t, "hold")
	w.table.mu.Unlock()
}

// settle ends all faults. A key that never ran must then be free for a resend
// and one that ran must be replayed, unless a node died with it.
func (w *world) settle(t *rapid.T) {
	w.table.SetFaultPlan(infratest.FaultPlan{})
	w.table.mu.Lock()
	w.table.hold = 0
	w.table.mu.Unlock()
	for len(w.live) > 0 {
		w.send(t)
	}
	time.Sleep(2 * backgroundMaxWait)
	w.table.land()
	for _, key := range []string{"a", "b"} {
		want := Started
		if w.runs[key] > 0 {
			want = Replay
		}
		if got := w.beginKey(t, w.nodes[0], key); got != want && !w.crashed[key] {
			t.Fatalf("key %s with %d runs: outcome %d, want %d", key, w.runs[key], got, want)
		}
	}
}

// Guards against a second execution of a key under lost answers, writes that
// take effect late, outages, dead nodes and pauses, and against keys that stay
// blocked after a refusal that said "not run".
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			table := &lateTable{Table: infratest.NewTable()}
			table.Seed(1)
			w := &world{table: table, runs: map[string]int{}, crashed: map[string]bool{}}
			for i := range 3 {
				w.nodes = append(w.nodes, newStore(table, fmt.Sprintf("n%d", i)))
			}
			t.Repeat(map[string]func(*rapid.T){
				"begin": w.begin, "send": w.send, "abandon": w.abandon, "crash": w.crash, "faults": w.faults,
				"land":  func(*rapid.T) { table.land() },
				"pause": func(*rapid.T) { time.Sleep(MaxAge) },
			})
			w.settle(t)
			for _, node := range w.nodes {
				node.Close()
			}
		})
	})
}

// Guards against sending while the table is away, replaying another request's
// answer, and keeping an answer that is too large.
func TestBeginOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := infratest.NewTable()
		s := newStore(table, "n")
		defer s.Close()
		table.SetFaultPlan(infratest.FaultPlan{Down: true})
		start := time.Now()
		_, refusal := s.Begin(t.Context(), "org", "k", digestOf("k"))
		g.Expect(refusal.Code).To(gomega.Equal(core.CodeStoreUnavailable))
		g.Expect(refusal.Execution).To(gomega.Equal(core.NotRun))
		g.Expect(time.Since(start)).To(gomega.BeZero(), "refused at once")
		table.SetFaultPlan(infratest.FaultPlan{})

		first, _ := s.Begin(t.Context(), "org", "k", digestOf("k"))
		g.Expect(first.Outcome).To(gomega.Equal(Started))
		g.Expect(first.Attempt.CheckAge()).To(gomega.BeNil())
		time.Sleep(MaxAge)
		g.Expect(first.Attempt.CheckAge().Execution).To(gomega.Equal(core.NotRun), "a paused node must not send")
		second, _ := s.Begin(t.Context(), "org", "k", digestOf("k"))
		g.Expect(second.Outcome).To(gomega.Equal(InProgressOrUnknown))
		g.Expect(s.Finish(t.Context(), first.Attempt, Response{Body: make([]byte, MaxResponseBytes+1)})).To(gomega.Succeed())
		third, _ := s.Begin(t.Context(), "org", "k", digestOf("k"))
		g.Expect(third.Outcome).To(gomega.Equal(ResponseTooLarge))
		reused, _ := s.Begin(t.Context(), "org", "k", digestOf("other"))
		g.Expect(reused.Outcome).To(gomega.Equal(KeyReused))
		other, _ := s.Begin(t.Context(), "org2", "k", digestOf("k"))
		g.Expect(other.Outcome).To(gomega.Equal(Started), "keys belong to their organisation")
	})
}
