package plain

// Stats is the answer of GET /stats: what happened since the start.
type Stats struct {
	// Permits counts the executions of each permit id.
	Permits map[string]int `json:"permits"`
	// Repeated lists the permit ids that were executed more than once.
	Repeated []string `json:"repeated"`
	Issued   int      `json:"issued"`
	Rules    int64    `json:"rules"`
	Refused  int64    `json:"refused"`
}
