package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["stream"] = playStream }

// playStream has one replica crash under streams that may be resumed, while some answers of
// the others, which end with their channels, are truncated.
func playStream(w *world) bool {
	const (
		traffic       = 16 * time.Second
		events        = 25
		truncateEvery = 34 // one answer in so many is truncated at half of the replicas, for a while
		truncateFrom  = 4 * time.Second
		truncateFor   = 6500 * time.Millisecond
		crashAt       = 8 * time.Second
	)
	var start time.Time
	var mu sync.Mutex
	answers, cut := 0, 0
	for i := range 6 {
		w.addReplica(&replica{id: fmt.Sprintf("i-model-%d", i), service: "models", zone: []string{"luzon-a", "luzon-b", "luzon-c"}[i%3], events: events, gap: 25 * time.Millisecond, first: 40 * time.Millisecond,
			unframed: true, downFor: 4 * time.Second,
			conductOf: func(_ *replica, in *http.Request) conduct {
				if !w.trouble || i%2 == 0 {
					return sound
				}
				mu.Lock()
				defer mu.Unlock()
				if at := time.Since(start); start.IsZero() || at < truncateFrom || at > truncateFrom+truncateFor {
					return sound
				}
				answers++
				if in.Header.Get("Last-Event-Id") != "" && (cut+1)*truncateEvery <= answers {
					cut++
					return truncated
				}
				return sound
			}})
	}
	w.configure(3, `{"name":"again","host":"verse.example","path-prefix":"/again/","kind":"streaming","timeout-ms":5000,"target-latency-ms":300,"priority":0,"service":"models","max-attempts":2,"can-resume":true,"sticky":true,"gap-aim-ms":250},`+routes)
	w.addNodes(3)
	w.startNodes()
	mu.Lock()
	start = time.Now()
	mu.Unlock()
	until := start.Add(traffic)
	if w.trouble {
		time.AfterFunc(crashAt, func() { w.replicas[0].crash("one of six replicas is down for 4 s") })
	}
	var wg sync.WaitGroup
	var wrong []string
	whole, broken := 0, 0
	for k := 0; time.Now().Before(until); k++ {
		wg.Go(func() {
			id := w.newID("c")
			status, got, complete := w.streamCall(w.nodes[k%3], "/again/", id, fmt.Sprintf("91bd3f%02x:100,%s:250", k%31, id))
			w.logf("stream %s: status %d, %d events, ended as complete %t", id, status, got, complete)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !complete:
				broken++
			case got == events:
				whole++
			default:
				wrong = append(wrong, fmt.Sprintf("stream %s ended as complete after %d of %d events; its runs: %s", id, got, events, w.describeRuns(id)))
			}
		})
		time.Sleep(35 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.logf("%d streams whole, %d refused or broken off; %d answers at three replicas meanwhile, of which %d were truncated; %d streams ended as complete before their last event",
		whole, broken, answers, cut, len(wrong))
	w.logf("%s", strings.Join(wrong, "\n          "))
	return len(wrong) > 0
}
