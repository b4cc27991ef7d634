package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

const routes = `
{"name":"safe","host":"verse.example","path-prefix":"/safe/","kind":"safe","timeout-ms":3000,"target-latency-ms":300,"priority":0,"service":"desk","max-attempts":2},
{"name":"lots","host":"verse.example","path-prefix":"/batch/","kind":"batch","timeout-ms":15000,"target-latency-ms":400,"priority":2,"service":"models","max-attempts":3,"can-resume":true,"sticky":true,"due-ms":18000,"max-queue-s":60,"max-queued-tokens":2100000}`

func (w *world) configure(version int, routes string) {
	must(w.store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"models","health-path":"/health","max-conns":230,"protocol":"h1","tls":false,"engine":{"slots":8,"kv-capacity":147261,"models":[{"name":"m"}]}},{"name":"desk","health-path":"/health","max-conns":100,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, version, routes)))
}

// playMemory has three items answered, eight seconds apart, with bytes that are no answer
// and do not end until the caller closes.
func playMemory(w *world) bool {
	const traffic = 36 * time.Second
	var spells sync.Map // eight seconds that have had their answer without end
	for i := range 4 {
		w.addReplica(&replica{id: fmt.Sprintf("i-model-%d", i), service: "models", zone: []string{"luzon-a", "luzon-b", "luzon-c"}[i%3], events: 60, gap: 20 * time.Millisecond, first: 40 * time.Millisecond,
			conductOf: func(*replica, *http.Request) conduct {
				spell := int(time.Since(w.began).Seconds()) / 8
				if !w.trouble || spell < 1 || spell > 3 {
					return sound
				}
				if _, had := spells.LoadOrStore(spell, true); had {
					return sound
				}
				return endless
			}})
	}
	for i := range 6 {
		w.addReplica(&replica{id: fmt.Sprintf("i-desk-%d", i), service: "desk", zone: []string{"luzon-a", "luzon-b", "luzon-c"}[i%3], gap: 60 * time.Millisecond})
	}
	w.configure(3, routes)
	w.addNodes(3)
	w.startNodes()
	until := time.Now().Add(traffic)
	out := &outcomes{other: make(map[string]int)}
	var clients sync.WaitGroup
	for i, n := range w.nodes {
		for range 16 {
			clients.Go(func() {
				(&keptClient{w: w, node: n, path: "/safe/", pause: 120 * time.Millisecond, out: out}).run(until)
			})
		}
		clients.Go(func() {
			for time.Now().Before(until) {
				w.submit(w.newJob(10), i)
				time.Sleep(3 * time.Second)
			}
		})
	}
	clients.Wait()
	return w.judgeMemory(out)
}

func (w *world) newJob(items int) *job {
	j := &job{id: w.newID("b")}
	for range items {
		id := w.newID("e")
		j.items = append(j.items, item{ID: id, Path: "/batch/" + id, Headers: map[string]string{"X-Model": "m", "X-Token-Count": "350,1204", "X-Prompt-Prefix": "9c2e41:100," + id + ":250"}, Body: []byte("{}"), Tokens: 1554})
	}
	return j
}

// judgeMemory applies the rule LOST about kept channels: a machine passes a request from a
// kept channel on to a sound replica and closes that channel without an answer, more than
// three times.
func (w *world) judgeMemory(out *outcomes) bool {
	out.mu.Lock()
	defer out.mu.Unlock()
	w.logf("kept channels: %d requests sent, %d answered in full, %d on kept channels closed without an answer, others %v", out.sent, out.ok, len(out.cut), out.other)
	lost := make(map[*node]int)
	for _, c := range out.cut {
		for _, r := range w.runsOf(c.id) {
			if r.what == sound {
				lost[c.node]++
				w.logf("request %s came on a kept channel of %s, was run by the sound replica %s, and the channel was closed without an answer", c.id, c.node.name, r.replica)
				break
			}
		}
	}
	broken := false
	for _, n := range w.nodes {
		w.logf("%s: %d starts, killed %d times for its memory, peak %d MB; %d requests that a sound replica ran lost their channel", n.name, n.starts, len(n.memoryKills), n.peakMB, lost[n])
		broken = broken || lost[n] > 3
	}
	return broken
}
