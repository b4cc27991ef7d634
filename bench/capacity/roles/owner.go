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

// Owner measures reservations, ticks, lists and ledgers.
func Owner(c *Context) error {
	for class, name := range map[core.Class]string{core.ClassOnline: "online", core.ClassBatch: "batch"} {
		if err := c.reservations(class, name); err != nil {
			return err
		}
	}
	for _, measure := range []func() error{c.tick, c.lists, c.ledgers} {
		if err := measure(); err != nil {
			return err
		}
	}
	return nil
}

// reservations measures reserve, grant, first token and release, both ends
// together.
func (c *Context) reservations(class core.Class, name string) error {
	p, err := newPair(5, 64)
	if err != nil {
		return err
	}
	defer p.close()
	cpu := &slope.Slope{Name: "owner.cpu_per_" + name + "_reservation", Unit: "us"}
	sent := &slope.Slope{Name: "owner.sent_per_" + name + "_reservation", Unit: "B"}
	for _, n := range []int{2000, 6000, 12000} {
		runtime.GC()
		bytes, used := p.sent(), meter.CPU()
		for i := range n {
			slots, err := p.hold(1, class)
			if err != nil {
				return err
			}
			if r, ok := slots[0].(dispatch.FirstTokenReporter); ok && class == core.ClassOnline {
				r.ReportFirstToken(time.Duration(100+i%50) * time.Millisecond)
			}
			slots[0].Release(dispatch.Observation{FirstToken: 120 * time.Millisecond, Total: 10 * time.Second, Tokens: 450})
		}
		p.settle()
		cpu.Add(float64(n), micros(meter.CPU()-used))
		sent.Add(float64(n), p.sent()-bytes)
	}
	c.Print.Slope(cpu)
	c.Print.Slope(sent)
	return nil
}

// tick measures the 50 ms tick against ledgers and against reservations.
func (c *Context) tick() error {
	replicas := &slope.Slope{Name: "owner.tick_cpu_per_replica", Unit: "us"}
	for _, n := range []int{5, 20, 80} {
		s := ownerWith(n, 16)
		replicas.Add(float64(n), micros(meter.PerCall(50, enough, s.Tick)))
	}
	held := &slope.Slope{Name: "owner.tick_cpu_per_reservation", Unit: "us"}
	for _, n := range []int{0, 16, 64, 128} {
		s := ownerWith(5, n)
		held.Add(float64(5*n), micros(meter.PerCall(50, enough, s.Tick)))
	}
	c.Print.Slope(replicas)
	c.Print.Slope(held)
	return nil
}

// ownerWith returns an owner in a region of 132 nodes with n ledgers that hold
// reservations.
func ownerWith(n, held int) *owner.Service {
	members, snapshot := static(4, 33), cluster.Settings()
	s := staticDirectory(members, snapshot, 600)
	service := owner.NewService(owner.Options{Members: funcOf(members), Replicas: s.Current, Settings: funcOf(snapshot),
		Messenger: newSilent(cluster.NodeID(0, 0)), Now: time.Now})
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

func funcOf[T any](v *T) func() *T { return func() *T { return v } }

// lists measures the list that a holder sends to an owner every 2 s.
func (c *Context) lists() error {
	cpu := &slope.Slope{Name: "owner.list_cpu_per_reservation", Unit: "us"}
	sent := &slope.Slope{Name: "owner.list_sent_per_reservation", Unit: "B"}
	const rounds = 100
	for _, n := range []int{5, 50, 200, 400} {
		p, err := newPair(5, 100)
		if err != nil {
			return err
		}
		if _, err := p.hold(n, core.ClassOnline); err != nil {
			return err
		}
		p.settle()
		runtime.GC()
		bytes, used := p.sent(), meter.CPU()
		for range rounds {
			p.dispatcher.SyncReservations()
			time.Sleep(time.Millisecond)
		}
		p.settle()
		cpu.Add(float64(n), micros(meter.CPU()-used)/rounds)
		sent.Add(float64(n), (p.sent()-bytes)/rounds)
		p.close()
	}
	c.Print.Slope(cpu)
	c.Print.Slope(sent)
	return nil
}

// ledgers measures the memory of ledgers and reservations.
func (c *Context) ledgers() error {
	reservations := &slope.Slope{Name: "owner.heap_per_reservation", Unit: "B"}
	for _, n := range []int{100, 400, 1600} {
		before := meter.Heap()
		s := ownerWith(5, n)
		after := meter.Heap()
		s.Tick()
		reservations.Add(float64(5*n), after-before)
	}
	ledgers := &slope.Slope{Name: "owner.heap_per_ledger", Unit: "B"}
	for _, n := range []int{10, 50, 150} {
		before := meter.Heap()
		s := ownerWith(n, 0)
		after := meter.Heap()
		s.Tick()
		ledgers.Add(float64(n), after-before)
	}
	c.Print.Slope(reservations)
	c.Print.Slope(ledgers)
	return nil
}
