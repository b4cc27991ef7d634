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

// measureDigest measures the bytes of one digest by number of nodes or replicas.
func (env *Environment) measureDigest(dimension string) error {
	s := &slope.Slope{Name: "membership.digest_per_" + dimension, Unit: "B"}
	sizes := map[string][]int{"nodes": {4, 8, 16}, "replicas": {0, 50, 150}}[dimension]
	for _, x := range sizes {
		o := cluster.Options{DataCentres: 1, Nodes: x, Slots: 16}
		if dimension == "replicas" {
			o.Nodes, o.Replicas = 4, x
		}
		bytes, err := digestBytes(o)
		if err != nil {
			return err
		}
		s.Add(float64(x), bytes)
	}
	env.Print.Slope(s)
	return nil
}

// digestBytes requests a digest from a node, as a node of another data centre does,
// and returns the bytes received.
func digestBytes(o cluster.Options) (float64, error) {
	region, err := cluster.Start(o)
	if err != nil {
		return 0, err
	}
	defer region.Close()
	time.Sleep(time.Second)
	requester := peer.New("asker", slog.New(slog.DiscardHandler))
	defer requester.Close()
	target := region.Nodes[0].Identity
	requester.SetAddress(target.ID, target.Address)
	request := struct {
		From membership.Identity `msgpack:"f"`
	}{membership.Identity{ID: "asker", DataCentre: "elsewhere", Region: cluster.Region, Address: "127.0.0.1:1"}}
	var response msgpack.RawMessage
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := requester.Call(ctx, target.ID, "member.digest", request, &response); err != nil {
		return 0, err
	}
	_, read := requester.Traffic()
	return float64(read), nil
}
