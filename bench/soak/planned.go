package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// minSilence and maxSilence bound the time for which a sound replica says nothing.
	minSilence, maxSilence = 700 * time.Millisecond, 1500 * time.Millisecond
	// silenceInterval is the least time between two silences of a whole replica.
	silenceInterval = 3 * time.Second
	// silentShare is the share of responses with a silence, in percent.
	silentShare = 10
	// refusedShare is the share of requests that a replica does not take because it is
	// full, in percent.
	refusedShare = 2
	// shortGap is the time between the events of short streams and of items. That of
	// long streams is between minLongGap and maxLongGap: they take 2 to 4 s.
	shortGap, minLongGap, maxLongGap = 10 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond
	// releaseDrainTime is how long a replica that is released serves at least.
	releaseDrainTime = 3 * time.Second
	// maxStorm is the largest number of versions that are written at once.
	maxStorm = 12
)

// plannedPhase makes planned work beside load: changes of the configuration, reloads,
// stops of nodes and releases of replicas. Replicas fall silent and go on. There are no
// other disturbances.
type plannedPhase struct {
	testbed  *testbed
	oracle   *plannedOracle
	rotation *rotation
	rng      *rand.Rand
	log      func(format string, args ...any)
	work     sync.WaitGroup

	mu         sync.Mutex
	config     *plannedConfig
	stopping   map[*nodeProcess]bool
	lastAccept *nodeProcess
	// jobsSent is when each accepted job on the second route was sent first, and jobsGoneUntil when that route came back last.
	jobsSent      map[string]time.Time
	jobsGoneUntil time.Time
	released      int
	err           error
}

// RunPlanned makes a run with planned work only, in which nothing may be lost.
func RunPlanned(o Options) (Report, error) {
	report := Report{Seed: o.Seed}
	o.Organisations = false
	events, err := os.Create(filepath.Join(o.Dir, "planned.log"))
	if err != nil {
		return report, err
	}
	defer events.Close()
	tb, err := newTestbed(o, "dc-a", "dc-b", "dc-c")
	if tb != nil {
		defer tb.close()
	}
	if err != nil {
		return report, err
	}
	p := &plannedPhase{
		testbed: tb, oracle: newPlannedOracle(), rotation: newRotation(tb.nodes), rng: rand.New(rand.NewPCG(o.Seed, 4)),
		config: newPlannedConfig(), stopping: make(map[*nodeProcess]bool), jobsSent: make(map[string]time.Time),
		log: func(format string, args ...any) {
			fmt.Fprintf(events, "%s %s\n", clock(time.Now()), fmt.Sprintf(format, args...))
		},
	}
	if err := p.prepare(); err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.rotation.run(ctx)
	callers := &plannedClients{phase: p, oracle: p.oracle}
	callers.start(ctx)
	err = p.run(o.PlannedDuration)
	cancel()
	callers.wg.Wait()
	if err != nil {
		return report, err
	}
	callers.awaitJobs(o.RecoveryTimeout)
	p.oracle.judge(tb.backends, p.log)
	p.oracle.jobs.checkExecutions(tb.backends)
	p.oracle.jobs.checkFloor()
	for _, v := range p.oracle.jobs.violations {
		p.log("VIOLATION %s", v)
	}
	for what, n := range p.oracle.counts {
		p.log("count: %s: %d", what, n)
	}
	all := p.oracle.jobs
	report.Violations, report.Sent, report.Served, report.Jobs, report.Counts = all.violations, all.sent, all.served, len(all.jobs), p.oracle.counts
	return report, nil
}

// prepare adds a second service of each kind and waits until all nodes have the
// configuration.
func (p *plannedPhase) prepare() error {
	for i := range 2 {
		if _, err := p.testbed.addBackend(fmt.Sprintf("engine2-%d", i), "models2", eventsPerStream); err != nil {
			return err
		}
		if _, err := p.testbed.addBackend(fmt.Sprintf("plain2-%d", i), "desk2", 0); err != nil {
			return err
		}
	}
	for _, b := range p.testbed.backends {
		p.behave(b)
	}
	p.config.Version = p.testbed.configVersion
	if err := p.config.write(p.testbed.store, 1); err != nil {
		return err
	}
	time.Sleep(contactTime)
	return nil
}

