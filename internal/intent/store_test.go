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

// delayingTable is a table that can hold back transactions: Commit returns
// infra.ErrOutcomeUnknown, and the transaction takes effect only at applyHeld.
type delayingTable struct {
	*infratest.Table
	mu       sync.Mutex
	holdNext int // number of next transactions to hold back
	held     []infra.Txn
}

func (d *delayingTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	d.mu.Lock()
	if d.holdNext > 0 {
		d.holdNext--
		d.held = append(d.held, txn)
		d.mu.Unlock()
		return nil, infra.ErrOutcomeUnknown
	}
	d.mu.Unlock()
	return d.Table.Commit(ctx, txn)
}

func (d *delayingTable) applyHeld() {
	d.mu.Lock()
	held := d.held
	d.held = nil
	d.mu.Unlock()
	for _, txn := range held {
		_, _ = d.Table.Commit(context.Background(), txn)
	}
}

func newNodeStore(table infra.Table, node string) *Store {
	n := 0
	return New(Config{Table: table, NewID: func() string { n++; return node + "-" + strconv.Itoa(n) }})
}

// inFlight is an attempt that was started and has not ended.
type inFlight struct {
	store   *Store
	attempt *Attempt
	key     string
}

// cluster has several nodes that share a table, and counts the executions of calls.
type cluster struct {
	table    *delayingTable
	nodes    []*Store
	inFlight []inFlight
	runs     map[string]int  // number of executions by key
	crashed  map[string]bool // keys with an attempt whose node crashed
}

func digestOfKey(key string) Digest { return DigestOf([]byte(key)) }

func responseOfKey(key string) Response { return Response{Status: 201, Body: []byte("permit " + key)} }

// begin begins a call with a drawn key on a drawn node.
func (c *cluster) begin(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	c.beginKey(t, rapid.SampledFrom(c.nodes).Draw(t, "node"), key)
}

// beginKey begins a call and checks the refusal or the replayed response.
func (c *cluster) beginKey(t *rapid.T, store *Store, key string) Outcome {
	decision, refusal := store.Begin(context.Background(), "org", key, digestOfKey(key))
	switch {
	case refusal != nil && (refusal.Execution != core.NotRun || refusal.Code != core.CodeStoreUnavailable):
		t.Fatalf("unexpected refusal %+v", refusal)
	case refusal != nil:
		return 0
	case decision.Outcome == Started:
		c.inFlight = append(c.inFlight, inFlight{store, decision.Attempt, key})
	case decision.Outcome == Replay && (c.runs[key] != 1 || string(decision.Response.Body) != string(responseOfKey(key).Body)):
		t.Fatalf("replayed %q after %d runs", decision.Response.Body, c.runs[key])
	case decision.Outcome == KeyReused:
		t.Fatalf("outcome KeyReused for key %s, which always has the same request", key)
	}
	return decision.Outcome
}

// removeAttempt draws a running attempt, removes it from the list and returns it.
func (c *cluster) removeAttempt(t *rapid.T) inFlight {
	if len(c.inFlight) == 0 {
		t.Skip("no attempt is running")
	}
	i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "attempt")
	a := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	return a
}

// send runs an attempt as the API for callers does.
func (c *cluster) send(t *rapid.T) {
	a := c.removeAttempt(t)
	if a.attempt.CheckAge() != nil {
		_ = a.store.Abandon(context.Background(), a.attempt)
		return
	}
	c.runs[a.key]++
	if c.runs[a.key] > 1 {
		t.Fatalf("key %s ran %d times, want at most once", a.key, c.runs[a.key])
	}
	_ = a.store.Finish(context.Background(), a.attempt, responseOfKey(a.key))
}

// abandon ends an attempt that was not sent.
func (c *cluster) abandon(t *rapid.T) {
	a := c.removeAttempt(t)
	_ = a.store.Abandon(context.Background(), a.attempt)
}

// crash drops an attempt without ending it, as a crash of its node does.
func (c *cluster) crash(t *rapid.T) { c.crashed[c.removeAttempt(t).key] = true }

