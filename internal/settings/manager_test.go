package settings

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// step is one randomly drawn operation or fault of a scenario.
type step struct {
	Kind  string
	Node  int
	Path  string
	Value int
	Stale bool // the edit has a base version other than the current one
}

var stepPaths = []string{"/", "/services", "/services/group", "/services/group/verse", "/services/shop", "/organisations/tulaan", "/fleet/b-1"}

func drawSteps(t *rapid.T) []step {
	kinds := []string{"edit", "edit", "edit", "race", "race", "delete", "down", "slow", "lose", "late", "stale", "heal", "isolate", "restart", "wait"}
	drawStep := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Node: rapid.IntRange(0, 3).Draw(t, "node"),
			Path: rapid.SampledFrom(stepPaths).Draw(t, "path"), Value: rapid.IntRange(1, 9).Draw(t, "value"),
			Stale: rapid.IntRange(0, 9).Draw(t, "stale") == 0,
		}
	})
	return rapid.SliceOfN(drawStep, 1, 40).Draw(t, "steps")
}

// smallLimits makes nodes read and fetch full trees after a few missed changes,
// and split trees into several chunks.
var smallLimits = limits{maxReplayedEntries: 3, scanPageRows: 2, maxRecentEntries: 2, maxRecentBytes: 1 << 20, maxChunkBytes: 300}

// scenario runs steps on a cluster and records the changes by author, which is
// unique for each change, and the reported outcomes.
type scenario struct {
	*cluster
	mu           sync.Mutex
	pendingEdits sync.WaitGroup
	authorCount  int
	refusals     map[string]*core.Refusal
	accepted     map[string]uint64
	changes      map[string]Change
}

// edit applies a change in the background, based on the tree that the same node
// has at this moment.
func (r *scenario) edit(s step) {
	m := r.node(r.order[s.Node]).manager
	tree, _ := m.state()
	change := Change{Path: s.Path, Delete: s.Kind == "delete"}
	if n, ok := tree.Node(s.Path); ok {
		change.BaseVersion = n.Version
	}
	if s.Stale {
		change.BaseVersion++
	}
	if !change.Delete {
		change.Set = stepValues(s)
	}
	r.mu.Lock()
	r.authorCount++
	change.Author = fmt.Sprintf("operator-%d", r.authorCount)
	r.changes[change.Author] = change
	r.mu.Unlock()
	r.pendingEdits.Go(func() {
		result, refusal := m.Apply(context.Background(), change)
		r.mu.Lock()
		defer r.mu.Unlock()
		if refusal != nil {
			r.refusals[change.Author] = refusal
		} else {
			r.accepted[change.Author] = result.Version
		}
	})
}

func stepValues(s step) Values {
	number := json.RawMessage(fmt.Sprint(s.Value))
	switch kind, _ := PathKind(s.Path); kind {
	case NodeOrganisation:
		return Values{"org.weight": number}
	case NodeFleet:
		return Values{"drain": json.RawMessage("true")}
	default:
		if s.Path == "/services/shop" || s.Path == "/services/group/verse" {
			return Values{"kind": json.RawMessage(`"model"`), "model": json.RawMessage(fmt.Sprintf(`"m%d"`, s.Value%3))}
		}
		return Values{"retry.max_attempts": number}
	}
}

func (r *scenario) run(steps []step) {
	for _, s := range steps {
		id := r.order[s.Node]
		switch s.Kind {
		case "edit", "delete":
			r.edit(s)
		case "race":
			r.edit(s)
			s.Node, s.Value = (s.Node+1)%len(r.order), s.Value+1
			r.edit(s)
		case "down":
			r.table.SetFaultPlan(infratest.FaultPlan{Down: true})
		case "slow":
			r.table.SetFaultPlan(infratest.FaultPlan{Delay: 300 * time.Millisecond * time.Duration(s.Value)})
		case "lose":
			r.table.SetFaultPlan(infratest.FaultPlan{LoseResponses: 0.7, RefuseWrites: 0.1})
		case "late":
			r.table.setFaults(false, true)
		case "stale":
			r.table.setFaults(true, s.Value > 5)
		case "heal":
			r.heal()
		case "isolate":
			r.isolate(id, s.Value%2 == 0)
		case "restart":
			r.restart(id)
		case "wait":
			time.Sleep(time.Duration(s.Value) * 400 * time.Millisecond)
		}
		time.Sleep(time.Duration(s.Value%4) * 5 * time.Millisecond)
	}
}

func (r *scenario) heal() {
	r.table.SetFaultPlan(infratest.FaultPlan{})
	r.table.setFaults(false, false)
	for _, id := range r.order {
		r.isolate(id, false)
	}
}

