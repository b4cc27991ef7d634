package table

// Stats is the response body of GET /stats. It counts since the start.
type Stats struct {
	Reads       int64 `json:"reads"`
	Commits     int64 `json:"commits"`
	RowsWritten int64 `json:"rows_written"`
	// OverCapacity counts calls rejected by the rate limits.
	OverCapacity int64 `json:"over_capacity"`
	// ResponsesLost counts writes that took effect but whose response was not
	// sent.
	ResponsesLost int64 `json:"answers_lost"`
}
