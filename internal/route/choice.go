package route

// Choice is a chosen replica. Its zero value means that there is none.
type Choice struct {
	// Replica is the chosen replica, or nil.
	Replica *Replica
	// Probe is set if this is the one test request to an ejected replica. The
	// holder must call Replica.PostponeProbe if the work is not sent.
	Probe bool
}
