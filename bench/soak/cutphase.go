package soak

import (
	"math/rand/v2"
	"time"
)

// cutTime is how long a node is cut off from the store: keys that are taken away at its
// beginning are barred for some seconds of it.
const cutTime = revokeTime + 4*time.Second

// cutPhase cuts one node off from the store, which its peers reach, while keys are taken
// away. In some runs the node is killed and started again meanwhile.
type cutPhase struct {
	testbed *testbed
	rng     *rand.Rand
	log     func(format string, args ...any)
}

// run makes the phase. The nodes are connected and callers are active.
func (p *cutPhase) run() error {
	n := p.testbed.nodes[p.rng.IntN(len(p.testbed.nodes))]
	m := modeReset + mode(p.rng.IntN(int(modeCount-modeReset)))
	p.log("%s is cut off from the store, mode %d", n.name, m)
	n.store.setMode(m)
	rest := cutTime
	if p.rng.IntN(3) == 0 {
		wait := time.Duration(p.rng.Int64N(int64(cutTime / 2)))
		rest -= wait
		time.Sleep(wait)
		p.log("kill %s in its cut", n.name)
		n.process.Kill()
		if err := p.testbed.startNode(n); err != nil {
			return err
		}
	}
	time.Sleep(rest)
	n.store.setMode(modePass)
	p.log("%s reaches the store again", n.name)
	return nil
}
