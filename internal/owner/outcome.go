package owner

// Outcome says how a reservation ended.
type Outcome struct {
	// Completed is set if the work ran to its end. Only such work counts in
	// the average service time.
	Completed bool
	// ProbeGood is set if the work was a test request to an ejected replica
	// and was as fast as expected.
	ProbeGood bool
}
