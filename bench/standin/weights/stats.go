package weights

// Stats is the answer of GET /stats: counts since the start.
type Stats struct {
	Streams   int64 `json:"streams"`
	Completed int64 `json:"completed"`
	Bytes     int64 `json:"bytes"`
}
