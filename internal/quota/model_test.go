package quota

import (
	"fmt"
	"testing"
	"time"
)

// modelStep is the time that passes with each event of the model.
const modelStep = 700 * time.Millisecond

// model is a fleet of three nodes in two data centres with an owner each, between which
// the link is cut and heals. Nodes 0 and 1 are in the first data centre.
type model struct {
	ledgers [2]*Ledger
	nodes   [3]account
	cut     bool
	now     time.Time
	used    []time.Time
}

var modelLimit = Limit{PerSecond: 6, Burst: 8}

func newModel() *model {
	m := &model{now: time.Now()}
	for i := range m.ledgers {
		m.ledgers[i] = NewLedger(modelLimit, dataCentreRight(2), m.now)
	}
	m.now = m.now.Add(time.Minute)
	return m
}

// modelEvents are what may happen, in any order.
var modelEvents = []struct {
	name string
	do   func(*model)
}{
	{"ask 0", func(m *model) { m.ask(0, 0, 50) }},
	{"ask 1", func(m *model) { m.ask(1, 0, 50) }},
	{"ask 2", func(m *model) { m.ask(2, 1, 50) }},
	{"few 0", func(m *model) { m.ask(0, 0, 2) }},
	{"pass to the first", func(m *model) { m.pass(1, 0) }},
	{"pass to the second", func(m *model) { m.pass(0, 1) }},
	{"cut or heal", func(m *model) { m.cut = !m.cut }},
	{"first owner restarts", func(m *model) { m.ledgers[0] = NewLedger(modelLimit, dataCentreRight(2), m.now) }},
	{"not run", func(m *model) { m.notRun() }},
}

// ask leases requests to a node, which uses all but one.
func (m *model) ask(node, owner, n int) {
	a := &m.nodes[node]
	for _, r := range a.takeReturns(m.now) {
		m.ledgers[owner].Return(r.Count, r.Age, m.now)
	}
	right := dataCentreRight(2)
	right.Missed = m.cut
	m.ledgers[owner].Set(modelLimit, right, m.now)
	a.granted(m.ledgers[owner].Lease(n, 1, m.now), m.now, m.now)
	for range n {
		if a.admit(true, m.now) == admitted {
			m.used = append(m.used, m.now)
		}
	}
}

func (m *model) pass(from, to int) {
	if !m.cut {
		m.ledgers[to].Receive(m.ledgers[from].Pass(10, m.now), m.now)
	}
}

// notRun gives back the last request of the first node.
func (m *model) notRun() {
	if n := len(m.used); n > 0 {
		m.nodes[0].giveBack(lease{left: 1, at: m.used[n-1].Add(-leaseTime)})
		m.used = m.used[:n-1]
	}
}

// most returns the most that was used in a window.
func (m *model) most() int {
	most, first := 0, 0
	for i, at := range m.used {
		for at.Sub(m.used[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestEveryInterleaving plays every order of modelDepth events at three nodes and two
// owners that ask for more than the limit. It covers a cut, passes, restarts and returns.
func TestEveryInterleaving(t *testing.T) {
	const modelDepth = 6
	limit := allowed(modelLimit.PerSecond, modelLimit.Burst)
	events := make([]int, modelDepth)
	for {
		m := newModel()
		for _, event := range events {
			modelEvents[event].do(m)
			m.now = m.now.Add(modelStep)
		}
		if most := m.most(); most > limit {
			var names []string
			for _, event := range events {
				names = append(names, modelEvents[event].name)
			}
			t.Fatal(fmt.Sprintf("%d used in a window, %d allowed:", most, limit), names)
		}
		i := 0
		for ; i < modelDepth; i++ {
			if events[i]++; events[i] < len(modelEvents) {
				break
			}
			events[i] = 0
		}
		if i == modelDepth {
			return
		}
	}
}
