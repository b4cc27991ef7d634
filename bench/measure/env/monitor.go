package env

import (
	"fmt"
	"os"
	"time"

	"gentiantide.example/gentiantide/bench/harness"
	"gentiantide.example/gentiantide/bench/measure/proc"
)

// Monitor records the CPU use of the machine and of the processes during a
// measurement.
type Monitor struct {
	env      *Env
	start    time.Time
	cpuTimes proc.CPUTimes
	cpuUsage map[int]usage
}

// usage is the CPU time of a process, with the group of processes it belongs to.
type usage struct {
	group   string
	seconds float64
}

// StartMonitor starts a Monitor.
func (e *Env) StartMonitor() *Monitor {
	cpuTimes, _ := proc.ReadCPUTimes() // a failed read gives an idle share of 0
	return &Monitor{env: e, start: time.Now(), cpuTimes: cpuTimes, cpuUsage: e.cpuUsage()}
}

// cpuUsage returns the CPU time of each process so far, by process id, without
// processes that have ended.
func (e *Env) cpuUsage() map[int]usage {
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

// Note returns a line with the idle and stolen shares of the machine's CPU time and
// the mean number of cores that each group of processes used.
func (m *Monitor) Note(measure string) string {
	cpuTimes, _ := proc.ReadCPUTimes()
	took := time.Since(m.start).Seconds()
	cores := make(map[string]float64)
	for pid, u := range m.env.cpuUsage() {
		cores[u.group] += (u.seconds - m.cpuUsage[pid].seconds) / took
	}
	idle, steal := m.cpuTimes.Shares(cpuTimes)
	return fmt.Sprintf("note=load measure=%s shape=%s seconds=%.1f machine_idle=%.2f machine_steal=%.2f nodes_cores=%.2f backends_cores=%.2f naive_cores=%.2f driver_cores=%.2f",
		measure, m.env.Shape.Name, took, idle, steal,
		cores["nodes"], cores["backends"], cores["naive"], cores["driver"])
}
