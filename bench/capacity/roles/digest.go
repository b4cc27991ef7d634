package roles

import (
	"context"
	"log/slog"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/bench/capacity/cluster"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
)

// digest measures the bytes of one digest against nodes or replicas.
func (c *Context) digest(against string) error {
	s := &slope.Slope{Name: "membership.digest_per_" + against, Unit: "B"}
	sizes := map[string][]int{"nodes": {4, 8, 16}, "replicas": {0, 50, 150}}[against]
	for _, x := range sizes {
		o := cluster.Options{Centres: 1, Nodes: x, Slots: 16}
		if against == "replicas" {
			o.Nodes, o.Replicas = 4, x
		}
		bytes, err := digestBytes(o)
		if err != nil {
			return err
		}
		s.Add(float64(x), bytes)
	}
	c.Print.Slope(s)
	return nil
}

// digestBytes asks a node for a digest, as a node of another data centre does.
func digestBytes(o cluster.Options) (float64, error) {
	region, err := cluster.Start(o)
	if err != nil {
		return 0, err
	}
	defer region.Close()
	time.Sleep(time.Second)
	asker := peer.New("asker", slog.New(slog.DiscardHandler))
	defer asker.Close()
	target := region.Nodes[0].Identity
	asker.SetAddress(target.ID, target.Address)
	request := struct {
		From membership.Identity `msgpack:"f"`
	}{membership.Identity{ID: "asker", DataCentre: "elsewhere", Region: cluster.Region, Address: "127.0.0.1:1"}}
	var answer msgpack.RawMessage
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := asker.Call(ctx, target.ID, "member.digest", request, &answer); err != nil {
		return 0, err
	}
	_, read := asker.Traffic()
	return float64(read), nil
}
