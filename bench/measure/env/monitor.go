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
	cpu     map[int]usage
}

// usage is the processor seconds that a process of a group used.
type usage struct {
	group   string
	seconds float64
}

// Watch starts a Monitor.
func (e *Env) Watch() *Monitor {
	machine, _ := proc.ReadMachine() // a failure shows as an idle share of 0
	return &Monitor{env: e, start: time.Now(), machine: machine, cpu: e.cpu()}
}

// cpu returns the use of each process so far. Ended processes are left out.
func (e *Env) cpu() map[int]usage {
	out := make(map[int]usage)
	add := func(group string, pid int) {
		if seconds, err := proc.CPUSeconds(pid); err == nil {
			out[pid] = usage{group, seconds}
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
	cores := make(map[string]float64)
	for pid, u := range m.env.cpu() {
		cores[u.group] += (u.seconds - m.cpu[pid].seconds) / took
	}
	idle, steal := m.machine.Shares(machine)
	return fmt.Sprintf("note=load measure=%s shape=%s seconds=%.1f machine_idle=%.2f machine_steal=%.2f nodes_cores=%.2f backends_cores=%.2f naive_cores=%.2f driver_cores=%.2f",
		measure, m.env.Shape.Name, took, idle, steal,
		cores["nodes"], cores["backends"], cores["naive"], cores["driver"])
}
