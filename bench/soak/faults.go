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

// signalAge is the age from which a process gets the settings signal. Before its
// main function runs, the signal ends any process.
const signalAge = 300 * time.Millisecond

// faults injects faults one after the other; several may overlap.
type faults struct {
	world  *world
	random *rand.Rand
	log    func(format string, args ...any)
}

// run injects faults until ctx ends and then undoes all of them.
func (f *faults) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.one(); err != nil {
			return err
		}
		pause(ctx, time.Duration(150+f.random.IntN(900))*time.Millisecond)
	}
	return f.heal()
}

// one injects or ends one fault.
func (f *faults) one() error {
	w := f.world
	v := w.vms[f.random.IntN(len(w.vms))]
	b := w.backends[f.random.IntN(len(w.backends))]
	switch f.random.IntN(12) {
	case 0:
		f.log("kill %s", v.name)
		v.process.Kill()
		return w.startVM(v)
	case 1:
		f.log("stop %s, start again", v.name)
		return f.restart(v)
	case 2:
		if v.paused = !v.paused; v.paused {
			f.log("pause %s", v.name)
			v.process.Signal(syscall.SIGSTOP)
		} else {
			f.log("continue %s", v.name)
			v.process.Signal(syscall.SIGCONT)
		}
	case 3:
		m := mode(f.random.IntN(int(modeCount)))
		f.log("store of %s: mode %d", v.name, m)
		v.store.set(m)
	case 4, 5:
		m := mode(f.random.IntN(int(modeCount)))
		f.log("%s: mode %d", b.ID, m)
		b.proxy.set(m)
	case 6, 7:
		return f.store()
	case 8:
		f.log("configuration %d", w.version+2)
		return w.configure()
	case 9:
		return f.leave(b)
	case 10:
		f.behave(b)
	case 11:
		if time.Since(v.started) < signalAge {
			return nil
		}
		f.log("settings signal to %s", v.name)
		v.process.Signal(syscall.SIGHUP)
	}
	return nil
}

// restart stops a node as the platform does: a kill after the grace.
func (f *faults) restart(v *vm) error {
	v.process.Signal(syscall.SIGCONT)
	v.process.Signal(syscall.SIGTERM)
	select {
	case <-v.process.Done():
	case <-time.After(nodeGrace * time.Second):
		f.log("%s did not stop within the grace", v.name)
		v.process.Kill()
	}
	return f.world.startVM(v)
}

// store changes the store's faults.
func (f *faults) store() error {
	rows, objects := f.world.store.Rows, f.world.store.Objects
	switch f.random.IntN(6) {
	case 0:
		f.log("store down")
		rows.SetFaultPlan(infratest.FaultPlan{Down: true})
		objects.SetFaultPlan(infratest.FaultPlan{Down: true})
	case 1:
		f.log("store slow")
		rows.SetFaultPlan(infratest.FaultPlan{Delay: 150 * time.Millisecond})
	case 2:
		f.log("store loses answers")
		rows.SetFaultPlan(infratest.FaultPlan{LoseAnswers: 0.3, RefuseWrites: 0.1})
		objects.SetFaultPlan(infratest.FaultPlan{LoseAnswers: 0.3})
	case 3:
		f.log("store forgets its history")
		rows.Compact()
	case 4:
		f.log("store holds writes back")
		rows.HoldWrites()
	default:
		f.log("store well, %d late writes applied", rows.ReleaseWrites())
		rows.SetFaultPlan(infratest.FaultPlan{})
		objects.SetFaultPlan(infratest.FaultPlan{})
	}
	return nil
}

// leave takes a replica out or brings it back. One of each service stays.
func (f *faults) leave(b *backend) error {
	if b.leaving {
		f.log("%s is back", b.ID)
		return f.world.register(b, "ready")
	}
	ready := 0
	for _, other := range f.world.backends {
		if other.service == b.service && !other.leaving {
			ready++
		}
	}
	if ready < 2 {
		return nil
	}
	f.log("%s leaves", b.ID)
	return f.world.register(b, "draining")
}

// behave makes a replica fail a share of its requests.
func (f *faults) behave(b *backend) {
	share := f.random.IntN(30)
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	f.log("%s fails %d in 100", b.ID, share)
	b.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour {
		usual := platformtest.Behaviour{EventGap: eventGap}
		if random.IntN(100) >= share {
			return usual
		}
		switch random.IntN(6) {
		case 0:
			return platformtest.Behaviour{Refuse: true}
		case 1:
			return platformtest.Behaviour{Status: 500}
		case 2:
			return platformtest.Behaviour{Reset: true}
		case 3:
			return platformtest.Behaviour{CutAfter: 1 + random.IntN(streamEvents), EventGap: eventGap}
		case 4:
			return platformtest.Behaviour{ExtraResponse: true, EventGap: eventGap}
		default:
			return platformtest.Behaviour{CloseDelimited: true, EventGap: eventGap}
		}
	})
}

// usual makes a replica serve every request.
func usual(b *backend) {
	b.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{EventGap: eventGap}
	})
}

// heal ends all faults.
func (f *faults) heal() error {
	w := f.world
	f.log("calm")
	w.store.Rows.ReleaseWrites()
	w.store.Rows.SetFaultPlan(infratest.FaultPlan{})
	w.store.Objects.SetFaultPlan(infratest.FaultPlan{})
	for _, b := range w.backends {
		b.proxy.set(modePass)
		usual(b)
		if err := w.register(b, "ready"); err != nil {
			return err
		}
	}
	for _, v := range w.vms {
		v.store.set(modePass)
		v.process.Signal(syscall.SIGCONT)
		v.paused = false
		select {
		case <-v.process.Done():
			return fmt.Errorf("%s ended by itself: %w", v.name, v.process.Err())
		default:
		}
	}
	return nil
}
