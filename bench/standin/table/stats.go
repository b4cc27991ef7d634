package table

// Stats is the answer of GET /stats: counts since the start.
type Stats struct {
	Reads       int64 `json:"reads"`
	Commits     int64 `json:"commits"`
	RowsWritten int64 `json:"rows_written"`
	// OverCapacity counts calls refused because of the capacity limits.
	OverCapacity int64 `json:"over_capacity"`
	// AnswersLost counts writes that took effect without an answer.
	AnswersLost int64 `json:"answers_lost"`
}
