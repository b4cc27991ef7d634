package routes

// Kind says what may be repeated on a route.
type Kind string

const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a series of events. They run at most
	// once unless the route can resume them.
	KindStream Kind = "stream"
	// KindBatch routes accept batch jobs.
	KindBatch Kind = "batch"
)
