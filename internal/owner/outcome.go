package owner

// Outcome describes how the work of a reservation ended.
type Outcome struct {
	// Completed is set if the work ran to completion. Only such work counts
	// towards the average service time.
	Completed bool
	// ProbePassed is set if the work was a probe of an ejected replica and was
	// as fast as expected.
	ProbePassed bool
}
