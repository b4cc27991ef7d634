package orders

import "time"

// queue says when this node next tries to get a permit. The node tries for one
// replica at a time.
type queue struct {
	busy bool
	next time.Time
	wait time.Duration
}

// begin sets the first attempt of a node that began to wait.
func (q *queue) begin(now time.Time, c Config, random float64) {
	if q.next.IsZero() {
		q.wait = c.WaitMin
		q.next = now.Add(time.Duration(random * float64(q.wait)))
	}
}

// failed sets the next attempt. The pause doubles up to the one at which the
// attempts of all nodes add up to the bound, and varies by half.
func (q *queue) failed(now time.Time, c Config, nodes int, random float64) {
	longest := max(c.WaitMin, time.Duration(nodes)*time.Second/time.Duration(c.ReadsPerSecond))
	q.wait = min(2*q.wait, longest)
	q.next = now.Add(time.Duration((0.5 + random) * float64(q.wait)))
}
