package roles

import (
	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/internal/core"
)

// Dispatch measures what a holder of reservations does every 50 ms, and the
// memory of its reservations.
func Dispatch(c *Context) error {
	cpu := &slope.Slope{Name: "dispatch.view_check_cpu_per_reservation", Unit: "us"}
	heap := &slope.Slope{Name: "dispatch.heap_per_reservation", Unit: "B"}
	for _, n := range []int{50, 200, 800} {
		p, err := newPair(5, 200)
		if err != nil {
			return err
		}
		before := meter.Heap()
		slots, err := p.hold(n, core.ClassOnline)
		if err != nil {
			return err
		}
		p.settle()
		// The owner's entries are in the same process; its slope is known.
		heap.Add(float64(n), meter.Heap()-before)
		cpu.Add(float64(n), micros(meter.PerCall(50, enough, p.dispatcher.OnViewChange)))
		_ = slots[0].Address()
		p.close()
	}
	c.Print.Slope(cpu)
	c.Print.Slope(heap)
	return nil
}