// behave makes a replica serve every request, some with a silence. What it does depends
// on the seed, the replica and the ID of the request only.
func (p *plannedPhase) behave(b *backend) {
	plain := b.Events == 0
	b.SetBehaviour(func(r platformtest.ReceivedRequest) platformtest.Behaviour {
		h := fnv.New64a()
		_, _ = h.Write([]byte(b.ID + " " + r.RequestID)) // never fails
		rng := rand.New(rand.NewPCG(p.testbed.options.Seed, h.Sum64()))
		behaviour := platformtest.Behaviour{EventGap: shortGap}
		if strings.HasSuffix(r.Target, "long") {
			behaviour.EventGap = minLongGap + time.Duration(rng.Int64N(int64(maxLongGap-minLongGap)))
		}
		if strings.HasSuffix(r.Target, "large") {
			behaviour.Copies = largeCopies
		}
		switch n := rng.IntN(100); {
		case n < refusedShare:
			return platformtest.Behaviour{Refuse: true}
		case n >= refusedShare+silentShare:
			return behaviour
		}
		points := []platformtest.SilencePoint{platformtest.SilentBeforeHead, platformtest.SilentAfterHead, platformtest.SilentBetweenEvents, platformtest.SilentWithinEvent}
		if plain {
			points = []platformtest.SilencePoint{platformtest.SilentBeforeHead, platformtest.SilentAfterHead, platformtest.SilentWithinBody}
		}
		behaviour.Silence = &platformtest.Silence{
			At: points[rng.IntN(len(points))], AfterEvents: rng.IntN(eventsPerStream), Duration: randomSilence(rng),
		}
		return behaviour
	})
}

func randomSilence(rng *rand.Rand) time.Duration {
	return minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
}

// run does planned work for a time and waits until all of it is done.
func (p *plannedPhase) run(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if err := p.step(); err != nil {
			return err
		}
		time.Sleep(time.Duration(50+p.rng.IntN(500)) * time.Millisecond)
	}
	p.log("calm")
	p.work.Wait()
	return p.err
}

// step begins one piece of planned work, which may last while others begin.
func (p *plannedPhase) step() error {
	switch p.rng.IntN(10) {
	case 0, 1, 2:
		return p.changeConfig(1)
	case 3:
		return p.changeConfig(2 + p.rng.IntN(maxStorm))
	case 4, 5:
		p.stopNodes()
	case 6:
		if n := p.testbed.nodes[p.rng.IntN(len(p.testbed.nodes))]; p.reloadable(n) {
			p.log("send the settings reload signal to %s", n.name)
			n.process.Signal(syscall.SIGHUP)
		}
	case 7:
		return p.release()
	default:
		p.silence()
	}
	return nil
}

func (p *plannedPhase) changeConfig(versions int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range versions {
		what := p.config.change(p.rng)
		if err := p.config.write(p.testbed.store, 1+p.rng.IntN(3)); err != nil {
			return err
		}
		if p.config.jobsEnd {
			p.jobsGoneUntil = time.Now().Add(time.Hour)
		} else if p.jobsGoneUntil.After(time.Now()) {
			p.jobsGoneUntil = time.Now()
		}
		p.log("configuration %d: %s", p.config.Version, what)
	}
	return nil
}

// extraRoute returns an added route that all nodes must know, or none.
func (p *plannedPhase) extraRoute() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, route := range p.config.extra {
		if time.Now().After(route.inForce) {
			return route.name
		}
	}
	return ""
}

// hasExtraRoute reports whether an added route with a path has not been removed.
func (p *plannedPhase) hasExtraRoute(path string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.config.extra, func(route extraRoute) bool { return path == "/"+route.name+"/x" })
}

