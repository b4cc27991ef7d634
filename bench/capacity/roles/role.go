package roles

import "gentiantide.example/gentiantide/bench/capacity/slope"

// Role measures the slopes of one role.
type Role struct {
	Name    string
	Measure func(*Context) error
}

// Context is what measurements work with.
type Context struct {
	Print *slope.Printer
	// BinDir holds the programs gentiantided and standin, and WorkDir takes
	// their logs.
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
