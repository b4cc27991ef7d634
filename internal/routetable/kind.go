package routetable

// Kind says which requests a route accepts and whether they may be retried.
type Kind string

const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests get a stream of events as response. They run at most
	// once unless the route can resume streams.
	KindStream Kind = "stream"
	// KindBatch routes accept batch jobs.
	KindBatch Kind = "batch"
)
