package cluster

import (
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/membership"
)

// startTimeout bounds the wait until all nodes see each other as live.
const startTimeout = 20 * time.Second

// Cluster is the nodes of one region, which run in this process.
type Cluster struct {
	Nodes []*Node
}

// Start starts a region and waits until all nodes see each other as live.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{}
	snapshot := Settings()
	var members []membership.Member
	for dc := range o.DataCentres {
		for i := range o.Nodes {
			n, err := newNode(NodeID(dc, i), DataCentreID(dc), o, constantSnapshot(snapshot))
			if err != nil {
				c.Close()
				return nil, err
			}
			c.Nodes = append(c.Nodes, n)
			members = append(members, membership.Member{ID: n.Identity.ID, DataCentre: n.Identity.DataCentre,
				Region: Region, Address: n.Identity.Address})
		}
	}
	replicas := Replicas(o.DataCentres, o.Replicas)
	for _, n := range c.Nodes {
		n.start(members, replicas)
		time.Sleep(time.Second / time.Duration(len(c.Nodes))) // spreads the heartbeats evenly over their interval
	}
	return c, c.awaitLive()
}

func (c *Cluster) awaitLive() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if c.allLive() {
			return nil
		}
	}
	c.Close()
	return errors.Errorf("%d nodes did not see each other as live within %s", len(c.Nodes), startTimeout)
}

func (c *Cluster) allLive() bool {
	for _, n := range c.Nodes {
		view := n.Members.Current()
		for _, other := range c.Nodes {
			if !view.Live(other.Identity.ID) {
				return false
			}
		}
	}
	return true
}

// Traffic returns the bytes that the transports of all nodes have sent.
func (c *Cluster) Traffic() float64 {
	total := int64(0)
	for _, n := range c.Nodes {
		sent, _ := n.Transport.Traffic()
		total += sent
	}
	return float64(total)
}

// Close stops all nodes.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		n.stop()
	}
}
