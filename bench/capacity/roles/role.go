package roles

import "gentiantide.example/gentiantide/bench/capacity/slope"

// Role is a role of a node with the measurement of its costs.
type Role struct {
	Name    string
	Measure func(*Environment) error
}

// Environment holds the output and the directories of the measurements.
type Environment struct {
	Print *slope.Printer
	// BinDir contains the programs gentiantided and standin. Their logs are
	// written to WorkDir.
	BinDir, WorkDir string
}

// All returns the roles in the order in which they are measured.
func All() []Role {
	return []Role{
		{"membership", Membership},
		{"directory", Directory},
		{"owner", Owner},
		{"dispatch", Dispatch},
		{"settings", Settings},
		{"fleet", Fleet},
		{"batch", Batch},
		{"intents", Intents},
		{"handler", Handler},
		{"relay", Relay},
	}
}
