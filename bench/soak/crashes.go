package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	crashingPart = "crashing"
	// contactTime is the time without faults after which a node counts as connected.
	contactTime = 3 * time.Second
	// countedCrashes is the number of crashes that the nodes may need to find the part,
	// and lateRequests the number of requests with it that may reach engines later than
	// contactTime after these.
	countedCrashes = 5
	lateRequests   = 3
	// crashPhaseTime is how long requests with the part come.
	crashPhaseTime = 7 * time.Second
)

// crashPhase sends requests that crash engines while nodes are killed and restarted.
// From some time after the fifth crash on, hardly any of them may reach an engine.
type crashPhase struct {
	testbed *testbed
	clients *clients
	oracle  *oracle
	rng     *rand.Rand
	log     func(format string, args ...any)

	engines crashableEngines
	mu      sync.Mutex
	reached map[string]time.Time // by request ID
	sent    map[string]*nodeProcess
}

// run makes the phase. The nodes are connected and other callers are active.
func (p *crashPhase) run() error {
	p.reached, p.sent = make(map[string]time.Time), make(map[string]*nodeProcess)
	p.engines = crashableEngines{testbed: p.testbed, name: "restarted", behave: p.behave}
	p.engines.init()
	var requests sync.WaitGroup
	for end, i := time.Now().Add(crashPhaseTime), 0; time.Now().Before(end); i++ {
		n := p.testbed.nodes[p.rng.IntN(len(p.testbed.nodes))]
		id := fmt.Sprintf("%s-%d", crashingPart, i)
		connected := time.Since(n.startedAt) > contactTime
		requests.Go(func() { p.send(n, id, connected) })
		if err := p.disturb(n); err != nil {
			return err
		}
		time.Sleep(time.Duration(50+p.rng.IntN(150)) * time.Millisecond)
		if err := p.engines.replace(); err != nil {
			return err
		}
	}
	requests.Wait()
	if err := p.engines.replaceAll(); err != nil {
		return err
	}
	p.check()
	return nil
}

// disturb kills or restarts the node now and then, while its requests are in progress.
func (p *crashPhase) disturb(n *nodeProcess) error {
	switch p.rng.IntN(25) {
	case 0:
		p.log("kill %s among crashes", n.name)
		n.process.Kill()
		return p.testbed.startNode(n)
	case 1:
		if time.Since(n.startedAt) >= minSignalAge {
			p.log("send the settings reload signal to %s among crashes", n.name)
			n.process.Signal(syscall.SIGHUP)
		}
	}
	return nil
}

func (p *crashPhase) send(n *nodeProcess, id string, connected bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if connected {
		p.mu.Lock()
		p.sent[id] = n
		p.mu.Unlock()
	}
	p.clients.checks.ask(id, askedRequest{org: jobsOrg})
	caller := platformtest.Caller{Client: p.clients.client, Address: n.frontAddress, Prompt: sharedPart + ":100," + crashingPart + ":50," + id + ":10", Key: p.testbed.keys.key(jobsOrg)}
	response := caller.Post(ctx, "/once/x", id)
	if response.Err == nil && response.Status == http.StatusOK {
		p.oracle.addViolation("%s: complete response although the engine crashed", id)
	}
}

// behave lets an engine crash at requests with the part.
func (p *crashPhase) behave(b *backend, r platformtest.ReceivedRequest) platformtest.Behaviour {
	if !r.HasPart(crashingPart) {
		return platformtest.Behaviour{EventGap: eventGap}
	}
	p.mu.Lock()
	p.reached[r.RequestID] = time.Now()
	p.mu.Unlock()
	p.log("%s crashes at %s", b.ID, r.RequestID)
	return p.engines.crash(b)
}

// check counts the requests that connected nodes have sent too late.
func (p *crashPhase) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var bound time.Time
	for id, at := range p.reached {
		earlier := 0
		for _, other := range p.reached {
			if other.Before(at) {
				earlier++
			}
		}
		if earlier == countedCrashes-1 {
			bound = at.Add(contactTime)
			p.log("fifth crash at %s", id)
		}
	}
	late := 0
	for id, at := range p.reached {
		if !bound.IsZero() && at.After(bound) && p.sent[id] != nil {
			late++
		}
	}
	p.log("%d requests with the part reached engines, %d of them late", len(p.reached), late)
	if late > lateRequests {
		p.oracle.addViolation("%d requests that crash engines reached them later than %s after the fifth crash, %d in all", late, contactTime, len(p.reached))
	}
}
