package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// blameTime is how long requests crash engines beside troubles of nodes and engines.
	blameTime = 18 * time.Second
	// deadlyBody is the body of the request that crashes engines, and deadlyPart the part
	// of prompts that does.
	deadlyBody = "crash engines"
	deadlyPart = "deadly"
	// countedRequestCrashes is the number of crashes that the nodes may need to find the
	// request.
	countedRequestCrashes = 3
	// templates are shared by sound requests and those that crash engines.
	templates = 3
	// soundCallers is the number of callers of sound requests.
	soundCallers = 4
	// enginePause is how long an engine pauses.
	enginePause = time.Second
	// machineCut is how long the machine of an engine is cut off.
	machineCut = 4 * time.Second
)

// blameKind is what crashes engines, and on which route.
type blameKind struct {
	part bool
	path string
}

var blameKinds = []blameKind{{false, "/once/x"}, {false, "/resume/x"}, {true, "/once/x"}, {true, "/resume/x"}}

// blamePhase sends requests that crash engines beside sound ones with the same callers and
// parts, while nodes are killed, frozen and cut off, and engines pause and crash by
// themselves. From some time after the first crashes on, hardly any of the former may
// reach an engine, and no sound one may be refused in their place.
type blamePhase struct {
	testbed *testbed
	clients *clients
	oracle  *oracle
	rng     *rand.Rand
	log     func(format string, args ...any)

	// dark is set if engines go dark instead of refusing connections.
	dark bool
	kind blameKind
	// pause is the mean time between two requests that crash engines.
	pause time.Duration
	// troubled are the nodes that are disturbed. In most runs one is left out, at which most
	// of these requests arrive.
	troubled []*nodeProcess
	engines  crashableEngines
	mu       sync.Mutex
	// crashes are the times at which the requests crashed engines, and reached the first
	// time of each request at an engine, by ID.
	crashes []time.Time
	reached map[string]time.Time
	// sent are the requests that connected nodes got, and disturbed when the trouble of a
	// node ended last.
	sent      map[string]*nodeProcess
	disturbed map[*nodeProcess]time.Time
	paused    map[*backend]time.Time
	wg        sync.WaitGroup
	// Counts of sound requests.
	asked, served, quarantined atomic.Int64
}

// run makes the phase. The nodes are connected and other callers are active.
func (p *blamePhase) run() error {
	p.kind = blameKinds[p.rng.IntN(len(blameKinds))]
	p.reached, p.sent = make(map[string]time.Time), make(map[string]*nodeProcess)
	p.disturbed, p.paused = make(map[*nodeProcess]time.Time), make(map[*backend]time.Time)
	p.engines = crashableEngines{testbed: p.testbed, name: "blamed", behave: p.behave, dark: p.dark}
	p.engines.init()
	p.pause = []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}[p.rng.IntN(3)]
	p.troubled = p.testbed.nodes
	if p.rng.IntN(4) > 0 {
		p.troubled = p.troubled[:len(p.troubled)-1]
	}
	p.log("requests of %s crash engines, by a part: %t; every %s; %d nodes are disturbed", p.kind.path, p.kind.part, p.pause, len(p.troubled))
	ctx, stop := context.WithTimeout(context.Background(), blameTime)
	defer stop()
	for i := range soundCallers {
		rng := rand.New(rand.NewPCG(p.rng.Uint64(), uint64(i)))
		p.wg.Go(func() { p.sendSound(ctx, rng, i) })
	}
	nextDeadly, nextTrouble := time.Now(), time.Now().Add(time.Second)
	for i := 0; ctx.Err() == nil; sleep(ctx, 20*time.Millisecond) {
		now := time.Now()
		if now.After(nextDeadly) {
			p.sendDeadly(i)
			i++
			nextDeadly = now.Add(p.pause/2 + time.Duration(p.rng.Int64N(int64(p.pause))))
		}
		if now.After(nextTrouble) {
			if err := p.trouble(); err != nil {
				return err
			}
			nextTrouble = now.Add(time.Duration(300+p.rng.IntN(1500)) * time.Millisecond)
		}
		if err := p.engines.replace(); err != nil {
			return err
		}
	}
	p.wg.Wait()
	if err := p.engines.replaceAll(); err != nil {
		return err
	}
	p.check()
	return nil
}

// behave responds to a request of any kind.
func (p *blamePhase) behave(b *backend, r platformtest.ReceivedRequest) platformtest.Behaviour {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case b.service != "models":
		return platformtest.Behaviour{}
	case r.HasPart(deadlyPart) || r.Body == deadlyBody:
		now := time.Now()
		if _, known := p.reached[r.RequestID]; !known {
			p.reached[r.RequestID] = now
		}
		p.crashes = append(p.crashes, now)
		p.log("%s crashes at %s", b.ID, r.RequestID)
		return p.engines.crash(b)
	case time.Until(p.paused[b]) > 0:
		return platformtest.Behaviour{EventGap: eventGap, Silence: &platformtest.Silence{At: platformtest.SilentBeforeHead, Duration: time.Until(p.paused[b])}}
	default:
		return platformtest.Behaviour{EventGap: eventGap}
	}
}

// call sends a request for a stream with a prompt of some shared parts.
func (p *blamePhase) call(n *nodeProcess, path, id, body string, shared ...string) platformtest.Response {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	p.clients.checks.ask(id, askedRequest{org: jobsOrg})
	caller := platformtest.Caller{
		Client: p.clients.client, Address: n.frontAddress, Key: p.testbed.keys.key(jobsOrg),
		Prompt: strings.Join(shared, ":100,") + ":100," + id + ":10",
	}
	return caller.Call(ctx, http.MethodPost, path, id, strings.NewReader(body))
}

