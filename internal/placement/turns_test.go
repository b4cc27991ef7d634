package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
)

func orgName(i int) core.Org { return core.Org(fmt.Sprintf("org-%d", i)) }

// Guards against an organisation that waits for more than its turn: for any shares, costs
// and order of arrival, organisations that all have requests waiting are never apart by
// more than their tolerance and one request each, every slot is used, and nothing is
// granted twice.
func TestTurnsFollowShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		s, now := newTestScheduler(1, 1), time.Now()
		orgs := rapid.IntRange(2, 6).Draw(t, "organisations")
		weights, sum := make([]int, orgs), 0
		for i := range weights {
			weights[i] = rapid.IntRange(1, 20).Draw(t, "weight")
			sum += weights[i]
		}
		accounts := make([]*account, orgs)
		for i := range accounts {
			accounts[i] = s.onlineTurns.account(orgName(i), 1)
			accounts[i].share = float64(weights[i]) / float64(sum)
		}
		_, running := s.place("a", &placementRequest{ID: 1e6, DataCentre: "dc-a", Objective: time.Hour, MaxWait: time.Hour}, now)
		waiting := map[uint64]*queuedRequest{}
		left := make([]int, orgs)
		for id, org := range rapid.SliceOfN(rapid.IntRange(0, orgs-1), 10, 150).Draw(t, "arrivals") {
			q := &queuedRequest{
				node: "a", id: uint64(id), dc: "dc-a", arrivedAt: now, startBy: now.Add(time.Hour), abandonedAt: now.Add(2 * time.Hour),
				account: accounts[org], cost: rapid.Float64Range(0.2, maxTurnCost).Draw(t, "cost"),
			}
			s.enqueue(q, now)
			waiting[q.id] = q
			left[org]++
		}
		for len(waiting) > 0 {
			s.removeGrant(running.grantID, "a")
			assigned := s.dispatch(now)
			g.Expect(assigned).To(gomega.HaveLen(1), "a free slot is used while requests wait")
			running = assigned[0]
			g.Expect(waiting).To(gomega.HaveKey(running.id), "granted once")
			delete(waiting, running.id)
			for i, a := range accounts {
				if a == running.account {
					left[i]--
				}
			}
			allWait := true
			for _, n := range left {
				allWait = allWait && n > 0
			}
			for i := 0; allWait && i < orgs; i++ {
				for j := range i {
					apart := s.onlineTurns.used(accounts[i]) - s.onlineTurns.used(accounts[j])
					bound := (tolerantTurns+maxTurnCost)/accounts[i].share + (tolerantTurns+maxTurnCost)/accounts[j].share
					g.Expect(apart).To(gomega.BeNumerically("~", 0, bound+1e-6))
				}
			}
		}
	})
}

// used returns the virtual time up to which an organisation was served.
func (t *turns) used(a *account) float64 {
	if a.period != t.period {
		return 0
	}
	return a.finish
}

// Guards against any other order than before where the requests name no organisation, or
// all the same one, whatever their priority.
func TestOneOrganisationHasNoTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		now := time.Now()
		plain, named := newTestScheduler(1, 2), newTestScheduler(1, 2)
		for id := range uint64(rapid.IntRange(1, 40).Draw(t, "requests")) {
			req := testRequest(id)
			req.Waited = time.Duration(rapid.IntRange(0, 400).Draw(t, "waited")) * time.Millisecond
			req.Urgent, req.Batch = rapid.Bool().Draw(t, "urgent"), rapid.Bool().Draw(t, "batch")
			req.DueIn = time.Duration(rapid.IntRange(1, 20).Draw(t, "due")) * time.Second
			plain.place("a", req, now)
			same := *req
			same.Org, same.Priority, same.Tokens = "org", rapid.IntRange(0, 3).Draw(t, "priority"), rapid.IntRange(0, 900).Draw(t, "tokens")
			named.place("a", &same, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			plain.expire(now)
			named.expire(now)
		}
		plain.sortQueue(now)
		named.sortQueue(now)
		g.Expect(queuedIDs(named)).To(gomega.Equal(queuedIDs(plain)))
	})
}

func queuedIDs(s *scheduler) []uint64 {
	ids := []uint64{}
	for _, q := range s.queue {
		ids = append(ids, q.id)
	}
	return ids
}

