package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

const host = "verse.example"

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// job is a batch job of a client.
type job struct {
	id       string
	items    []item
	accepted time.Time
	results  []result
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// oneCall makes a call on a channel of its own.
func oneCall(method, address, path, id string, body []byte, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	must(err)
	req.Host, req.Close = host, true
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	all, err := io.ReadAll(resp.Body)
	return resp.StatusCode, all, err
}

// submit hands in a job, at another node after each failure.
func (w *world) submit(j *job, first int) bool {
	body, err := json.Marshal(map[string]any{"requests": j.items})
	must(err)
	for try := range 4 {
		n := w.nodes[(first+try)%len(w.nodes)]
		status, _, err := oneCall(http.MethodPost, n.front, "/batch/"+j.id, j.id, body, 4*time.Second)
		w.logf("job %s with %d items sent to %s: status %d, error %v", j.id, len(j.items), n.name, status, err)
		if status == http.StatusAccepted {
			j.accepted = time.Now()
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// read reads what a job lists beyond what is known, and reports whether a node answered.
func (w *world) read(j *job, first int) bool {
	for try := range len(w.nodes) {
		n := w.nodes[(first+try)%len(w.nodes)]
		status, body, err := oneCall(http.MethodGet, n.front, fmt.Sprintf("/gentiantide/lots/%s?after=%d", j.id, len(j.results)), "", nil, 2500*time.Millisecond)
		if err != nil || status != http.StatusOK {
			w.logf("results of job %s at %s: status %d, error %v", j.id, n.name, status, err)
			continue
		}
		var p page
		if err := json.Unmarshal(body, &p); err != nil {
			w.logf("results of job %s at %s: %v", j.id, n.name, err)
			continue
		}
		for _, r := range p.Results {
			w.logf("job %s lists item %s as %s at position %d", j.id, r.ID, r.State, len(j.results))
			j.results = append(j.results, r)
		}
		return true
	}
	return false
}

// keptClient sends one request after the other on a kept channel.
type keptClient struct {
	w    *world
	node *node
	path string
	// pause is the longest time between an answer and the next request.
	pause time.Duration
	out   *outcomes
}

// outcomes are the requests that ended without an answer.
type outcomes struct {
	mu       sync.Mutex
	sent, ok int
	cut      []cutRequest
	other    map[string]int
}

// cutRequest is a request on a kept channel that was closed without any byte of an answer.
type cutRequest struct {
	id   string
	node *node
	at   time.Time
}

func (c *keptClient) run(until time.Time) {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	for time.Now().Before(until) {
		id := c.w.newID("c")
		kept := false
		ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused },
		}), 4*time.Second)
		// A POST, so that the client's library does not send it again by itself.
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.node.front+c.path+id, bytes.NewReader([]byte("{}")))
		must(err)
		req.GetBody = nil
		req.Host = host
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", "4000")
		resp, err := transport.RoundTrip(req)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		c.out.mu.Lock()
		c.out.sent++
		switch {
		case err == nil && resp.StatusCode == 200 && string(body) == plainText(id):
			c.out.ok++
		case err != nil && resp == nil && kept && ctx.Err() == nil:
			c.out.cut = append(c.out.cut, cutRequest{id, c.node, time.Now()})
		case err != nil:
			c.out.other["error: "+fmt.Sprint(kept)+" "+errorKind(err)]++
		default:
			c.out.other[fmt.Sprint("status ", resp.StatusCode)]++
		}
		c.out.mu.Unlock()
		if err != nil {
			c.w.logf("request %s at %s, kept channel %t: %v", id, c.node.name, kept, err)
		} else {
			c.w.logf("request %s at %s, kept channel %t: status %d", id, c.node.name, kept, resp.StatusCode)
		}
		cancel()
		if err != nil {
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(rand.N(c.pause))
	}
}

func errorKind(err error) string {
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return "timeout"
	}
	return "closed"
}

// streamCall sends a stream request on a channel of its own.
func (w *world) streamCall(n *node, path, id, prompt string) (status, events int, whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+path+id, strings.NewReader("body of "+id))
	must(err)
	req.Host, req.Close, req.GetBody = host, true, nil
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "5000")
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Count", "350,175")
	req.Header.Set("X-Prompt-Prefix", prompt)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		w.logf("request %s at %s: %v", id, n.name, err)
		return 0, 0, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Count(string(body), "\n\n"), err == nil && resp.StatusCode == http.StatusOK
}
