package engine

// Stats is the response body of GET /stats. It counts since the engine started.
type Stats struct {
	Accepted  int64 `json:"accepted"`
	Started   int64 `json:"started"`
	Completed int64 `json:"completed"`
	Cancelled int64 `json:"cancelled"`
	// Failed counts poisoned requests, Refused those reported as "not run".
	Failed  int64 `json:"failed"`
	Refused int64 `json:"refused"`
	Tokens  int64 `json:"tokens"`
	Steps   int64 `json:"steps"`
	// PrefillTokens counts prompt tokens processed, CachedTokens those found
	// in the prefix cache.
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	// PeakRunning and PeakWaiting are the highest numbers of sequences since the
	// start, Running and Waiting the current ones.
	PeakRunning int `json:"peak_running"`
	PeakWaiting int `json:"peak_waiting"`
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	// Orders counts executed orders, FencedOrders those rejected for an old
	// fencing number.
	Orders       int64 `json:"orders"`
	FencedOrders int64 `json:"fenced_orders"`
	// Repeated counts request ids that were started from the first token more
	// than once.
	Repeated int `json:"repeated"`
	// ByID holds the counts of the latest 100,000 request ids. It is set only
	// with ?ids=true.
	ByID map[string]ExecutionCounts `json:"by_id,omitempty"`
}
