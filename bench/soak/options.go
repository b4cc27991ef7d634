package soak

import "time"

// Options describe one run.
type Options struct {
	// Binary is the node daemon.
	Binary string
	// Dir takes the logs and settings files of the run.
	Dir  string
	Seed uint64
	// Nodes, Engines and Plains are the numbers of processes and of replicas.
	Nodes, Engines, Plains int
	// Faults is how long faults are injected.
	Faults time.Duration
	// Calm bounds the time after the faults in which every accepted job ends.
	Calm time.Duration
}

// Usual returns the options of a run of the usual size.
func Usual(binary, dir string, seed uint64) Options {
	return Options{
		Binary: binary, Dir: dir, Seed: seed, Nodes: 4, Engines: 4, Plains: 2,
		Faults: 12 * time.Second, Calm: 60 * time.Second,
	}
}
