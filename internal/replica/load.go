package replica

// Load is a load report of a backend server.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes now, as a multiple of the usual; 0 if the
	// replica does not say.
	Slowdown float64
}