// check compares the table and all nodes with the outcomes that were reported to
// operators. The oracle is a plain map of values, to which the changes are
// applied one by one in log order.
func (r *scenario) check() {
	ctx := context.Background()
	s := store{r.table, 10}
	h, _, err := s.head(ctx)
	if err != nil {
		r.failf("head: %v", err)
		return
	}
	entries, _ := s.entries(ctx, 0, 100000)
	if uint64(len(entries)) != h.Version {
		r.failf("the log has %d entries at version %d", len(entries), h.Version)
	}
	oracle := map[string]map[string]string{}
	seen := map[string]uint64{}
	for i, e := range entries {
		if e.Version != uint64(i+1) || seen[e.Author] != 0 {
			r.failf("log entry %d has version %d and author %s (already seen at version %d)", i, e.Version, e.Author, seen[e.Author])
		}
		seen[e.Author] = e.Version
		applyToOracle(oracle, r.changes[e.Author])
	}
	for author, version := range r.accepted {
		if seen[author] != version {
			r.failf("change of %s was reported at version %d, but the log has it at %d", author, version, seen[author])
		}
	}
	for author, refusal := range r.refusals {
		if refusal.Execution == core.NotRun && seen[author] != 0 {
			r.failf("change of %s was refused with %q, but it is in the log at version %d", author, refusal.Message, seen[author])
		}
	}
	tree, _ := r.node(r.order[0]).manager.state()
	if err := tree.check(h.Sum); err != nil {
		r.failf("the tree does not pass the checks for trees of peers: %v", err)
	}
	for _, id := range r.order {
		r.compare(id, h.Version, oracle)
	}
}

func applyToOracle(oracle map[string]map[string]string, c Change) {
	if c.Delete {
		delete(oracle, c.Path)
		return
	}
	if oracle[c.Path] == nil {
		oracle[c.Path] = map[string]string{}
	}
	for key, raw := range c.Set {
		oracle[c.Path][key] = string(raw)
	}
}

func (r *scenario) compare(id core.NodeID, version uint64, oracle map[string]map[string]string) {
	tree, loaded := r.node(id).manager.state()
	if !loaded || tree.version != version || r.node(id).manager.Current().Version() != version {
		r.failf("%s is at version %d (loaded %v), but the table is at %d", id, tree.version, loaded, version)
		return
	}
	got := map[string]map[string]string{}
	for path, n := range tree.nodes {
		got[path] = map[string]string{}
		for key, raw := range n.Values {
			got[path][key] = string(raw)
		}
	}
	if a, b := fmt.Sprint(got), fmt.Sprint(oracle); a != b {
		r.failf("%s has %s, expected %s", id, a, b)
	}
}

// Guards against accepted changes that are lost, reverted or applied twice,
// changes that are reported as not run but take effect, versions that decrease,
// and nodes that do not converge within 5 s after all faults have ended. The
// faults are table outages, lost and delayed responses, stale reads, concurrent
// changes, partitions and restarts.
func TestManagersAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var failures []string
		synctest.Test(t, func(*testing.T) {
			r := &scenario{cluster: newCluster(4, smallLimits), refusals: map[string]*core.Refusal{}, accepted: map[string]uint64{}, changes: map[string]Change{}}
			r.run(steps)
			r.heal()
			r.pendingEdits.Wait()
			r.table.background.Wait()
			time.Sleep(5 * time.Second)
			r.check()
			r.close()
			failures = r.failures
		})
		if len(failures) > 0 {
			rt.Fatalf("%d violations: %s", len(failures), failures)
		}
	})
}

// Guards against a node that starts during an outage of the table service and
// stays without settings although a peer has them, and against failing to
// transfer a full tree that is larger than one message.
func TestStartFromPeerWhenTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(2, limits{maxReplayedEntries: 16, scanPageRows: 20, maxRecentEntries: 16, maxRecentBytes: 1 << 20, maxChunkBytes: 16 << 10})
		defer c.close()
		first := c.node("node-0").manager
		time.Sleep(time.Second)
		for i := range 60 {
			digests := make([]string, 0, maxListElements)
			for j := range maxListElements {
				digests = append(digests, fmt.Sprintf("%064x", i*maxListElements+j))
			}
			_, refusal := first.Apply(t.Context(), Change{Path: fmt.Sprintf("/organisations/org-%d", i), Set: Values{"org.key_sha256": encode(digests)}})
			g.Expect(refusal).To(gomega.BeNil())
		}
		c.table.SetFaultPlan(infratest.FaultPlan{Down: true})
		c.restart("node-1")
		time.Sleep(5 * time.Second)
		g.Expect(c.node("node-1").manager.Current().Version()).To(gomega.BeEquivalentTo(60))
		g.Expect(c.failures).To(gomega.BeEmpty())
	})
}
