package roles

import (
	"time"

	"gentiantide.example/gentiantide/bench/capacity/cluster"
	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
)

// window is a multiple of the digest interval, so that each window has the
// same number of digests.
const window = 4 * time.Second

// control is the cost of a node at rest.
type control struct {
	sent float64 // bytes of frames sent each second
	cpu  float64 // share of a core
	heap float64 // bytes
}

// rest measures a region without requests: heartbeats, digests, polls without
// HTTP, and the ticks of owner and dispatcher.
func rest(o cluster.Options) (control, error) {
	before := meter.Heap()
	c, err := cluster.Start(o)
	if err != nil {
		return control{}, err
	}
	defer c.Close()
	time.Sleep(2 * time.Second)
	n := float64(len(c.Nodes))
	heap := meter.Heap() - before
	sent, cpu, began := c.Traffic(), meter.CPU(), time.Now()
	time.Sleep(window)
	seconds := time.Since(began).Seconds()
	return control{
		sent: (c.Traffic() - sent) / seconds / n,
		cpu:  (meter.CPU() - cpu).Seconds() / seconds / n,
		heap: heap / n,
	}, nil
}

// Membership measures heartbeats and digests against nodes and replicas, and
// the whole of a region at full size.
func Membership(c *Context) error {
	if err := c.sweep("nodes", []int{5, 15, 33}, func(x int) cluster.Options {
		return cluster.Options{Centres: 1, Nodes: x, Slots: 16}
	}); err != nil {
		return err
	}
	if err := c.sweep("replicas", []int{0, 75, 150}, func(x int) cluster.Options {
		return cluster.Options{Centres: 1, Nodes: 10, Replicas: x, Slots: 16}
	}); err != nil {
		return err
	}
	for _, centres := range []int{1, 4} {
		full, err := rest(cluster.Options{Centres: centres, Nodes: 33, Replicas: 150, Slots: 16})
		if err != nil {
			return err
		}
		at := map[int]string{1: "1 data centre of 33 nodes and 150 replicas", 4: "4 data centres of 33 nodes and 150 replicas"}[centres]
		c.Print.Figure("rest.sent", full.sent, "B/s/node", at)
		c.Print.Figure("rest.cpu", full.cpu*100, "%core/node", at)
		c.Print.Figure("rest.heap", full.heap, "B/node", at)
	}
	return nil
}

func (c *Context) sweep(against string, sizes []int, options func(int) cluster.Options) error {
	sent := &slope.Slope{Name: "membership.sent_per_" + against, Unit: "B/s/node"}
	cpu := &slope.Slope{Name: "membership.cpu_per_" + against, Unit: "%core/node"}
	heap := &slope.Slope{Name: "membership.heap_per_" + against, Unit: "B/node"}
	for _, x := range sizes {
		r, err := rest(options(x))
		if err != nil {
			return err
		}
		sent.Add(float64(x), r.sent)
		cpu.Add(float64(x), r.cpu*100)
		heap.Add(float64(x), r.heap)
	}
	for _, s := range []*slope.Slope{sent, cpu, heap} {
		c.Print.Slope(s)
	}
	return c.digest(against)
}