// faults draws the faults of the table.
func (c *cluster) faults(t *rapid.T) {
	c.table.SetFaultPlan(infratest.FaultPlan{
		Down:          rapid.Bool().Draw(t, "down"),
		LoseResponses: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "lose"),
	})
	c.table.mu.Lock()
	c.table.holdNext = rapid.SampledFrom([]int{0, 1, 3, 12}).Draw(t, "hold")
	c.table.mu.Unlock()
}

// checkAfterRecovery ends all faults. A key that never ran must then be free for a
// resend, and a key that ran must be replayed, unless a node crashed with an attempt of
// the key.
func (c *cluster) checkAfterRecovery(t *rapid.T) {
	c.table.SetFaultPlan(infratest.FaultPlan{})
	c.table.mu.Lock()
	c.table.holdNext = 0
	c.table.mu.Unlock()
	for len(c.inFlight) > 0 {
		c.send(t)
	}
	time.Sleep(2 * backgroundDelayMax)
	c.table.applyHeld()
	for _, key := range []string{"a", "b"} {
		want := Started
		if c.runs[key] > 0 {
			want = Replay
		}
		if got := c.beginKey(t, c.nodes[0], key); got != want && !c.crashed[key] {
			t.Fatalf("key %s with %d runs: outcome %d, want %d", key, c.runs[key], got, want)
		}
	}
}

// Guards against a second execution of a key under lost responses, delayed writes,
// outages, crashed nodes and paused nodes, and against a key that stays blocked after a
// refusal with execution "not run".
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			table := &delayingTable{Table: infratest.NewTable()}
			table.Seed(1)
			c := &cluster{table: table, runs: map[string]int{}, crashed: map[string]bool{}}
			for i := range 3 {
				c.nodes = append(c.nodes, newNodeStore(table, fmt.Sprintf("n%d", i)))
			}
			t.Repeat(map[string]func(*rapid.T){
				"begin": c.begin, "send": c.send, "abandon": c.abandon, "crash": c.crash, "faults": c.faults,
				"land":  func(*rapid.T) { table.applyHeld() },
				"pause": func(*rapid.T) { time.Sleep(MaxAge) },
			})
			c.checkAfterRecovery(t)
			for _, node := range c.nodes {
				node.Close()
			}
		})
	})
}

// Guards against sending while the table is unavailable or long after the record was
// written, replaying the response of another request or organisation, and storing a
// response that is too large.
func TestBeginOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := infratest.NewTable()
		s := newNodeStore(table, "n")
		defer s.Close()
		table.SetFaultPlan(infratest.FaultPlan{Down: true})
		start := time.Now()
		_, refusal := s.Begin(t.Context(), "org", "k", digestOfKey("k"))
		g.Expect(refusal.Code).To(gomega.Equal(core.CodeStoreUnavailable))
		g.Expect(refusal.Execution).To(gomega.Equal(core.NotRun))
		g.Expect(time.Since(start)).To(gomega.BeZero(), "refused at once")
		table.SetFaultPlan(infratest.FaultPlan{})

		first, _ := s.Begin(t.Context(), "org", "k", digestOfKey("k"))
		g.Expect(first.Outcome).To(gomega.Equal(Started))
		g.Expect(first.Attempt.CheckAge()).To(gomega.BeNil())
		time.Sleep(MaxAge)
		g.Expect(first.Attempt.CheckAge().Execution).To(gomega.Equal(core.NotRun), "a paused node must not send")
		second, _ := s.Begin(t.Context(), "org", "k", digestOfKey("k"))
		g.Expect(second.Outcome).To(gomega.Equal(InProgressOrUnknown))
		g.Expect(s.Finish(t.Context(), first.Attempt, Response{Body: make([]byte, MaxResponseBytes+1)})).To(gomega.Succeed())
		third, _ := s.Begin(t.Context(), "org", "k", digestOfKey("k"))
		g.Expect(third.Outcome).To(gomega.Equal(ResponseTooLarge))
		reused, _ := s.Begin(t.Context(), "org", "k", digestOfKey("other"))
		g.Expect(reused.Outcome).To(gomega.Equal(KeyReused))
		other, _ := s.Begin(t.Context(), "org2", "k", digestOfKey("k"))
		g.Expect(other.Outcome).To(gomega.Equal(Started), "another organisation's equal key is a different key")
	})
}
