package engine

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/backend"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
)

// stepParams returns parameters with which a step takes exactly 10 ms, plus 1 ms
// for each prompt token.
func stepParams() Params {
	p := DefaultParams()
	p.StepPerSequence, p.StepPerContext = 0, 0
	p.PrefillPerToken = time.Millisecond
	p.Slots = 2
	p.EventLoss = 0
	return p
}

func runWithEngine(t *testing.T, p Params, body func(*gomega.WithT, *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := New(p)
		defer e.Close()
		body(gomega.NewWithT(t), e)
	})
}

func submit(g *gomega.WithT, e *Engine, id, prompt string, tokens int) *Sequence {
	seq, err := e.Submit(Request{ID: id, Prompt: prompt, MaxTokens: tokens})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return seq
}

// advance advances the simulated time and waits until the loop is idle.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against serving one sequence at a time and against admitting requests out
// of order of arrival.
func TestBatchingIsFirstInFirstOut(t *testing.T) {
	runWithEngine(t, stepParams(), func(g *gomega.WithT, e *Engine) {
		a := submit(g, e, "a", "", 3)
		b := submit(g, e, "b", "", 5)
		c := submit(g, e, "c", "", 1)
		d := submit(g, e, "d", "", 1)
		produced := func() []int { return []int{a.Produced(), b.Produced(), c.Produced(), d.Produced()} }
		advance(35 * time.Millisecond) // the first request starts a step alone; the others wait for its end
		first := produced()
		g.Expect(first[0]).To(gomega.Equal(3))
		g.Expect(first[1]).To(gomega.BeNumerically(">=", 2))
		g.Expect(first[2:]).To(gomega.Equal([]int{0, 0}))
		advance(10 * time.Millisecond)
		g.Expect(produced()[2:]).To(gomega.Equal([]int{1, 0}))
		advance(10 * time.Millisecond)
		g.Expect(produced()[3]).To(gomega.Equal(1))
		stats := e.Stats(true)
		g.Expect(stats.PeakRunning).To(gomega.Equal(2))
		g.Expect(stats.ByID["d"]).To(gomega.Equal(ExecutionCounts{Starts: 1, Completions: 1}))
	})
}

// Guards against a stand-in without the head-of-line blocking that the system
// must avoid: a long prompt stalls the running sequences, and a request at the
// head of the queue that does not fit into the KV cache blocks those behind it.
func TestHeadOfLineBlocking(t *testing.T) {
	p := stepParams()
	p.KVTokens = 210
	p.Slots = 3
	runWithEngine(t, p, func(g *gomega.WithT, e *Engine) {
		short := submit(g, e, "short", "", 50)
		advance(25 * time.Millisecond)
		g.Expect(short.Produced()).To(gomega.Equal(2))
		long := submit(g, e, "long", strings.Repeat("x ", 100), 50)
		advance(10 * time.Millisecond) // the step in progress ends at 30 ms
		g.Expect(short.Produced()).To(gomega.Equal(3))
		advance(100 * time.Millisecond) // the step with the prefill takes 110 ms
		g.Expect(short.Produced()).To(gomega.Equal(3))
		advance(10 * time.Millisecond)
		g.Expect(short.Produced()).To(gomega.Equal(4))
		g.Expect(long.Produced()).To(gomega.Equal(1))

		submit(g, e, "large", "", 100) // 50 + 150 of 210 are in use
		small := submit(g, e, "small", "", 1)
		advance(20 * time.Millisecond)
		g.Expect(small.Produced()).To(gomega.Equal(0))
		e.Cancel(long)
		advance(20 * time.Millisecond)
		g.Expect(small.Produced()).To(gomega.Equal(1))
	})
}

// Guards against a prefix cache that never hits or never evicts.
func TestPrefixCache(t *testing.T) {
	p := stepParams()
	p.CacheBlocks = 2
	prompt := func(word string) string { return strings.Repeat(word+" ", 2*BlockTokens+3) }
	runWithEngine(t, p, func(g *gomega.WithT, e *Engine) {
		cached := func(word string) int64 {
			before := e.Stats(false).CachedTokens
			submit(g, e, word, prompt(word), 1)
			advance(time.Second)
			return e.Stats(false).CachedTokens - before
		}
		g.Expect(cached("a")).To(gomega.BeZero())
		g.Expect(cached("a")).To(gomega.Equal(int64(2 * BlockTokens)))
		g.Expect(cached("b")).To(gomega.BeZero())
		g.Expect(cached("a")).To(gomega.BeZero())
		advance(e.params.EventLag)
		kinds := map[EventKind]int{}
		for _, event := range e.Events(0, 100) {
			kinds[event.Kind]++
		}
		g.Expect(kinds).To(gomega.Equal(map[EventKind]int{EventStored: 6, EventEvicted: 4}))
	})
}

