package soak

import (
	"fmt"
	"sync"

	"gentiantide.example/gentiantide/platform/platformtest"
)

// oracle keeps what callers were told and checks it against what replicas ran
// and what callers read later. It is safe for concurrent use.
type oracle struct {
	mu         sync.Mutex
	violations []string
	// unsafe is the status of each call that must run at most once; 0 for none.
	unsafe map[string]int
	jobs   map[string]*acceptedJob
	served int
	asked  int
}

// acceptedJob is a job that a caller knows to be accepted.
type acceptedJob struct {
	items   int
	ended   bool
	results []platformtest.Result
}

func newOracle() *oracle {
	return &oracle{unsafe: make(map[string]int), jobs: make(map[string]*acceptedJob)}
}

func (o *oracle) violate(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// answered checks the answer to an online request.
func (o *oracle) answered(kind, id string, a *platformtest.Response, want string) {
	ok := a.Err == nil && a.Status >= 200 && a.Status < 300
	o.mu.Lock()
	o.asked++
	if ok {
		o.served++
	}
	if kind == "unsafe" || kind == "once" {
		o.unsafe[id] = a.Status
	}
	o.mu.Unlock()
	switch {
	case ok && a.Body != want:
		o.violate("%s %s: answer of %d bytes is not the whole answer of %d", kind, id, len(a.Body), len(want))
	case ok && a.Header.Get("X-Request-Id") != id:
		o.violate("%s %s: answer belongs to %q", kind, id, a.Header.Get("X-Request-Id"))
	case a.Err == nil && a.Status == 404:
		o.violate("%s %s: the route exists in every configuration, the answer is 404", kind, id)
	case a.Err != nil && len(a.Body) > 0 && (len(a.Body) > len(want) || a.Body != want[:len(a.Body)]):
		o.violate("%s %s: the part that came is not the beginning of the answer", kind, id)
	}
}

// accepted records a 202.
func (o *oracle) accepted(job string, items int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.jobs[job] == nil {
		o.jobs[job] = &acceptedJob{items: items}
	}
}

// endedJob records that a caller ended a job.
func (o *oracle) endedJob(job string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j := o.jobs[job]; j != nil {
		j.ended = true
	}
}

// read checks a page of results that was read at some node.
func (o *oracle) read(job string, from int, page *platformtest.Page, status int) {
	o.mu.Lock()
	j := o.jobs[job]
	o.mu.Unlock()
	if j == nil {
		return
	}
	if status == 404 {
		o.violate("job %s: 404 for an accepted job", job)
		return
	}
	if status != 200 {
		return
	}
	if page.Total != j.items || page.Next != from+len(page.Results) {
		o.violate("job %s: total %d and next %d for %d items and %d results from %d", job, page.Total, page.Next, j.items, len(page.Results), from)
	}
	for i := range page.Results {
		o.place(job, j, from+i, page.Results[i])
	}
}

// place checks one result against what was read before.
func (o *oracle) place(job string, j *acceptedJob, position int, r platformtest.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fail := func(format string, args ...any) {
		o.violations = append(o.violations, fmt.Sprintf("job %s position %d: ", job, position)+fmt.Sprintf(format, args...))
	}
	if r.Succeeded() && r.Text != platformtest.ItemText(r.ID, streamEvents) {
		fail("text of %s has %d bytes and is not the whole output", r.ID, len(r.Text))
	}
	if !r.Succeeded() && !r.DeadLettered() {
		fail("state %q", r.State)
	}
	switch {
	case position < len(j.results):
		if j.results[position] != r {
			fail("was %s, is %s", j.results[position].ID, r.ID)
		}
		return
	case position > len(j.results):
		return // a later page came first
	}
	for _, other := range j.results {
		if other.ID == r.ID {
			fail("%s is listed twice", r.ID)
		}
	}
	j.results = append(j.results, r)
}

// incomplete returns the accepted jobs that have items without a result.
func (o *oracle) incomplete() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for id, j := range o.jobs {
		if !j.ended && len(j.results) < j.items {
			out = append(out, id)
		}
	}
	return out
}

// runs checks what the replicas ran, at the end.
func (o *oracle) runs(backends []*backend) {
	count := make(map[string]int)
	for _, b := range backends {
		for _, a := range b.ReceivedRequests() {
			if a.Ran {
				count[a.RequestID]++
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, status := range o.unsafe {
		if count[id] > 1 {
			o.violations = append(o.violations, fmt.Sprintf("%s ran %d times", id, count[id]))
		}
		if promise := (&platformtest.Response{Status: status}).GuaranteesNotRun(); promise && count[id] > 0 {
			o.violations = append(o.violations, fmt.Sprintf("%s ran although the answer %d says that it did not", id, status))
		}
	}
}
