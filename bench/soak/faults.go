package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/platform/platformtest"
)

// minSignalAge is the minimum age of a process to which SIGHUP is sent. Until the
// process has installed its handler, the signal's default action terminates it.
const minSignalAge = 300 * time.Millisecond

// faultInjector injects random faults one after the other. A fault may last while
// others are injected.
type faultInjector struct {
	testbed *testbed
	rng     *rand.Rand
	log     func(format string, args ...any) // safe for concurrent use
}

// run injects faults until ctx ends and then clears all of them.
func (f *faultInjector) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.injectOne(); err != nil {
			return err
		}
		sleep(ctx, time.Duration(150+f.rng.IntN(900))*time.Millisecond)
	}
	return f.clearFaults()
}

// injectOne starts or ends one random fault.
func (f *faultInjector) injectOne() error {
	tb := f.testbed
	n := tb.nodes[f.rng.IntN(len(tb.nodes))]
	b := tb.backends[f.rng.IntN(len(tb.backends))]
	switch f.rng.IntN(12) {
	case 0:
		f.log("kill %s", n.name)
		n.process.Kill()
		return tb.startNode(n)
	case 1:
		f.log("stop %s and restart it", n.name)
		return f.restart(n)
	case 2:
		if paused := !n.paused.Load(); paused {
			n.paused.Store(true)
			f.log("pause %s", n.name)
			n.process.Signal(syscall.SIGSTOP)
		} else {
			n.paused.Store(false)
			f.log("continue %s", n.name)
			n.process.Signal(syscall.SIGCONT)
		}
	case 3:
		m := mode(f.rng.IntN(int(modeCount)))
		f.log("store of %s: mode %d", n.name, m)
		n.store.setMode(m)
	case 4, 5:
		m := mode(f.rng.IntN(int(modeCount)))
		f.log("%s: mode %d", b.ID, m)
		b.proxy.setMode(m)
	case 6, 7:
		return f.changeStoreFaults()
	case 8:
		f.log("configuration %d", tb.version()+2)
		return tb.configure()
	case 9:
		return f.toggleDraining(b)
	case 10:
		f.failRequests(b)
	case 11:
		if time.Since(n.startedAt) < minSignalAge {
			return nil
		}
		f.log("send the settings reload signal to %s", n.name)
		n.process.Signal(syscall.SIGHUP)
	}
	return nil
}

// restart stops a node as the platform does, with SIGTERM and then SIGKILL after
// the grace period, and starts it again.
func (f *faultInjector) restart(n *nodeProcess) error {
	n.process.Signal(syscall.SIGCONT)
	n.paused.Store(true) // a node that stops answers no peer for long
	n.process.Signal(syscall.SIGTERM)
	select {
	case <-n.process.Done():
	case <-time.After(stopGraceSeconds * time.Second):
		f.log("%s did not stop within the grace period", n.name)
		n.process.Kill()
	}
	return f.testbed.startNode(n)
}

// changeStoreFaults sets a random fault of the metadata store, or clears its
// faults.
func (f *faultInjector) changeStoreFaults() error {
	rows, objects := f.testbed.store.Rows, f.testbed.store.Objects
	switch f.rng.IntN(6) {
	case 0:
		f.log("store down")
		f.testbed.storeAway.Store(true)
		rows.SetFaultPlan(infratest.FaultPlan{Down: true})
		objects.SetFaultPlan(infratest.FaultPlan{Down: true})
	case 1:
		f.log("store slow")
		rows.SetFaultPlan(infratest.FaultPlan{Delay: 150 * time.Millisecond})
	case 2:
		f.log("store loses responses")
		f.testbed.storeAway.Store(true)
		rows.SetFaultPlan(infratest.FaultPlan{LoseResponses: 0.3, RefuseWrites: 0.1})
		objects.SetFaultPlan(infratest.FaultPlan{LoseResponses: 0.3})
	case 3:
		f.log("store discards its change history")
		rows.Compact()
	case 4:
		f.log("store holds writes")
		f.testbed.writesHeld.Store(true)
		rows.HoldWrites()
	default:
		f.log("store recovered, %d held writes applied", rows.ReleaseWrites())
		f.testbed.writesHeld.Store(false)
		rows.SetFaultPlan(infratest.FaultPlan{})
		objects.SetFaultPlan(infratest.FaultPlan{})
		f.testbed.storeAway.Store(false)
	}
	return nil
}

// toggleDraining marks a replica as draining or as ready again. At least one
// replica of each service stays ready.
func (f *faultInjector) toggleDraining(b *backend) error {
	if b.draining {
		f.log("%s is ready again", b.ID)
		return f.testbed.register(b, "ready")
	}
	ready := 0
	for _, other := range f.testbed.backends {
		if other.service == b.service && !other.draining {
			ready++
		}
	}
	if ready < 2 {
		return nil
	}
	f.log("%s drains", b.ID)
	return f.testbed.register(b, "draining")
}

// failRequests makes a replica fail a random share of its requests, or answer them with
// what is no answer.
func (f *faultInjector) failRequests(b *backend) {
	share := f.rng.IntN(30)
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), 1))
	f.log("%s fails %d%% of its requests", b.ID, share)
	b.SetBehaviour(func(r platformtest.ReceivedRequest) platformtest.Behaviour {
		normal := platformtest.Behaviour{EventGap: eventGap}
		if rng.IntN(100) >= share {
			return normal
		}
		switch rng.IntN(8) {
		case 0:
			return platformtest.Behaviour{Refuse: true}
		case 1:
			return platformtest.Behaviour{Status: 500}
		case 2:
			return platformtest.Behaviour{Reset: true}
		case 3:
			return platformtest.Behaviour{CutAfter: 1 + rng.IntN(eventsPerStream), EventGap: eventGap}
		case 4:
			return platformtest.Behaviour{ExtraResponse: true, EventGap: eventGap}
		case 5:
			return platformtest.Behaviour{CloseDelimited: true, EventGap: eventGap}
		default:
			return sickBehaviour(rng, b.Events > 0, r.RequestID)
		}
	})
}

// serveNormally makes a replica serve every request.
func serveNormally(b *backend) {
	b.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{EventGap: eventGap}
	})
}

// clearFaults ends all faults. It fails if a node process has exited unexpectedly.
func (f *faultInjector) clearFaults() error {
	tb := f.testbed
	f.log("calm")
	tb.store.Rows.ReleaseWrites()
	tb.writesHeld.Store(false)
	tb.store.Rows.SetFaultPlan(infratest.FaultPlan{})
	tb.store.Objects.SetFaultPlan(infratest.FaultPlan{})
	tb.storeAway.Store(false)
	for _, b := range tb.backends {
		b.proxy.setMode(modePass)
		serveNormally(b)
		if err := tb.register(b, "ready"); err != nil {
			return err
		}
	}
	for _, n := range tb.nodes {
		n.store.setMode(modePass)
		n.process.Signal(syscall.SIGCONT)
		n.paused.Store(false)
		select {
		case <-n.process.Done():
			return fmt.Errorf("%s exited unexpectedly: %w", n.name, n.process.Err())
		default:
		}
	}
	return nil
}