// Guards against a load report that shows a slowdown before its lag has passed,
// and against a slowdown without effect.
func TestLoadReportLagsBehindSlowdown(t *testing.T) {
	p := stepParams()
	p.LoadLag = 200 * time.Millisecond
	runWithEngine(t, p, func(g *gomega.WithT, e *Engine) {
		seq := submit(g, e, "a", "", 1000)
		advance(505 * time.Millisecond)
		e.SetFault(Fault{Slowdown: 4})
		advance(5 * time.Millisecond)
		before := seq.Produced()
		advance(180 * time.Millisecond)
		g.Expect(seq.Produced() - before).To(gomega.Equal(4))
		g.Expect(e.Report().StepSeconds).To(gomega.Equal(0.01))
		advance(100 * time.Millisecond)
		g.Expect(e.Report().StepSeconds).To(gomega.Equal(0.04))
		g.Expect(e.Report().Running).To(gomega.Equal(1))
	})
}

// Guards against leaking KV memory, slots or sequences after any mixture of
// submits, cancellations and crashes.
func TestResourceUsageReturnsToZero(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(rt, "actions")
		problem := ""
		synctest.Test(t, func(*testing.T) { problem = checkResourceUsage(actions) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func checkResourceUsage(actions []int) string {
	p := stepParams()
	p.KVTokens = 60
	e := New(p)
	defer e.Close()
	usage := func() (running, kv int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.running), e.kvUsed
	}
	var all []*Sequence
	for i, action := range actions {
		switch action {
		case 0, 1, 2:
			seq, err := e.Submit(Request{ID: fmt.Sprint(i), Prompt: "p p", MaxTokens: 1 + i%40})
			if err == nil {
				all = append(all, seq)
			}
		case 3:
			if len(all) > 0 {
				e.Cancel(all[i%len(all)])
			}
		case 4:
			advance(15 * time.Millisecond)
		case 5:
			e.SetFault(Fault{Crash: true})
			e.SetFault(Fault{})
		}
		if running, kv := usage(); running > p.Slots || kv > p.KVTokens {
			return fmt.Sprintf("running %d, KV %d", running, kv)
		}
	}
	advance(time.Hour)
	if running, kv := usage(); running != 0 || kv != 0 || e.Stats(false).Waiting != 0 {
		return fmt.Sprintf("not released: running %d, KV %d, %+v", running, kv, e.Stats(false))
	}
	for _, seq := range all {
		if !seq.ended() || (seq.Completed() && seq.Produced() != seq.Length) {
			return fmt.Sprintf("sequence %s: state %d, %d of %d tokens", seq.ID, seq.currentState(), seq.Produced(), seq.Length)
		}
	}
	return ""
}

// Guards against executing an order of a former owner after one of its successor,
// and against serving a model before it is loaded.
func TestOrdersAndFencing(t *testing.T) {
	load := func(version string, number uint64) backend.Order {
		return backend.Order{Kind: backend.OrderLoad, Model: "m", Version: version, FencingNumber: number}
	}
	for _, ignore := range []bool{false, true} {
		p := stepParams()
		p.Models = []string{"m@1"}
		p.IgnoreFencing = ignore
		runWithEngine(t, p, func(g *gomega.WithT, e *Engine) {
			_, err := e.Submit(Request{Model: "m@2"})
			g.Expect(err).To(gomega.MatchError(ErrRefused))
			g.Expect(e.Order(load("2", 5))).To(gomega.Succeed())
			g.Expect(e.Order(load("2", 5))).To(gomega.Succeed())
			old := e.Order(load("3", 4))
			advance(p.LoadTime - time.Millisecond)
			_, err = e.Submit(Request{Model: "m@2"})
			g.Expect(err).To(gomega.MatchError(ErrRefused))
			advance(time.Second)
			models := e.Report().Models
			if ignore {
				g.Expect(old).NotTo(gomega.HaveOccurred())
				g.Expect(models).To(gomega.ConsistOf("m@1", "m@2", "m@3"))
			} else {
				g.Expect(old).To(gomega.MatchError(ErrFenced))
				g.Expect(models).To(gomega.ConsistOf("m@1", "m@2"))
			}
			g.Expect(e.Report().FencingNumber).To(gomega.Equal(uint64(5)))
			g.Expect(e.Order(backend.Order{Kind: "other"})).To(gomega.MatchError(ErrInvalid))
		})
	}
}
