package engine

// maxStarts bounds the request ids that are remembered.
const maxStarts = 100_000

// Starts counts what happened to the requests with one id.
type Starts struct {
	// Starts counts executions that began, also resumed ones.
	Starts int `json:"starts"`
	// Resumes counts those that began after the first token.
	Resumes int `json:"resumes,omitempty"`
	// Completions counts those that produced the last token.
	Completions int `json:"completions,omitempty"`
}

// startLog keeps the counts of the latest request ids.
type startLog struct {
	byID  map[string]*Starts
	order []string // ring of ids, oldest at next once full
	next  int
}

func newStartLog() *startLog { return &startLog{byID: make(map[string]*Starts)} }

func (l *startLog) of(id string) *Starts {
	if s, ok := l.byID[id]; ok {
		return s
	}
	if len(l.order) < maxStarts {
		l.order = append(l.order, id)
	} else {
		delete(l.byID, l.order[l.next])
		l.order[l.next] = id
		l.next = (l.next + 1) % maxStarts
	}
	s := &Starts{}
	l.byID[id] = s
	return s
}

func (l *startLog) copy() map[string]Starts {
	out := make(map[string]Starts, len(l.byID))
	for id, s := range l.byID {
		out[id] = *s
	}
	return out
}
