package objects

// Stats is the response body of GET /stats. It counts since the start.
type Stats struct {
	Reads   int64 `json:"reads"`
	Puts    int64 `json:"puts"`
	Deletes int64 `json:"deletes"`
	// BytesWritten is the total size of the puts that took effect.
	BytesWritten int64 `json:"bytes_written"`
	// OverCapacity counts calls rejected by the rate limits.
	OverCapacity int64 `json:"over_capacity"`
	// ResponsesLost counts writes that took effect but whose response was not
	// sent.
	ResponsesLost int64 `json:"answers_lost"`
}
