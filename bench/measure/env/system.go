package env

// System is what calls are sent to.
type System int

// The systems that are measured.
const (
	Gentiantide System = iota
	// Naive is the naive proxy.
	Naive
	// Direct is the engines themselves, without anything in between.
	Direct
)

// String returns the lower-case name.
func (s System) String() string { return [...]string{"gentiantide", "naive", "direct"}[s] }
