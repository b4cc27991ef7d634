package replica

// Load is the load that a backend server reports with a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the present duration of work as a multiple of the usual one, or
	// 0 if the replica does not report it.
	Slowdown float64
}