// Guards against a rare request that waits behind the many of another organisation, and
// against a returning caller of an organisation beyond its share that passes the others.
func TestRareRequestGoesBeforeTheExcessOfAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := newTestScheduler(1, 1), time.Now()
	for i := range 2 {
		s.onlineTurns.account(orgName(i), 1).share = 0.5
	}
	s.onlineTurns.known = true
	place := func(id uint64, org int, identity uint64) {
		req := testRequest(id)
		req.Org, req.MaxWait, req.Identity = orgName(org), time.Hour, identity
		s.place("a", req, now)
	}
	s.rejected.add(77, now)
	for id := range uint64(20) {
		place(id, 0, 0)
	}
	place(20, 0, 77) // comes again
	place(21, 1, 0)
	s.removeGrant(1, "a")
	var order []uint64
	for range 6 {
		a := s.dispatch(now)[0]
		order = append(order, a.id)
		s.removeGrant(a.grantID, "a")
	}
	g.Expect(order).To(gomega.ContainElement(uint64(21)))
	g.Expect(order).NotTo(gomega.ContainElement(uint64(20)))
}

// Guards against turns that are counted by requests: one organisation sends requests that
// cost four times as many tokens as those of another, and both have many waiting.
func TestTurnIsChargedWhatItCosts(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := newTestScheduler(1, 1), time.Now()
	for i := range 2 {
		s.onlineTurns.account(orgName(i), 1).share = 0.5
	}
	s.onlineTurns.known, s.onlineTurns.meanTokens = true, 250
	for id := range uint64(400) {
		req := testRequest(id)
		req.Org, req.Tokens, req.Objective, req.MaxWait = orgName(int(id%2)), 100+300*int(id%2), time.Hour, time.Hour
		s.place("a", req, now)
	}
	var served [2]float64
	for range 150 {
		for grantID, grant := range s.grants {
			s.removeGrant(grantID, grant.node)
		}
		served[s.dispatch(now)[0].id%2]++
	}
	g.Expect(served[0] / served[1]).To(gomega.BeNumerically("~", 4, 0.8))
}

// Guards against a refusal of who is inside its share because of the demand beyond the
// shares, and against excess that waits although it will not be served: the demand is
// twice what the replicas take, half of it inside the shares.
func TestExcessIsRejectedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := newTestScheduler(12, 8), time.Now()
	s.serviceTime.adopt(streamDuration)
	for i := range 2 {
		s.onlineTurns.account(orgName(i), 1).share = 0.5
	}
	s.onlineTurns.known = true
	s.demand.perSecond, s.demandInside.perSecond = 2*s.throughput(), s.throughput()/2
	place := func(id uint64, org int, waited time.Duration) outcome {
		req := testRequest(id)
		req.Org, req.Waited = orgName(org), waited
		answer, _ := s.place("a", req, now)
		return answer.Outcome
	}
	id := uint64(0)
	for range 12*8 + 30 {
		id++
		place(id, 0, 0)
	}
	g.Expect(place(id+1, 0, 200*time.Millisecond)).To(gomega.Equal(outcomeRejected))
	g.Expect(place(id+2, 1, 200*time.Millisecond)).To(gomega.Equal(outcomeQueued))
}

// Guards against low priority that is never served, and against one that is ignored: of
// what is inside the shares, the higher goes first; the excess follows the shares.
func TestPriorityOrdersInsideShares(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := newTestScheduler(1, 1), time.Now()
	for i := range 2 {
		s.onlineTurns.account(orgName(i), 1).share = 0.5
	}
	s.onlineTurns.known = true
	for id := range uint64(61) {
		req := testRequest(id)
		req.Org, req.Priority, req.Objective, req.MaxWait = orgName(int(id%2)), int(1-id%2), time.Hour, time.Hour
		s.place("a", req, now)
	}
	s.removeGrant(1, "a")
	var served [2]int
	for i := range 40 {
		a := s.dispatch(now)[0]
		s.removeGrant(a.grantID, "a")
		served[a.id%2]++
		if i < int(tolerantTurns) {
			g.Expect(a.id%2).To(gomega.Equal(uint64(1)), "the higher priority first")
		}
	}
	g.Expect(served[0]).To(gomega.BeNumerically("~", served[1], 2*tolerantTurns))
}

