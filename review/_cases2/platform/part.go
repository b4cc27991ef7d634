package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	partNodes    = 3
	partReplicas = 18
	partEvents   = 25
	partEventGap = 30 * time.Millisecond
	// partReading is how long a replica reads a prompt before it begins to write.
	partReading = 60 * time.Millisecond
	// deadlyPart crashes each replica that begins to write an answer on it.
	deadlyPart = "dead01"
	// partRequests is the number of requests with it, one every partPause at the nodes in
	// turn. No two are alike. They are 0.029 of the requests of their route.
	partRequests = 10
	partPause    = 3400 * time.Millisecond
	// partTries is the number of tries of a client: the site's clients retry once.
	partTries = 2
	// partSoundPause is the time between two sound requests of the route, and partOncePause
	// that between two of another route, which may run once only.
	partSoundPause = 100 * time.Millisecond
	partOncePause  = 20 * time.Millisecond
	partDeadline   = 5 * time.Second
	// crashesBefore is the number of crashes after which the rule begins, and
	// maxPartRequests that of requests that it allows later than contact-ms after them.
	crashesBefore   = 5
	maxPartRequests = 3
)

// taintedService has replicas that a part of a prompt crashes.
type taintedService struct {
	w      *world
	deadly bool

	mu      sync.Mutex
	starts  int
	crashes []time.Time
	// reached are the requests with the part, by ID, with the time at which the first
	// replica got them.
	reached map[string]time.Time
}

func (c *taintedService) start(zone string) error {
	c.mu.Lock()
	c.starts++
	id := fmt.Sprintf("i-%04x", 0x7f30+c.starts)
	c.mu.Unlock()
	r, err := platformtest.NewReplica(id, partEvents)
	if err != nil {
		return err
	}
	r.Born = time.Now().UnixMilli()
	r.SetBehaviour(func(q platformtest.ReceivedRequest) platformtest.Behaviour {
		if !q.HasPart(deadlyPart) {
			return platformtest.Behaviour{EventGap: partEventGap}
		}
		c.mu.Lock()
		if _, known := c.reached[q.RequestID]; !known {
			c.reached[q.RequestID] = time.Now()
		}
		if !c.deadly {
			c.mu.Unlock()
			return platformtest.Behaviour{EventGap: partEventGap}
		}
		c.crashes = append(c.crashes, time.Now())
		n := len(c.crashes)
		c.mu.Unlock()
		c.w.note("request %s reaches replica %s, which crashes (crash %d)", q.RequestID, id, n)
		time.AfterFunc(replicaBack, func() { // a new lifetime
			_ = c.w.store.Remove("servers", id)
			_ = c.start(zone)
		})
		return platformtest.Behaviour{Crash: true, Silence: &platformtest.Silence{At: platformtest.SilentBeforeHead, Duration: partReading}}
	})
	return c.w.store.Register(r, c.w.models, zone, "ready")
}

// crashingPart checks BUDGET: a part of prompts crashes replicas.
func crashingPart(w *world, trouble bool) (bool, error) {
	models := &taintedService{w: w, deadly: trouble, reached: make(map[string]time.Time)}
	for i := range partReplicas {
		if err := models.start(w.zones[i%len(w.zones)]); err != nil {
			return false, err
		}
	}
	if _, err := w.addReplicas(w.plain, 3, 0, 0); err != nil {
		return false, err
	}
	if err := w.configure(3, route{"name": "route-check", "host": w.host, "path-prefix": "/check/", "kind": "streaming", "service": w.models, "timeout-ms": 5000,
		"target-latency-ms": 300, "gap-aim-ms": 250, "max-attempts": 2, "can-resume": true, "sticky": true, "priority": 0},
		route{"name": "ward-query", "host": w.host, "path-prefix": "/ward/", "kind": "streaming", "service": w.models, "timeout-ms": 5000,
			"target-latency-ms": 300, "gap-aim-ms": 250, "max-attempts": 1, "can-resume": false, "sticky": true, "priority": 0}); err != nil {
		return false, err
	}
	if err := w.startNodes(partNodes); err != nil {
		return false, err
	}
	time.Sleep(w.contact)

	stop := make(chan struct{})
	var sound sync.WaitGroup
	var mu sync.Mutex
	served, lost := make(map[string]int), make(map[string]int)
	for path, pause := range map[string]time.Duration{"/check/": partSoundPause, "/ward/": partOncePause} {
		sound.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				sound.Go(func() {
					id := fmt.Sprintf("%08x%08x", len(path), 0x50000+i)
					got := w.stream(w.nodes[i%len(w.nodes)], path+"1", id, fmt.Sprintf("5a0001:100,5a%04x:100,%s:250", 2+i%8, id), id)
					mu.Lock()
					defer mu.Unlock()
					if got.err == nil && got.status == 200 {
						served[path]++
						return
					}
					lost[path]++
					w.note("sound request %s of %s is lost: %s", id, path, got)
				})
			}
		})
	}
	for i := range partRequests {
		begin := time.Now()
		for try := range partTries {
			id := fmt.Sprintf("%016x", 0xdead0000+i*16+try)
			nd := w.nodes[(i+try)%len(w.nodes)]
			got := w.stream(nd, "/check/2", id, fmt.Sprintf("5a0001:100,%s:100,b0%04x:250", deadlyPart, i), fmt.Sprintf("request %d", i))
			w.note("request %d with the part, try %d, %s at %s: %s", i+1, try+1, id, nd.name, got)
			if got.err == nil && got.status < 300 {
				break
			}
		}
		time.Sleep(time.Until(begin.Add(partPause)))
	}
	close(stop)
	sound.Wait()

	models.mu.Lock()
	defer models.mu.Unlock()
	late := 0
	if len(models.crashes) >= crashesBefore {
		for _, at := range models.reached {
			if at.Sub(models.crashes[crashesBefore-1]) > w.contact {
				late++
			}
		}
	}
	w.note("sound requests served: %v, lost: %v", served, lost)
	w.note("requests with the part crashed %d replicas; %d requests with it reached replicas later than contact-ms after the fifth crash; allowed are %d",
		len(models.crashes), late, maxPartRequests)
	return late <= maxPartRequests, nil
}

// stream asks for a stream on a channel of its own and reads all of it.
func (w *world) stream(nd *node, path, id, prompt, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), partDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+nd.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	req.Host = w.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(partDeadline.Milliseconds()))
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Count", "450,175")
	req.Header.Set("X-Prompt-Prefix", prompt)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}