// accepted records the node that accepted a job last, and when its caller asked first.
func (p *plannedPhase) accepted(n *nodeProcess, job, prefix string, first time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAccept = n
	if _, known := p.jobsSent[job]; !known && prefix == "/"+secondJobs+"/" {
		p.jobsSent[job] = first
	}
}

// mayAbandon reports whether the route of a job has been gone since it was accepted.
func (p *plannedPhase) mayAbandon(job string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, ok := p.jobsSent[job]
	return ok && (p.config.jobsEnd || p.jobsGoneUntil.After(sent))
}

// reloadable reports whether the process handles signals and is not being stopped.
func (p *plannedPhase) reloadable(n *nodeProcess) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopping[n] && time.Since(n.startedAt) > minSignalAge
}

// stopNodes stops one or two nodes and starts them again. At most half of the nodes are
// stopping at any time.
func (p *plannedPhase) stopNodes() {
	for range 1 + p.rng.IntN(2) {
		p.mu.Lock()
		n := p.testbed.nodes[p.rng.IntN(len(p.testbed.nodes))]
		if p.lastAccept != nil && p.rng.IntN(3) == 0 {
			n = p.lastAccept
		}
		if p.stopping[n] || 2*(len(p.stopping)+1) > len(p.testbed.nodes) || time.Since(n.startedAt) < contactTime {
			p.mu.Unlock()
			return
		}
		p.stopping[n] = true
		p.mu.Unlock()
		p.work.Go(func() { p.restart(n) })
	}
}

// restart stops a node as the platform does, starts it again and waits until it is ready.
func (p *plannedPhase) restart(n *nodeProcess) {
	p.log("stop %s", n.name)
	p.oracle.recordStop(n)
	n.process.Signal(syscall.SIGTERM)
	select {
	case <-n.process.Done():
		if err := n.process.Err(); err != nil {
			p.oracle.jobs.addViolation("%s ended with: %v", n.name, err)
		}
	case <-time.After(stopGraceSeconds * time.Second):
		p.oracle.jobs.addViolation("%s did not stop within the grace period, at %s", n.name, clock(time.Now()))
		n.process.Kill()
	}
	p.log("start %s", n.name)
	err := p.testbed.startNode(n)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.stopping, n)
	if err != nil {
		p.err = err
	}
}

// silence makes one replica, or all of a service, silent for a while.
func (p *plannedPhase) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.testbed.backends[p.rng.IntN(len(p.testbed.backends))]
	whole, d := p.rng.IntN(4) == 0, randomSilence(p.rng)
	for _, other := range p.testbed.backends {
		if (other == b || whole && other.service == b.service) && time.Now().After(other.silentUntil) {
			p.log("%s is silent for %s", other.ID, d)
			other.silentUntil = time.Now().Add(d + silenceInterval)
			other.FallSilent(d)
		}
	}
}

// release replaces a replica by a new one: it drains, vanishes from the list, or says in
// its responses that it is leaving, and ends once it has no work.
func (p *plannedPhase) release() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.testbed.backends[p.rng.IntN(len(p.testbed.backends))]
	if b.draining {
		return nil
	}
	p.released++
	fresh, err := p.testbed.addBackend(fmt.Sprintf("released-%d", p.released), b.service, b.Events)
	if err != nil {
		return err
	}
	p.behave(fresh)
	way := p.rng.IntN(3)
	p.log("release %s, way %d; %s replaces it", b.ID, way, fresh.ID)
	switch way {
	case 0:
		err = p.testbed.register(b, "draining")
	case 1:
		err = p.testbed.store.Remove("servers", b.ID)
	default:
		b.SetLeaving()
	}
	b.draining = true
	p.work.Go(func() {
		time.Sleep(releaseDrainTime)
		for b.OpenRuns() > 0 {
			time.Sleep(50 * time.Millisecond)
		}
		p.log("%s ends", b.ID)
		_ = p.testbed.store.Remove("servers", b.ID) // fails never without injected faults
		time.Sleep(contactTime)                     // requests may be on the way
		b.proxy.close()
		b.Close()
	})
	return err
}