// Guards against items of one organisation that hold up those of all others: one with 400
// items, all due first, beside four with 20 each.
func TestItemsOfSeveralOrganisationsTakeTurns(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots = 40
	s, now := newTestScheduler(5, slots/5), time.Now()
	for i := range s.replicas {
		s.replicas[i].usableSince = now.Add(-time.Hour)
	}
	place := func(id uint64, org int, due time.Duration) {
		s.place("a", &placementRequest{ID: id, DataCentre: "dc-a", Org: orgName(org), Batch: true, DueIn: due, MaxWait: time.Hour}, now)
	}
	for id := range uint64(400) {
		place(id, 0, 10*time.Second)
	}
	for id := range uint64(80) {
		place(1000+id, 1+int(id%4), 18*time.Second)
	}
	small := 0
	for range 5 { // five runs of each slot
		for grantID, grant := range s.grants {
			s.removeGrant(grantID, grant.node)
		}
		for _, a := range s.dispatch(now) {
			if a.id >= 1000 {
				small++
			}
		}
	}
	g.Expect(small).To(gomega.Equal(80), "all items of the small ones are run, as they are within a fifth each")
}

// Guards against an organisation that gets a large share by a short rush, and against one
// that is new and gets none.
func TestShareFollowsUsualDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	turns, now := newOnlineTurns(), time.Now()
	turns.update(now)
	second := func(demand ...int) {
		for i, n := range demand {
			for range n {
				turns.account(orgName(i), 0).demand.observe(1)
			}
		}
		now = now.Add(time.Second)
		turns.update(now)
	}
	share := func(i int) float64 { return turns.account(orgName(i), 0).share }
	for range 40 {
		second(30, 10, 10)
	}
	g.Expect(share(0)).To(gomega.BeNumerically("~", 0.57, 0.03))
	before := share(1)
	for range 7 {
		second(30, 80, 10)
	}
	g.Expect(share(1)).To(gomega.BeNumerically("<", 1.3*before), "after eight times its usual for seven seconds")
	g.Expect(turns.account("new", 0).share).To(gomega.BeNumerically(">", 0.05))
}

// Guards against a hub whose memory grows with the names of organisations.
func TestAccountsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	turns := newOnlineTurns()
	for i := range 2 * maxAccounts {
		turns.account(orgName(i), 1).demand.observe(1)
	}
	g.Expect(len(turns.accounts)).To(gomega.BeNumerically("<=", maxAccounts+1))
	now := time.Now()
	for i := range 600 {
		turns.update(now.Add(time.Duration(i) * time.Second))
	}
	g.Expect(turns.accounts).To(gomega.BeEmpty(), "nothing was asked for ten minutes")
}

// BenchmarkDispatchWithOrganisations measures a dispatch of one slot to 500 queued
// requests of 100 organisations, and to the same without organisations.
func BenchmarkDispatchWithOrganisations(b *testing.B) {
	for _, name := range []string{"none", "100"} {
		b.Run(name, func(b *testing.B) {
			s, now := newTestScheduler(loadReplicas, loadSlots), time.Now()
			id := uint64(0)
			place := func() {
				id++
				req := testRequest(id)
				req.MaxWait = time.Hour
				if name != "none" {
					req.Org = orgName(int(id*id) % 100)
				}
				s.place(nodeName(int(id%loadNodes)), req, now)
			}
			for range loadReplicas * loadSlots {
				place()
			}
			for _, a := range s.onlineTurns.accounts {
				a.share = 0.01
			}
			for range 500 {
				place()
			}
			for b.Loop() {
				for grantID, g := range s.grants {
					s.removeGrant(grantID, g.node)
					break
				}
				s.dispatch(now)
				place()
			}
		})
	}
}

// Guards against organisations that are never told apart because they were silent while
// the hub learned: one that serves only items, or nothing, for its first ten seconds.
func TestSharesAreLearnedAfterSilence(t *testing.T) {
	for name, turns := range map[string]*turns{"online": newOnlineTurns(), "items": newItemTurns()} {
		g, now := gomega.NewWithT(t), time.Now()
		seconds := func(n int, demand ...float64) {
			for range n {
				for i, cost := range demand {
					turns.account(orgName(i), 0).demand.observe(cost)
				}
				now = now.Add(time.Second)
				turns.update(now)
			}
		}
		turns.update(now)
		for _, silence := range []int{10, 600} {
			seconds(silence)
			g.Expect(turns.accounts).To(gomega.BeEmpty(), name)
			g.Expect(turns.usual(group{})).To(gomega.BeNil(), name)
			seconds(10, 30, 10)
			g.Expect(turns.binding()).To(gomega.BeTrue(), "%s after %d s", name, silence)
			g.Expect(turns.account(orgName(1), 0).share).To(gomega.BeNumerically("~", 0.35, 0.16), "%s after %d s", name, silence)
			kept := turns.account(orgName(0), 0)
			seconds(1, 30, 10)
			g.Expect(turns.account(orgName(0), 0)).To(gomega.BeIdenticalTo(kept), name)
		}
	}
}
