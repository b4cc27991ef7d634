package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["starve"] = playStarve }

const (
	// deadlyPart crashes each replica that begins to write an answer on it.
	deadlyPart = "dead0001"
	// templatePart is shared by all items of the route, sound ones and the deadly one.
	templatePart = "9c2e41aa"
	streamsRoute = `{"name":"once","host":"verse.example","path-prefix":"/once/","kind":"streaming","timeout-ms":5000,"target-latency-ms":300,"priority":0,"service":"models","max-attempts":1,"can-resume":false,"sticky":true,"gap-aim-ms":250},`
)

// newItem returns an item whose prompt has a first part, the template and its own part.
func (w *world) newItem(first string) item {
	id := w.newID("e")
	return item{ID: id, Path: "/batch/" + id, Headers: map[string]string{
		"X-Model": "m", "X-Token-Count": "450,700", "X-Prompt-Prefix": first + ":100," + templatePart + ":100," + id + ":250",
	}, Body: []byte(`{"line":"` + id + `"}`), Tokens: 1150}
}

// playStarve hands in one item with a part that crashes replicas, and sound jobs that
// share the other part of its prompt before and after it.
func playStarve(w *world) bool {
	const (
		traffic  = 30 * time.Second
		finish   = 18 * time.Second
		deadlyAt = 6 * time.Second
	)
	var deadlyItem string
	for i := range 9 {
		w.addReplica(&replica{id: fmt.Sprintf("i-model-%d", i), service: "models", zone: []string{"luzon-a", "luzon-b", "luzon-c"}[i%3], events: 40, gap: 25 * time.Millisecond, first: 60 * time.Millisecond, downFor: 3 * time.Second,
			conductOf: func(r *replica, in *http.Request) conduct {
				if strings.Contains(in.Header.Get("X-Prompt-Prefix"), deadlyPart+":") {
					return crashes
				}
				return sound
			}})
	}
	w.configure(3, streamsRoute+routes)
	w.addNodes(3)
	w.startNodes()
	start := time.Now()
	until := start.Add(traffic)
	var wg sync.WaitGroup
	// Callers of streams, whose prompts share nothing with the items.
	wg.Go(func() {
		for k := 0; time.Now().Before(until); k++ {
			wg.Go(func() {
				id := w.newID("c")
				status, events, whole := w.streamCall(w.nodes[k%3], "/once/", id, fmt.Sprintf("5d07b8%02x:100,91bd3f%02x:100,%s:250", k%8, k%31, id))
				w.logf("stream %s: status %d, %d events, whole %t", id, status, events, whole)
			})
			time.Sleep(80 * time.Millisecond)
		}
	})
	var jobs []*job
	send := func(k int, items ...item) {
		j := &job{id: w.newID("b"), items: items}
		if !w.submit(j, k) {
			return
		}
		jobs = append(jobs, j)
	}
	handedIn := false
	for k := 0; time.Now().Before(until); k++ {
		var items []item
		for n := range 8 {
			items = append(items, w.newItem(fmt.Sprintf("fa17%04x", (k+n)%5)))
		}
		send(k, items...)
		next := start.Add(time.Duration(k+1) * 4 * time.Second)
		if !handedIn && next.After(start.Add(deadlyAt)) {
			handedIn = true
			time.Sleep(time.Until(start.Add(deadlyAt)))
			first := "fa170007"
			if w.trouble {
				first = deadlyPart
			}
			it := w.newItem(first)
			deadlyItem = it.ID
			w.logf("item %s has the first part %s", it.ID, first)
			send(k+1, it)
		}
		time.Sleep(time.Until(next))
	}
	wg.Wait()
	w.logf("traffic has ended; the jobs have %v more", finish)
	deadline := time.Now().Add(finish)
	for time.Now().Before(deadline) {
		for k, j := range jobs {
			if len(j.results) < len(j.items) {
				w.read(j, k)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return w.judgeStarve(jobs, deadlyItem)
}

// judgeStarve applies the rule LOST about items that are left lying. The item that
// crashes replicas is not missed.
func (w *world) judgeStarve(jobs []*job, deadlyItem string) bool {
	const recent = 20 * time.Second
	end := time.Now()
	calm := true
	for _, r := range w.replicas {
		r.mu.Lock()
		w.logf("replica %s at the end: %d of %d places taken", r.id, r.running, r.slots)
		calm = calm && !r.down && 2*r.running < r.slots
		r.mu.Unlock()
	}
	lying, sound := 0, 0
	for _, j := range jobs {
		listed := make(map[string]result)
		for _, r := range j.results {
			listed[r.ID] = r
		}
		for _, it := range j.items {
			r, ok := listed[it.ID]
			last, ran := w.lastRun(it.ID)
			switch {
			case it.ID == deadlyItem && w.trouble:
				w.logf("item %s, which crashes replicas: listed %t, %d runs; it is not missed", it.ID, ok, len(w.runsOf(it.ID)))
				continue
			case ok && (r.State != "succeeded" || r.Text != wholeText(it.ID, 40)):
				w.logf("item %s is listed as %s, or with another text than its own", it.ID, r.State)
			case !ok && ran:
				w.logf("item %s of job %s, accepted %.1f s ago, is not listed; its last run began %.1f s ago", it.ID, j.id, end.Sub(j.accepted).Seconds(), end.Sub(last).Seconds())
			case !ok:
				w.logf("item %s of job %s, accepted %.1f s ago, is not listed, and never reached a replica", it.ID, j.id, end.Sub(j.accepted).Seconds())
			}
			sound++
			if !ok && (!ran || end.Sub(last) > recent) {
				lying++
			}
			calm = calm && (!ran || end.Sub(last) > recent) // no item ran of late, so that none was finished
		}
	}
	w.logf("%d sound items accepted, %d of them left lying; calm at the end: %t", sound, lying, calm)
	return lying > 0 && calm
}

// lastRun returns when the last run of a request began.
func (w *world) lastRun(id string) (at time.Time, ran bool) {
	runs := w.runsOf(id)
	if len(runs) == 0 {
		return time.Time{}, false
	}
	return runs[len(runs)-1].at, true
}