// sendDeadly sends a request that crashes engines to a random node. The one without the
// part comes again with the same body, the others are all different.
func (p *blamePhase) sendDeadly(i int) {
	n := p.testbed.nodes[p.rng.IntN(len(p.testbed.nodes))]
	if p.rng.IntN(3) > 0 {
		n = p.testbed.nodes[len(p.testbed.nodes)-1]
	}
	id, body, shared := fmt.Sprintf("deadly-%d", i), deadlyBody, []string{sharedPart, p.template()}
	if p.kind.part {
		body, shared = "body of "+id, []string{sharedPart, deadlyPart, p.template()}
	}
	if p.connected(n) {
		p.sent[id] = n
	}
	p.wg.Go(func() {
		response := p.call(n, p.kind.path, id, body, shared...)
		if response.Err == nil && response.Status == http.StatusOK {
			p.oracle.addViolation("%s: complete response although the engine crashed", id)
		}
	})
}

func (p *blamePhase) template() string { return fmt.Sprintf("template-%d", p.rng.IntN(templates)) }

// connected reports whether a node has had no trouble for contactTime.
func (p *blamePhase) connected(n *nodeProcess) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(n.startedAt) > contactTime && time.Since(p.disturbed[n]) > contactTime
}

// sendSound sends sound requests one after the other.
func (p *blamePhase) sendSound(ctx context.Context, rng *rand.Rand, number int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("beside-%d-%d", number, i)
		path := []string{"/once/x", "/resume/x"}[rng.IntN(2)]
		response := p.call(p.testbed.nodes[rng.IntN(len(p.testbed.nodes))], path, id, "body of "+id, sharedPart, fmt.Sprintf("template-%d", rng.IntN(templates)))
		p.asked.Add(1)
		p.oracle.checkResponse(strings.Trim(path, "/x"), id, &response, platformtest.StreamBody(id, eventsPerStream))
		switch {
		case response.Err == nil && response.Status == http.StatusOK:
			p.served.Add(1)
		case response.Err == nil && response.Status == http.StatusServiceUnavailable && strings.Contains(response.Body, "quarantined"):
			p.quarantined.Add(1)
			p.log("sound request %s is refused as quarantined", id)
		}
		sleep(ctx, time.Duration(10+rng.IntN(40))*time.Millisecond)
	}
}

// trouble disturbs nodes or an engine. At times no engine is live.
func (p *blamePhase) trouble() error {
	n := p.troubled[p.rng.IntN(len(p.troubled))]
	engine := p.engines.random(p.rng)
	switch p.rng.IntN(8) {
	case 0, 1:
		return p.kill(n)
	case 2:
		return p.kill(p.troubled[:2]...)
	case 3:
		return p.kill(p.troubled...)
	case 4:
		cut := time.Duration(300+p.rng.IntN(1700)) * time.Millisecond
		p.log("%s is cut off from the store for %s", n.name, cut)
		p.disturb(n, time.Now().Add(cut))
		n.store.setMode(modeBlackhole)
		p.wg.Go(func() { time.Sleep(cut); n.store.setMode(modePass) })
	case 5:
		p.pauseEngine(engine)
	case 6:
		if len(p.engines.live) > 2 {
			p.log("%s crashes by itself", engine.ID)
			p.engines.crash(engine)
		}
	case 7:
		if time.Since(n.startedAt) < minSignalAge {
			return nil
		}
		p.log("%s is frozen", n.name)
		p.disturb(n, time.Now().Add(enginePause))
		n.process.Signal(syscall.SIGSTOP)
		process := n.process
		p.wg.Go(func() { time.Sleep(enginePause); process.Signal(syscall.SIGCONT) })
	}
	return nil
}

// pauseEngine lets an engine pause, if there is one.
func (p *blamePhase) pauseEngine(b *backend) {
	if b == nil {
		return
	}
	if p.dark {
		p.pauseMachine(b)
		return
	}
	p.log("%s pauses", b.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused[b] = time.Now().Add(enginePause)
}

// pauseMachine lets the machine of an engine pause, or cuts it off for longer.
func (p *blamePhase) pauseMachine(b *backend) {
	d := enginePause
	if p.rng.IntN(3) == 0 {
		d = machineCut
	}
	p.log("the machine of %s is silent for %s", b.ID, d)
	p.wg.Go(func() {
		if b.proxy.goDark(false) == nil {
			time.Sleep(d)
			_ = b.proxy.light()
		}
	})
}

func (p *blamePhase) disturb(n *nodeProcess, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed[n] = until
}

// kill kills nodes at the same time and starts them again.
func (p *blamePhase) kill(nodes ...*nodeProcess) error {
	for _, n := range nodes {
		p.log("kill %s", n.name)
		n.process.Kill()
	}
	for _, n := range nodes {
		if err := p.testbed.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

// check counts the requests that connected nodes sent too late, and the sound ones that
// were refused.
func (p *blamePhase) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	counted := countedRequestCrashes
	if p.kind.part {
		counted = countedCrashes
	}
	late := 0
	if len(p.crashes) >= counted {
		bound := p.crashes[counted-1].Add(contactTime)
		for id, at := range p.reached {
			if at.After(bound) && p.sent[id] != nil {
				late++
			}
		}
	}
	p.log("%d crashes, %d requests reached engines, %d of them late; %d of %d sound requests served, %d refused as quarantined",
		len(p.crashes), len(p.reached), late, p.served.Load(), p.asked.Load(), p.quarantined.Load())
	if late > lateRequests {
		p.oracle.addViolation("%d requests that crash engines reached them later than %s after crash %d; %d crashes in all", late, contactTime, counted, len(p.crashes))
	}
	if n := p.quarantined.Load(); n > 0 {
		p.oracle.addViolation("%d of %d sound requests were refused as quarantined", n, p.asked.Load())
	}
}
