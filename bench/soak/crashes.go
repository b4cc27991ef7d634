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
	// crashPhaseTime is how long requests with the part come, and engineRestartTime
	// how long an engine that has crashed is away.
	crashPhaseTime    = 7 * time.Second
	engineRestartTime = time.Second
)

// crashPhase sends requests that crash engines while nodes are killed and restarted.
// From some time after the fifth crash on, hardly any of them may reach an engine.
type crashPhase struct {
	testbed *testbed
	clients *clients
	oracle  *oracle
	rng     *rand.Rand
	log     func(format string, args ...any)

	crashed chan *backend
	mu      sync.Mutex
	reached map[string]time.Time // by request ID
	sent    map[string]*nodeProcess
	started int // engines that replaced crashed ones
}

// run makes the phase. The nodes are connected and other callers are active.
func (p *crashPhase) run() error {
	p.crashed = make(chan *backend, 1024)
	p.reached, p.sent = make(map[string]time.Time), make(map[string]*nodeProcess)
	for _, b := range p.testbed.backends {
		p.makeFragile(b)
	}
	var requests sync.WaitGroup
	var pending []time.Time // when the engines that have crashed are back
	for end, i := time.Now().Add(crashPhaseTime), 0; time.Now().Before(end); i++ {
		n := p.testbed.nodes[p.rng.IntN(len(p.testbed.nodes))]
		id := fmt.Sprintf("%s-%d", crashingPart, i)
		connected := time.Since(n.startedAt) > contactTime
		requests.Go(func() { p.send(n, id, connected) })
		if err := p.disturb(n); err != nil {
			return err
		}
		time.Sleep(time.Duration(50+p.rng.IntN(150)) * time.Millisecond)
		for range len(p.crashed) {
			b := <-p.crashed
			if err := p.testbed.store.Remove("servers", b.ID); err != nil {
				return err
			}
			pending = append(pending, time.Now().Add(engineRestartTime))
		}
		for len(pending) > 0 && time.Now().After(pending[0]) {
			pending = pending[1:]
			if err := p.startEngine(); err != nil {
				return err
			}
		}
	}
	requests.Wait()
	for range len(pending) + len(p.crashed) {
		if err := p.startEngine(); err != nil {
			return err
		}
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

// makeFragile makes an engine crash at requests with the part.
func (p *crashPhase) makeFragile(b *backend) {
	b.SetBehaviour(func(r platformtest.ReceivedRequest) platformtest.Behaviour {
		if !r.HasPart(crashingPart) {
			return platformtest.Behaviour{EventGap: eventGap}
		}
		p.mu.Lock()
		p.reached[r.RequestID] = time.Now()
		p.mu.Unlock()
		p.log("%s crashes at %s", b.ID, r.RequestID)
		b.proxy.close()
		p.crashed <- b
		return platformtest.Behaviour{Reset: true}
	})
}

func (p *crashPhase) startEngine() error {
	p.started++
	b, err := p.testbed.addBackend(fmt.Sprintf("restarted-%d", p.started), "models", eventsPerStream)
	if err != nil {
		return err
	}
	p.makeFragile(b)
	return nil
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
