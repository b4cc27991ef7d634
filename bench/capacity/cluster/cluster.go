package cluster

import (
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/membership"
)

// startWait bounds the time until all nodes see each other.
const startWait = 20 * time.Second

// Cluster is the nodes of one region.
type Cluster struct {
	Nodes []*Node
}

// Start starts a region and waits until all nodes see each other as live.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{}
	snapshot := Settings()
	var members []membership.Member
	for centre := range o.Centres {
		for i := range o.Nodes {
			n, err := newNode(NodeID(centre, i), Centre(centre), o, snapshotOf(snapshot))
			if err != nil {
				c.Close()
				return nil, err
			}
			c.Nodes = append(c.Nodes, n)
			members = append(members, membership.Member{ID: n.Identity.ID, DataCentre: n.Identity.DataCentre,
				Region: Region, Address: n.Identity.Address})
		}
	}
	replicas := Replicas(o.Centres, o.Replicas)
	for _, n := range c.Nodes {
		n.start(members, replicas)
		time.Sleep(time.Second / time.Duration(len(c.Nodes))) // spreads the heartbeats over their interval
	}
	return c, c.await()
}

func (c *Cluster) await() error {
	for deadline := time.Now().Add(startWait); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if c.allLive() {
			return nil
		}
	}
	c.Close()
	return errors.Errorf("%d nodes did not see each other within %s", len(c.Nodes), startWait)
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

// Traffic returns the bytes that all transports have sent.
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
