package route

// Choice is the result of Router.Choose. Its zero value means that no replica is
// usable.
type Choice struct {
	// Replica is the chosen replica, or nil.
	Replica *Replica
	// Probe is set if the work is a probe of an ejected replica. If the work is
	// not sent, the caller must call Replica.EndProbe or PostponeProbe. Otherwise
	// no other probe is sent before probeTimeout.
	Probe bool
}
