package quota

import (
	"context"
	"maps"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
)

// owner returns the node that is the n-th to own an organisation in the first data centre.
func (f *simFleet) owner(org core.Org, n int) *simNode {
	service := f.nodes[f.ids[0]].process.Load().service
	return f.nodes[service.candidates().owners(org, "dc-0")[n]]
}

// wrap puts a function around the handler of a kind of message.
func (n *simNode) wrap(kind string, around func(handle peer.Handler) peer.Handler) {
	process := *n.process.Load()
	process.handlers = maps.Clone(process.handlers)
	process.handlers[kind] = around(process.handlers[kind])
	n.process.Store(&process)
}

// answersLate lets a node act on messages of a kind at once and answer them after all
// callers have given up.
func (n *simNode) answersLate(kind string) {
	n.wrap(kind, func(handle peer.Handler) peer.Handler {
		return func(ctx context.Context, from core.NodeID, body []byte) ([]byte, error) {
			response, err := handle(ctx, from, body)
			time.Sleep(time.Second)
			return response, err
		}
	})
}

// Load: a slow first owner takes what a node gives back, but the node asks the next owner
// before it hears of that.
func TestReturnsReachOneLedgerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("a", 10, 20)
		f := newSimFleet(t, 1, []int{4}, org)
		defer f.stop()
		time.Sleep(warmUp)
		first, second := f.owner("a", 0), f.owner("a", 1)
		first.answersLate(kindAsk)
		var asker *simNode
		for _, n := range f.nodes {
			if n != first && n != second && n != f.owner("a", 2) {
				asker = n
			}
		}
		var sent atomic.Int64
		for _, n := range []*simNode{first, second} {
			n.wrap(kindAsk, func(handle peer.Handler) peer.Handler {
				return func(ctx context.Context, from core.NodeID, body []byte) ([]byte, error) {
					var req askRequest
					if err := msgpack.Unmarshal(body, &req); err != nil {
						return nil, err
					}
					for _, r := range req.Returns {
						sent.Add(int64(r.Count))
					}
					return handle(ctx, from, body)
				}
			})
		}
		req := &askRequest{Org: "a", Limit: limitOf(org), Needed: 1, Returns: []returned{{Count: 5, Age: leaseTime}}}
		_, err := asker.process.Load().service.ask(t.Context(), req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sent.Load()).To(gomega.BeEquivalentTo(5), "requests given back, in all messages")
	})
}

// Load: an owner that is not first passes an ask on to one that takes the returns and
// answers late, and then leases itself.
func TestRelayedReturnsReachOneLedgerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("a", 10, 20)
		f := newSimFleet(t, 1, []int{4}, org)
		defer f.stop()
		time.Sleep(warmUp)
		f.owner("a", 0).answersLate(kindAsk)
		service := f.owner("a", 1).process.Load().service
		service.ledger("a", limitOf(org), time.Now())
		time.Sleep(time.Second)
		_, err := service.serve(t.Context(), &askRequest{Org: "a", Limit: limitOf(org), Needed: 1, Returns: []returned{{Count: 5, Age: leaseTime}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(service.ledgers["a"].ledger.net.sum).To(gomega.BeNumerically(">=", 0), "of the next owner, which has leased nothing before")
	})
}

// Load: an owner stops, and the next one takes its ledger but answers late.
func TestLedgerIsHandedOverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("a", 1, 60)
		f := newSimFleet(t, 1, []int{3}, org)
		defer f.stop()
		time.Sleep(2 * time.Minute)
		first, second, third := f.owner("a", 0), f.owner("a", 1), f.owner("a", 2)
		second.answersLate(kindHandOver)
		first.process.Load().service.Stop(t.Context())
		left := 0.0
		for _, n := range []*simNode{second, third} {
			for _, use := range n.process.Load().service.Snapshot() {
				left += use.Left
			}
		}
		g.Expect(left).To(gomega.BeNumerically("<=", 70), "held by all next owners")
		g.Expect(left).To(gomega.BeNumerically(">=", 50), "held by all next owners")
	})
}

// Load: a node knows only itself when it starts with all others, and stops some seconds
// after it has read the directory. What its ledger held as that of the only node was leased
// again by the owner: 648 requests in a window where 640 are allowed.
func TestNodeThatWasAloneHandsNothingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("a", 20, 60)
		f := newSimFleet(t, 1, []int{6}, org)
		defer f.stop()
		late := f.nodes[f.ids[0]]
		for _, id := range f.ids {
			if id != f.owner("a", 0).record.ID && id != f.owner("a", 1).record.ID && id != f.owner("a", 2).record.ID {
				late = f.nodes[id]
			}
		}
		late.view.Store(&nodes.View{Alive: map[string]nodes.Record{late.record.Owner(): late.record}})
		late.restart(time.Millisecond)
		time.Sleep(5 * time.Second)
		late.view.Store(nil)
		time.Sleep(5 * time.Second)
		late.process.Load().service.Stop(t.Context())
		left := 0.0
		for _, n := range f.nodes {
			for _, use := range n.process.Load().service.Snapshot() {
				if n != late {
					left += use.Left
				}
			}
		}
		g.Expect(left).To(gomega.BeNumerically("<=", 75), "held by the owners")
	})
}

// Load: the owner does not know a new organisation yet, whose callers send many times its
// limit through nodes that do.
func TestOwnerThatDoesNotKnowTheOrganisationYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("new", 1, 1)
		f := newSimFleet(t, 1, []int{3}, simOrg("a", 1, 1))
		defer f.stop()
		time.Sleep(warmUp)
		service := f.owner("new", 0).process.Load().service
		granted := 0
		for began := time.Now(); time.Since(began) < window; time.Sleep(20 * time.Millisecond) {
			answer, err := service.serve(t.Context(), &askRequest{Org: "new", Limit: limitOf(org), Needed: 5})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			granted += answer.Granted
		}
		g.Expect(granted).To(gomega.BeNumerically("<=", allowed(1, 1)))
		f.configure()
		time.Sleep(ledgerTime + time.Second)
		g.Expect(service.Snapshot()).To(gomega.BeEmpty(), "after nobody has asked for a while")
	})
}

// Load: a message asks for a number that is none.
func TestPassOfNoNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("a", 10, 20)
		f := newSimFleet(t, 1, []int{2, 2}, org)
		defer f.stop()
		time.Sleep(warmUp)
		service := f.owner("a", 0).process.Load().service
		body, err := msgpack.Marshal(&passRequest{Org: "a", Limit: limitOf(org), Count: math.NaN()})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = service.handlePass(t.Context(), f.ids[len(f.ids)-1], body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(math.IsNaN(service.Snapshot()[0].Left)).To(gomega.BeFalse())
	})
}

// Load: a data centre is cut off for so long that the directory forgets its nodes, and
// callers on both sides send many times the limit.
func TestDataCentreThatTheDirectoryHasForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		org := simOrg("a", 40, 20)
		f := newSimFleet(t, 1, []int{3, 3, 3}, org)
		defer f.stop()
		time.Sleep(warmUp)
		f.cut("dc-2", 1)
		rest := &nodes.View{Alive: make(map[string]nodes.Record)}
		for owner, record := range f.view.Load().Alive {
			if record.DataCentre != "dc-2" {
				rest.Alive[owner] = record
			}
		}
		synctest.Wait()
		for _, n := range f.nodes {
			if n.record.DataCentre != "dc-2" {
				n.view.Store(rest)
			}
		}
		time.Sleep(time.Minute)
		f.send(org, 200, 15*time.Second, f.any())
		f.checkRule(org, time.Time{})
	})
}
