package streamversion

// Source says how the version of a stream was found. It is a label of the metrics.
type Source string

// The sources of the version of a stream.
const (
	// SourceMemory is a stream that this node began.
	SourceMemory Source = "memory"
	// SourceRecord is a stream with a row in the store.
	SourceRecord Source = "record"
	// SourceBase is a stream without a row, which began at the base version.
	SourceBase Source = "base"
	// SourceOnly is a stream of a service that has one version.
	SourceOnly Source = "only_version"
)
