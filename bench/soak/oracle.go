package soak

import (
	"fmt"
	"sync"

	"gentiantide.example/gentiantide/platform/platformtest"
)

// oracle records the responses that callers received and checks them against what
// the replicas ran and what callers read later. It is safe for concurrent use.
type oracle struct {
	mu         sync.Mutex
	violations []string
	// atMostOnce maps the id of each request that must run at most once to the status
	// of its response, 0 if there was none.
	atMostOnce map[string]int
	jobs       map[string]*acceptedJob
	served     int
	sent       int
}

// acceptedJob is a job whose submission was answered with 202.
type acceptedJob struct {
	items     int
	cancelled bool
	results   []platformtest.Result
}

func newOracle() *oracle {
	return &oracle{atMostOnce: make(map[string]int), jobs: make(map[string]*acceptedJob)}
}

func (o *oracle) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// checkResponse checks the response to an online request.
func (o *oracle) checkResponse(kind, id string, response *platformtest.Response, want string) {
	ok := response.Err == nil && response.Status >= 200 && response.Status < 300
	o.mu.Lock()
	o.sent++
	if ok {
		o.served++
	}
	if kind == "unsafe" || kind == "once" {
		o.atMostOnce[id] = response.Status
	}
	o.mu.Unlock()
	switch {
	case ok && response.Body != want:
		o.addViolation("%s %s: response body of %d bytes differs from the expected body of %d bytes", kind, id, len(response.Body), len(want))
	case ok && response.Header.Get("X-Request-Id") != id:
		o.addViolation("%s %s: response belongs to request %q", kind, id, response.Header.Get("X-Request-Id"))
	case response.Err == nil && response.Status == 404:
		o.addViolation("%s %s: status 404 although every configuration has the route", kind, id)
	case response.Err != nil && len(response.Body) > 0 && (len(response.Body) > len(want) || response.Body != want[:len(response.Body)]):
		o.addViolation("%s %s: partial body is not a prefix of the expected body", kind, id)
	}
}

// recordAccepted records that a job was accepted (202).
func (o *oracle) recordAccepted(job string, items int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.jobs[job] == nil {
		o.jobs[job] = &acceptedJob{items: items}
	}
}

// recordCancelled records that a caller asks to cancel a job.
func (o *oracle) recordCancelled(job string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j := o.jobs[job]; j != nil {
		j.cancelled = true
	}
}

// checkPage checks a page of results read at any node, starting at position from.
func (o *oracle) checkPage(job string, from int, page *platformtest.Page, status int) {
	o.mu.Lock()
	j := o.jobs[job]
	o.mu.Unlock()
	if j == nil {
		return
	}
	if status == 404 {
		o.addViolation("job %s: status 404 for an accepted job", job)
		return
	}
	if status != 200 {
		return
	}
	if page.Total != j.items || page.Next != from+len(page.Results) {
		o.addViolation("job %s: page has total %d and next %d; the job has %d items and the page %d results from position %d", job, page.Total, page.Next, j.items, len(page.Results), from)
	}
	for i := range page.Results {
		o.checkResult(job, j, from+i, page.Results[i])
	}
}

// checkResult checks one result against those read before: a position never
// changes its result, and no item is listed twice.
func (o *oracle) checkResult(job string, j *acceptedJob, position int, r platformtest.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fail := func(format string, args ...any) {
		o.violations = append(o.violations, fmt.Sprintf("job %s position %d: ", job, position)+fmt.Sprintf(format, args...))
	}
	if r.Succeeded() && r.Text != platformtest.ItemText(r.ID, eventsPerStream) {
		fail("text of item %s has %d bytes and is not the complete output", r.ID, len(r.Text))
	}
	if !r.Succeeded() && !r.DeadLettered() {
		fail("unexpected state %q", r.State)
	}
	switch {
	case position < len(j.results):
		if j.results[position] != r {
			fail("result changed from item %s to item %s", j.results[position].ID, r.ID)
		}
		return
	case position > len(j.results):
		return // an earlier position has not been read yet
	}
	for _, other := range j.results {
		if other.ID == r.ID {
			fail("item %s is listed twice", r.ID)
		}
	}
	j.results = append(j.results, r)
}

// incompleteJobs returns the accepted jobs, except cancelled ones, that have items
// without a result.
func (o *oracle) incompleteJobs() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for id, j := range o.jobs {
		if !j.cancelled && len(j.results) < j.items {
			out = append(out, id)
		}
	}
	return out
}

const (
	// minServedShare is the least share of the online requests that must be served in a
	// run, and minCompleteJobs the least number of jobs that must be complete.
	minServedShare  = 0.25
	minCompleteJobs = 3
)

// checkFloor checks that a run, whatever its faults, served callers at all.
func (o *oracle) checkFloor() {
	incomplete := len(o.incompleteJobs())
	o.mu.Lock()
	defer o.mu.Unlock()
	if float64(o.served) < minServedShare*float64(o.sent) {
		o.violations = append(o.violations, fmt.Sprintf("only %d of %d online requests were served", o.served, o.sent))
	}
	if complete := len(o.jobs) - incomplete; complete < minCompleteJobs {
		o.violations = append(o.violations, fmt.Sprintf("only %d jobs are complete", complete))
	}
}

// checkExecutions checks at the end of a run how often the replicas ran each
// request that must run at most once.
func (o *oracle) checkExecutions(backends []*backend) {
	count := make(map[string]int)
	for _, b := range backends {
		for _, request := range b.ReceivedRequests() {
			if request.Ran {
				count[request.RequestID]++
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, status := range o.atMostOnce {
		if count[id] > 1 {
			o.violations = append(o.violations, fmt.Sprintf("request %s ran %d times", id, count[id]))
		}
		if notRun := (&platformtest.Response{Status: status}).GuaranteesNotRun(); notRun && count[id] > 0 {
			o.violations = append(o.violations, fmt.Sprintf("request %s ran although status %d guarantees that it did not", id, status))
		}
	}
}
