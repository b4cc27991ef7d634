package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["resume"] = playResume }

// playResume has items resumed, as bursts of streams take their places, at replicas whose
// answers end with the channel. Some of those answers are truncated.
func playResume(w *world) bool {
	const (
		traffic = 30 * time.Second
		events  = 100
		// One answer in so many is truncated at half of the replicas, for a while.
		truncateEvery             = 34
		truncateFrom, truncateFor = 8 * time.Second, 6500 * time.Millisecond
	)
	var start time.Time
	var mu sync.Mutex
	answers, cut := 0, 0
	for i := range 4 {
		w.addReplica(&replica{id: fmt.Sprintf("i-model-%d", i), service: "models", zone: []string{"luzon-a", "luzon-b", "luzon-c"}[i%3], events: events, gap: 25 * time.Millisecond, first: 40 * time.Millisecond,
			unframed: true,
			conductOf: func(_ *replica, in *http.Request) conduct {
				if !w.trouble || i >= 2 {
					return sound
				}
				mu.Lock()
				defer mu.Unlock()
				if at := time.Since(start); start.IsZero() || at < truncateFrom || at > truncateFrom+truncateFor {
					return sound
				}
				answers++
				if resumes := in.Header.Get("Last-Event-Id") != ""; resumes && strings.HasPrefix(in.URL.Path, "/batch/") && (cut+1)*truncateEvery <= answers {
					cut++
					return truncated
				}
				return sound
			}})
	}
	w.configure(3, streamsRoute+routes)
	w.addNodes(3)
	w.startNodes()
	mu.Lock()
	start = time.Now()
	mu.Unlock()
	until := start.Add(traffic)
	var wg sync.WaitGroup
	wg.Go(func() { // bursts of streams
		for k := 0; time.Now().Before(until); k++ {
			for n := range 20 {
				wg.Go(func() {
					id := w.newID("c")
					status, got, whole := w.streamCall(w.nodes[(k+n)%3], "/once/", id, fmt.Sprintf("5d07b8%02x:100,91bd3f%02x:100,%s:250", n%8, n%31, id))
					w.logf("stream %s: status %d, %d events, whole %t", id, status, got, whole)
				})
			}
			time.Sleep(1500 * time.Millisecond)
		}
	})
	var jobs []*job
	for k := 0; time.Now().Before(until); k++ {
		j := &job{id: w.newID("b")}
		for n := range 10 {
			j.items = append(j.items, w.newItem(fmt.Sprintf("fa17%04x", (k+n)%5)))
		}
		if w.submit(j, k) {
			jobs = append(jobs, j)
		}
		time.Sleep(1200 * time.Millisecond)
	}
	wg.Wait()
	deadline := time.Now().Add(18 * time.Second)
	for open := true; open && time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		open = false
		for k, j := range jobs {
			if len(j.results) < len(j.items) {
				open = true
				w.read(j, k)
			}
		}
	}
	listed, wrong := 0, 0
	for _, j := range jobs {
		for _, r := range j.results {
			listed++
			if r.State == "succeeded" && r.Text != wholeText(r.ID, events) {
				wrong++
				w.logf("item %s of job %s is listed as succeeded with %d of its %d events; its runs: %s", r.ID, j.id, strings.Count(r.Text, "\n")+1, events, w.describeRuns(r.ID))
			}
		}
	}
	w.logf("%d jobs accepted, %d items listed, %d answers at two replicas meanwhile, of which %d were truncated, %d items listed as succeeded without their whole text", len(jobs), listed, answers, cut, wrong)
	return wrong > 0
}

func (w *world) describeRuns(id string) string {
	var all []string
	for _, r := range w.runsOf(id) {
		what := "sound"
		if r.what == truncated {
			what = "truncated after its head"
		}
		all = append(all, r.replica+" ("+what+")")
	}
	return strings.Join(all, ", ")
}
