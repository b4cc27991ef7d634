package plain

// Stats is the response body of GET /stats. It counts since the start.
type Stats struct {
	// Permits holds the number of executions by permit id.
	Permits map[string]int `json:"permits"`
	// Repeated lists the permit ids that were executed more than once.
	Repeated []string `json:"repeated"`
	Issued   int      `json:"issued"`
	Rules    int64    `json:"rules"`
	Refused  int64    `json:"refused"`
}
