package env

import (
	"fmt"
	"os"
	"time"

	"gentiantide.example/gentiantide/bench/harness"
	"gentiantide.example/gentiantide/bench/measure/proc"
)

// Monitor records the use of processors during a measurement.
type Monitor struct {
	env     *Env
	start   time.Time
	machine proc.Machine
	cpu     map[string]float64
}

// Watch starts a Monitor.
func (e *Env) Watch() *Monitor {
	machine, _ := proc.ReadMachine() // a failure shows as an idle share of 0
	return &Monitor{env: e, start: time.Now(), machine: machine, cpu: e.cpu()}
}

// cpu returns the processor seconds used so far by each group of processes.
// Processes that have ended do not count.
func (e *Env) cpu() map[string]float64 {
	out := make(map[string]float64)
	add := func(group string, pid int) {
		if seconds, err := proc.CPUSeconds(pid); err == nil {
			out[group] += seconds
		}
	}
	for _, n := range e.Fleet.Nodes {
		add("nodes", n.Process.PID())
	}
	for _, list := range [][]*harness.Backend{e.Fleet.Engines, e.Fleet.PlainServers} {
		for _, b := range list {
			add("backends", b.Process.PID())
		}
	}
	add("naive", e.naive.PID())
	add("driver", os.Getpid())
	return out
}

// Note returns a line with the idle and stolen shares of the machine and the cores that
// the groups of processes used.
func (m *Monitor) Note(measure string) string {
	machine, _ := proc.ReadMachine()
	took := time.Since(m.start).Seconds()
	now := m.env.cpu()
	idle, steal := m.machine.Shares(machine)
	cores := func(group string) float64 { return max(0, now[group]-m.cpu[group]) / took }
	return fmt.Sprintf("note=load measure=%s shape=%s seconds=%.1f machine_idle=%.2f machine_steal=%.2f nodes_cores=%.2f backends_cores=%.2f naive_cores=%.2f driver_cores=%.2f",
		measure, m.env.Shape.Name, took, idle, steal,
		cores("nodes"), cores("backends"), cores("naive"), cores("driver"))
}
