package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["wave"] = playWave }

// playWave hands in one batch job whose items all have a part that crashes replicas, among
// sound jobs.
func playWave(w *world) bool {
	const (
		traffic  = 48 * time.Second
		deadlyAt = 10 * time.Second
		contact  = 3 * time.Second
	)
	for i := range 9 {
		w.addReplica(&replica{id: fmt.Sprintf("i-model-%d", i), service: "models", zone: []string{"luzon-a", "luzon-b", "luzon-c"}[i%3], events: 40, gap: 25 * time.Millisecond, first: 60 * time.Millisecond,
			downFor: 3500 * time.Millisecond,
			conductOf: func(_ *replica, in *http.Request) conduct {
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
	var mu sync.Mutex
	var unserved []time.Time // sound streams that were refused or cut
	wg.Go(func() {
		for k := 0; time.Now().Before(until); k++ {
			wg.Go(func() {
				id := w.newID("c")
				status, events, whole := w.streamCall(w.nodes[k%3], "/once/", id, fmt.Sprintf("5d07b8%02x:100,91bd3f%02x:100,%s:250", k%8, k%31, id))
				w.logf("stream %s: status %d, %d events, whole %t", id, status, events, whole)
				mu.Lock()
				defer mu.Unlock()
				if !whole {
					unserved = append(unserved, time.Now())
				}
			})
			time.Sleep(80 * time.Millisecond)
		}
	})
	newJob := func(part func(n int) string) *job {
		j := &job{id: w.newID("b")}
		for n := range 10 {
			id := w.newID("e")
			j.items = append(j.items, item{ID: id, Path: "/batch/" + id, Headers: map[string]string{
				"X-Model": "m", "X-Token-Count": "350,700", "X-Prompt-Prefix": part(n) + ":100," + id + ":250",
			}, Body: []byte(`{"line":"` + id + `"}`), Tokens: 1050})
		}
		return j
	}
	sent := 0
	var deadly *job
	for k := 0; time.Now().Before(until); k++ {
		if deadly == nil && time.Since(start) >= deadlyAt {
			part := "fa170007"
			if w.trouble {
				part = deadlyPart
			}
			deadly = newJob(func(int) string { return part })
			w.logf("the items of job %s have the first part %s", deadly.id, part)
			w.submit(deadly, k)
		}
		w.submit(newJob(func(n int) string { return fmt.Sprintf("fa17%04x", (k+n)%5) }), k)
		sent += 10
		time.Sleep(time.Until(start.Add(time.Duration(k+1) * 1400 * time.Millisecond)))
	}
	wg.Wait()
	return w.judgeWave(deadly, sent, contact, unserved)
}

// judgeWave applies the rule BUDGET about requests with a part that crashes replicas: no
// more than three may reach replicas later than contact-ms after the fifth crash.
func (w *world) judgeWave(deadly *job, soundItems int, contact time.Duration, unserved []time.Time) bool {
	w.mu.Lock()
	crashed := append([]time.Time(nil), w.crashed...)
	w.mu.Unlock()
	w.logf("%d sound items and %d items of the job in question were handed in; replicas crashed %d times", soundItems, len(deadly.items), len(crashed))
	if len(crashed) < 5 {
		return false
	}
	late := 0
	for _, it := range deadly.items {
		for _, r := range w.runsOf(it.ID) {
			if after := r.at.Sub(crashed[4]); after > contact {
				late++
				w.logf("item %s reached replica %s %.3f s after the fifth crash", it.ID, r.replica, after.Seconds())
			}
		}
	}
	cut := 0
	for _, at := range unserved {
		if at.Sub(crashed[4]) > contact {
			cut++
		}
	}
	w.logf("%d sound streams were refused or cut later than %v after the fifth crash", cut, contact)
	w.logf("%d requests with the part reached replicas later than %v after the fifth crash; three may", late, contact)
	return late > 3
}
