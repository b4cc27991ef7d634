package soak

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// revokeTime is the time after which a key that was taken away runs nothing, at nodes
	// that could learn it, as the operator's settings promise.
	revokeTime = 5 * time.Second
	// usageWindow is the time over which the requests of a limited organisation are
	// counted, and allowedUsage how many may run in it: a tenth and 20 more than its limit.
	usageWindow  = 5 * time.Second
	allowedUsage = (limitedRate*5+limitedBurst)*1.1 + 20
)

// askedRequest is a request or item of a caller.
type askedRequest struct {
	// org is the organisation of the key, or empty.
	org string
	// barred requests must not run; why says the reason.
	barred bool
	why    string
}

// keyChecks checks which requests replicas ran, and what they were told of the callers. It
// is safe for concurrent use. Calls of a nil one do nothing.
type keyChecks struct {
	oracle *oracle

	mu    sync.Mutex
	asked map[string]askedRequest
	// counts are what the run had of each kind.
	counts map[string]int
}

func newKeyChecks(o *oracle) *keyChecks {
	return &keyChecks{oracle: o, asked: make(map[string]askedRequest), counts: make(map[string]int)}
}

// ask records a request before it is sent.
func (k *keyChecks) ask(id string, request askedRequest) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked[id] = request
}

// checkResponse checks the status of a response. contact is set if the node was in contact
// with the store all the time.
func (k *keyChecks) checkResponse(id string, response *platformtest.Response, contact bool) {
	if k == nil || response.Status == 0 {
		return
	}
	k.mu.Lock()
	request := k.asked[id]
	switch response.Status {
	case http.StatusUnauthorized:
		if request.barred {
			k.counts["barred requests that got 401"]++
		}
	case http.StatusTooManyRequests:
		if request.org == limitedOrg {
			k.counts["requests over the limit that got 429"]++
		}
	}
	k.mu.Unlock()
	switch got := response.Status; {
	case request.barred && got != http.StatusUnauthorized && got != http.StatusServiceUnavailable:
		k.oracle.addViolation("request %s (%s) got status %d", id, request.why, got)
	case request.barred && contact && got != http.StatusUnauthorized:
		k.oracle.addViolation("request %s (%s) got status %d of a node that has the configuration", id, request.why, got)
	case request.org != "" && !request.barred && contact && got == http.StatusUnauthorized:
		k.oracle.addViolation("request %s got status 401 although its key is one of %s", id, request.org)
	}
}

// checkReplicas checks at the end of a run what the replicas received, and returns the
// counts of the run.
func (k *keyChecks) checkReplicas(backends []*backend) map[string]int {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	limited := make(map[string]time.Time)
	for _, b := range backends {
		for _, r := range b.ReceivedRequests() {
			if r.CarriesKey() {
				k.oracle.addViolation("%s received a key with request %q", b.ID, r.RequestID)
			}
			request, known := k.asked[r.RequestID]
			switch {
			case !known && r.Organisation() != "":
				k.oracle.addViolation("%s received %q of organisation %q, which no caller sent", b.ID, r.RequestID, r.Organisation())
			case known && request.org != "" && r.Organisation() != request.org:
				k.oracle.addViolation("%s received %s of %s as one of %q", b.ID, r.RequestID, request.org, r.Organisation())
			}
			if known && r.Ran && request.barred {
				k.oracle.addViolation("%s ran %s (%s)", b.ID, r.RequestID, request.why)
			}
			if at, again := limited[r.RequestID]; r.Ran && request.org == limitedOrg && (!again || r.At.Before(at)) {
				limited[r.RequestID] = r.At
			}
		}
	}
	var times []time.Time
	for _, at := range limited {
		times = append(times, at)
	}
	n := mostInWindow(times, usageWindow)
	k.counts["most requests with a limit in 5 s"] = n
	if float64(n) > allowedUsage {
		k.oracle.addViolation("%d requests of %s ran within %s, %.0f are allowed", n, limitedOrg, usageWindow, allowedUsage)
	}
	return k.counts
}

// mostInWindow returns the largest number of times within any window of a length.
func mostInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
