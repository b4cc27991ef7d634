package env

// System is the system that calls are sent to.
type System int

// The measured systems.
const (
	Gentiantide System = iota
	// Naive is the naive proxy, the baseline.
	Naive
	// Direct is the engines themselves, without a proxy.
	Direct
)

// String returns the lower-case name.
func (s System) String() string { return [...]string{"gentiantide", "naive", "direct"}[s] }
