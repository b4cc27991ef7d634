package soak

import "time"

// Options describe one run.
type Options struct {
	// Binary is the path of the node daemon.
	Binary string
	// Dir is the directory for the logs and settings files of the run.
	Dir  string
	Seed uint64
	// Nodes is the number of node processes; Engines and PlainServices are the
	// numbers of replicas of each kind.
	Nodes, Engines, PlainServices int
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Notices adds a phase after the faults in which engines say in responses that they
	// take few requests or are leaving.
	Notices bool
	// Crashes adds a phase after the faults in which requests crash engines.
	Crashes bool
	// Blame adds a phase after the faults in which requests crash engines beside sound ones,
	// while nodes and engines are in trouble.
	Blame bool
	// Dark makes engines go dark with their machines in the phase of Blame, instead of
	// refusing connections. Machines pause, and are cut off, as well.
	Dark bool
	// Failures adds a phase after the faults in which a replica fails all of its runs.
	Failures bool
	// Organisations makes the configuration name organisations, whose callers present keys.
	Organisations bool
	// PlannedDuration is how long a run with planned work makes such work.
	PlannedDuration time.Duration
	// RecoveryTimeout is the time after the faults within which every accepted job
	// must complete.
	RecoveryTimeout time.Duration
}

// DefaultOptions returns the options of a run of the default size.
func DefaultOptions(binary, dir string, seed uint64) Options {
	return Options{
		Binary: binary, Dir: dir, Seed: seed, Nodes: 4, Engines: 4, PlainServices: 2,
		FaultDuration: 12 * time.Second, PlannedDuration: 25 * time.Second, RecoveryTimeout: 60 * time.Second, Notices: true, Crashes: true, Blame: true, Failures: true,
		Organisations: seed%2 == 1,
	}
}
