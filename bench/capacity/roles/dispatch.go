package roles

import (
	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/internal/core"
)

// Dispatch measures the check of a holder's reservations, which runs every 50 ms,
// and the heap of the reservations.
func Dispatch(env *Environment) error {
	cpu := &slope.Slope{Name: "dispatch.view_check_cpu_per_reservation", Unit: "us"}
	heap := &slope.Slope{Name: "dispatch.heap_per_reservation", Unit: "B"}
	for _, n := range []int{50, 200, 800} {
		p, err := newPair(5, 200)
		if err != nil {
			return err
		}
		before := meter.HeapBytes()
		slots, err := p.acquire(n, core.ClassOnline)
		if err != nil {
			return err
		}
		p.awaitQuiescence()
		// The heap includes the owner's entries, since the owner runs in the same
		// process; owner.heap_per_reservation is their share.
		heap.Add(float64(n), meter.HeapBytes()-before)
		cpu.Add(float64(n), microseconds(meter.CPUTimePerCall(50, minCPUTime, p.dispatcher.OnViewChange)))
		_ = slots[0].Address()
		p.close()
	}
	env.Print.Slope(cpu)
	env.Print.Slope(heap)
	return nil
}
