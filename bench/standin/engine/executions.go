package engine

// maxRequestIDs is the maximum number of request ids with counts.
const maxRequestIDs = 100_000

// ExecutionCounts counts the executions of the requests with one id.
type ExecutionCounts struct {
	// Starts counts executions that began, including resumed ones.
	Starts int `json:"starts"`
	// Resumes counts executions that continued after the first token.
	Resumes int `json:"resumes,omitempty"`
	// Completions counts executions that produced the last token.
	Completions int `json:"completions,omitempty"`
}

// executionLog keeps the execution counts of the latest request ids.
type executionLog struct {
	byID map[string]*ExecutionCounts
	ids  []string // ring buffer; once full, the oldest id is at next
	next int
}

func newExecutionLog() *executionLog { return &executionLog{byID: make(map[string]*ExecutionCounts)} }

// counts returns the counts of a request id. It adds the id if necessary and then
// drops the oldest one if the log is full.
func (l *executionLog) counts(id string) *ExecutionCounts {
	if s, ok := l.byID[id]; ok {
		return s
	}
	if len(l.ids) < maxRequestIDs {
		l.ids = append(l.ids, id)
	} else {
		delete(l.byID, l.ids[l.next])
		l.ids[l.next] = id
		l.next = (l.next + 1) % maxRequestIDs
	}
	s := &ExecutionCounts{}
	l.byID[id] = s
	return s
}

func (l *executionLog) copy() map[string]ExecutionCounts {
	out := make(map[string]ExecutionCounts, len(l.byID))
	for id, s := range l.byID {
		out[id] = *s
	}
	return out
}
