package streamversion

import (
	"context"
	"sync"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
)

// currentReader reads the row of one service. Callers that ask while a read is in
// progress share the next one: after all nodes were killed, many callers return at once.
type currentReader struct {
	s       *Service
	service core.DeploymentID

	mu      sync.Mutex
	reading bool
	waiting []chan error
}

// read returns after a read that began after the call. The service's copy is then at
// least as new as the call.
func (c *currentReader) read(ctx context.Context) error {
	done := make(chan error, 1)
	c.mu.Lock()
	c.waiting = append(c.waiting, done)
	if !c.reading {
		c.reading = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// run reads until nobody waits.
func (c *currentReader) run() {
	for {
		c.mu.Lock()
		waiting := c.waiting
		c.waiting = nil
		c.reading = len(waiting) > 0
		c.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		err := c.readOnce()
		for _, done := range waiting {
			done <- err
		}
	}
}

func (c *currentReader) readOnce() (err error) {
	defer contain.Error(c.s.log, "versions of service", string(c.service), &err)
	return c.s.readVersions(c.s.ctx, c.service)
}
