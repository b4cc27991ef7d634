package roles

import (
	"fmt"
	"runtime"
	"time"

	"gentiantide.example/gentiantide/bench/capacity/cluster"
	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
	"gentiantide.example/gentiantide/internal/owner"
)

// Owner measures reservations, ticks, reservation lists, and the heap of ledgers.
func Owner(env *Environment) error {
	for class, name := range map[core.Class]string{core.ClassOnline: "online", core.ClassBatch: "batch"} {
		if err := env.measureReservations(class, name); err != nil {
			return err
		}
	}
	for _, measure := range []func() error{env.measureTick, env.measureLists, env.measureHeap} {
		if err := measure(); err != nil {
			return err
		}
	}
	return nil
}

// measureReservations measures reserve, grant, first token report and release, on
// holder and owner together.
func (env *Environment) measureReservations(class core.Class, name string) error {
	p, err := newPair(5, 64)
	if err != nil {
		return err
	}
	defer p.close()
	cpu := &slope.Slope{Name: "owner.cpu_per_" + name + "_reservation", Unit: "us"}
	sent := &slope.Slope{Name: "owner.sent_per_" + name + "_reservation", Unit: "B"}
	for _, n := range []int{2000, 6000, 12000} {
		runtime.GC()
		bytes, used := p.sent(), meter.CPUTime()
		for i := range n {
			slots, err := p.acquire(1, class)
			if err != nil {
				return err
			}
			if r, ok := slots[0].(dispatch.FirstTokenReporter); ok && class == core.ClassOnline {
				r.ReportFirstToken(time.Duration(100+i%50) * time.Millisecond)
			}
			slots[0].Release(dispatch.Observation{FirstToken: 120 * time.Millisecond, Total: 10 * time.Second, Tokens: 450})
		}
		p.awaitQuiescence()
		cpu.Add(float64(n), microseconds(meter.CPUTime()-used))
		sent.Add(float64(n), p.sent()-bytes)
	}
	env.Print.Slope(cpu)
	env.Print.Slope(sent)
	return nil
}

// measureTick measures the owner's 50 ms tick by number of ledgers and by number of
// reservations.
func (env *Environment) measureTick() error {
	replicas := &slope.Slope{Name: "owner.tick_cpu_per_replica", Unit: "us"}
	for _, n := range []int{5, 20, 80} {
		s := newOwner(n, 16)
		replicas.Add(float64(n), microseconds(meter.CPUTimePerCall(50, minCPUTime, s.Tick)))
	}
	held := &slope.Slope{Name: "owner.tick_cpu_per_reservation", Unit: "us"}
	for _, n := range []int{0, 16, 64, 128} {
		s := newOwner(5, n)
		held.Add(float64(5*n), microseconds(meter.CPUTimePerCall(50, minCPUTime, s.Tick)))
	}
	env.Print.Slope(replicas)
	env.Print.Slope(held)
	return nil
}

// newOwner returns an owner in a region of 132 nodes with n ledgers, each with the
// given number of held reservations.
func newOwner(n, held int) *owner.Service {
	members, snapshot := liveView(4, 33), cluster.Settings()
	s := newDirectory(members, snapshot, 600)
	service := owner.NewService(owner.Options{Members: constant(members), Replicas: s.Current, Settings: constant(snapshot),
		Messenger: newNoopMessenger(cluster.NodeID(0, 0)), Now: time.Now})
	for r := range n {
		id := core.ReplicaID(cluster.Replica(0, r).ID)
		var items []owner.RegisterItem
		for i := range held {
			items = append(items, owner.RegisterItem{Replica: id, ID: reservationID(r, i), Org: core.Org(fmt.Sprintf("org-%03d", i)), Tokens: 450})
		}
		if held == 0 {
			service.Release(owner.ReleaseMessage{Replica: id, ID: "none"})
		}
		service.Register(cluster.NodeID(0, 1+r%32), owner.RegisterMessage{Items: items})
	}
	return service
}

func reservationID(r, i int) core.ReservationID {
	return core.ReservationID(fmt.Sprintf("%s/1a2b3c4d5e6f/%d-%d", cluster.NodeID(0, 1+r%32), r, i))
}

// constant returns a function that always returns v.
func constant[T any](v *T) func() *T { return func() *T { return v } }

// measureLists measures the list of reservations that a holder sends to an owner
// every 2 s.
func (env *Environment) measureLists() error {
	cpu := &slope.Slope{Name: "owner.list_cpu_per_reservation", Unit: "us"}
	sent := &slope.Slope{Name: "owner.list_sent_per_reservation", Unit: "B"}
	const rounds = 100
	for _, n := range []int{5, 50, 200, 400} {
		p, err := newPair(5, 100)
		if err != nil {
			return err
		}
		if _, err := p.acquire(n, core.ClassOnline); err != nil {
			return err
		}
		p.awaitQuiescence()
		runtime.GC()
		bytes, used := p.sent(), meter.CPUTime()
		for range rounds {
			p.dispatcher.SyncReservations()
			time.Sleep(time.Millisecond)
		}
		p.awaitQuiescence()
		cpu.Add(float64(n), microseconds(meter.CPUTime()-used)/rounds)
		sent.Add(float64(n), (p.sent()-bytes)/rounds)
		p.close()
	}
	env.Print.Slope(cpu)
	env.Print.Slope(sent)
	return nil
}

// measureHeap measures the heap of reservations and of ledgers.
func (env *Environment) measureHeap() error {
	reservations := &slope.Slope{Name: "owner.heap_per_reservation", Unit: "B"}
	for _, n := range []int{100, 400, 1600} {
		before := meter.HeapBytes()
		s := newOwner(5, n)
		after := meter.HeapBytes()
		s.Tick()
		reservations.Add(float64(5*n), after-before)
	}
	ledgers := &slope.Slope{Name: "owner.heap_per_ledger", Unit: "B"}
	for _, n := range []int{10, 50, 150} {
		before := meter.HeapBytes()
		s := newOwner(n, 0)
		after := meter.HeapBytes()
		s.Tick()
		ledgers.Add(float64(n), after-before)
	}
	env.Print.Slope(reservations)
	env.Print.Slope(ledgers)
	return nil
}
