package engine

// Stats is the answer of GET /stats: counts since the start of the engine.
type Stats struct {
	Accepted  int64 `json:"accepted"`
	Started   int64 `json:"started"`
	Completed int64 `json:"completed"`
	Cancelled int64 `json:"cancelled"`
	// Failed counts poisoned requests, Refused those answered "not run".
	Failed  int64 `json:"failed"`
	Refused int64 `json:"refused"`
	Tokens  int64 `json:"tokens"`
	Steps   int64 `json:"steps"`
	// PrefillTokens counts prompt tokens processed, CachedTokens those found
	// in the prefix cache.
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	PeakRunning   int   `json:"peak_running"`
	PeakWaiting   int   `json:"peak_waiting"`
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	// Orders counts orders taken, FencedOrders those refused.
	Orders       int64 `json:"orders"`
	FencedOrders int64 `json:"fenced_orders"`
	// Repeated counts request ids with several starts from the first token.
	Repeated int `json:"repeated"`
	// ByID has the latest 100,000 request ids; only with ?ids=true.
	ByID map[string]Starts `json:"by_id,omitempty"`
}
