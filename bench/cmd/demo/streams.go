package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/harness"
)

// longStreamTokens is the length of a stream that lasts several seconds.
const longStreamTokens = 200

// longStreams are streams that run while their node is stopped.
type longStreams struct {
	demo *demo
	wait sync.WaitGroup

	mu       sync.Mutex
	complete int
	problem  string
}

// start opens count streams through one node.
func (s *longStreams) start(n *harness.Node, count int) {
	for i := range count {
		body := map[string]any{"model": modelName, "max_tokens": longStreamTokens,
			"prompt": fmt.Sprintf("A long ballad for the ferry men, part %d.", i)}
		s.wait.Go(func() { s.runStream(n, body) })
	}
}

func (s *longStreams) runStream(n *harness.Node, body map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r := s.demo.client.Do(ctx, client.Call{Base: n.URL(), Path: "/v1/completions", Org: "counter", Body: body, Stream: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.OK() && r.Text == client.Expected(body) {
		s.complete++
	} else {
		s.problem = "; problem: " + r.String()
	}
}

// finish waits for all streams and returns how many were complete, with the last
// problem.
func (s *longStreams) finish() (complete int, problem string) {
	s.wait.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete, s.problem
}
