package roles

import (
	"time"

	"gentiantide.example/gentiantide/bench/capacity/cluster"
	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
)

// idleWindow is the time over which an idle region is measured. It is a multiple of
// the digest interval, so that each window has the same number of digests.
const idleWindow = 4 * time.Second

// idleCost is the cost of an idle node.
type idleCost struct {
	sent float64 // bytes of frames sent per second
	cpu  float64 // share of a core
	heap float64 // bytes
}

// measureIdle measures a region without requests: heartbeats, digests, polls without
// HTTP, and the periodic work of the owner and the dispatcher.
func measureIdle(o cluster.Options) (idleCost, error) {
	before := meter.HeapBytes()
	c, err := cluster.Start(o)
	if err != nil {
		return idleCost{}, err
	}
	defer c.Close()
	time.Sleep(2 * time.Second)
	n := float64(len(c.Nodes))
	heap := meter.HeapBytes() - before
	sent, cpu, began := c.Traffic(), meter.CPUTime(), time.Now()
	time.Sleep(idleWindow)
	seconds := time.Since(began).Seconds()
	return idleCost{
		sent: (c.Traffic() - sent) / seconds / n,
		cpu:  (meter.CPUTime() - cpu).Seconds() / seconds / n,
		heap: heap / n,
	}, nil
}

// Membership measures heartbeats and digests by number of nodes and of replicas, and
// all periodic work of an idle region at full size.
func Membership(env *Environment) error {
	if err := env.sweep("nodes", []int{5, 15, 33}, func(x int) cluster.Options {
		return cluster.Options{DataCentres: 1, Nodes: x, Slots: 16}
	}); err != nil {
		return err
	}
	if err := env.sweep("replicas", []int{0, 75, 150}, func(x int) cluster.Options {
		return cluster.Options{DataCentres: 1, Nodes: 10, Replicas: x, Slots: 16}
	}); err != nil {
		return err
	}
	for _, dataCentres := range []int{1, 4} {
		full, err := measureIdle(cluster.Options{DataCentres: dataCentres, Nodes: 33, Replicas: 150, Slots: 16})
		if err != nil {
			return err
		}
		at := map[int]string{1: "1 data centre of 33 nodes and 150 replicas", 4: "4 data centres of 33 nodes and 150 replicas"}[dataCentres]
		env.Print.Figure("rest.sent", full.sent, "B/s/node", at)
		env.Print.Figure("rest.cpu", full.cpu*100, "%core/node", at)
		env.Print.Figure("rest.heap", full.heap, "B/node", at)
	}
	return nil
}

// sweep measures idle regions of several sizes, which differ in one dimension.
func (env *Environment) sweep(dimension string, sizes []int, options func(int) cluster.Options) error {
	sent := &slope.Slope{Name: "membership.sent_per_" + dimension, Unit: "B/s/node"}
	cpu := &slope.Slope{Name: "membership.cpu_per_" + dimension, Unit: "%core/node"}
	heap := &slope.Slope{Name: "membership.heap_per_" + dimension, Unit: "B/node"}
	for _, x := range sizes {
		r, err := measureIdle(options(x))
		if err != nil {
			return err
		}
		sent.Add(float64(x), r.sent)
		cpu.Add(float64(x), r.cpu*100)
		heap.Add(float64(x), r.heap)
	}
	for _, s := range []*slope.Slope{sent, cpu, heap} {
		env.Print.Slope(s)
	}
	return env.measureDigest(dimension)
}
