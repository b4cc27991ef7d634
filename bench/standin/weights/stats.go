package weights

// Stats is the response body of GET /stats. It counts since the start.
type Stats struct {
	// Streams counts streams that began, Completed those sent completely, and
	// Bytes the bytes sent.
	Streams   int64 `json:"streams"`
	Completed int64 `json:"completed"`
	Bytes     int64 `json:"bytes"`
}
