package objects

// Stats is the answer of GET /stats: counts since the start.
type Stats struct {
	Reads   int64 `json:"reads"`
	Puts    int64 `json:"puts"`
	Deletes int64 `json:"deletes"`
	// BytesWritten counts the bodies of puts that took effect.
	BytesWritten int64 `json:"bytes_written"`
	// OverCapacity counts calls refused because of the capacity limits.
	OverCapacity int64 `json:"over_capacity"`
	// AnswersLost counts writes that took effect without an answer.
	AnswersLost int64 `json:"answers_lost"`
}
