package roles

import (
	"context"
	"log/slog"
	"time"

	"gentiantide.example/gentiantide/bench/capacity/cluster"
	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/bench/standin/engine"
	"gentiantide.example/gentiantide/bench/standin/fleet"
	"gentiantide.example/gentiantide/internal/backend/openai"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/httpsend"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/httpfleet"
	"gentiantide.example/gentiantide/internal/membership"
)

// Fleet measures polls of the fleet list and of backend servers. The stand-in
// servers run in the same process, so the figures include their CPU time.
func Fleet(env *Environment) error {
	cpu := &slope.Slope{Name: "fleet.poll_cpu_per_entry", Unit: "us"}
	bytes := &slope.Slope{Name: "fleet.poll_bytes_per_entry", Unit: "B"}
	apply := &slope.Slope{Name: "fleet.apply_cpu_per_entry", Unit: "us"}
	for _, entries := range []int{275, 550, 1100, 2200} {
		if err := measureFleetPoll(entries, cpu, bytes, apply); err != nil {
			return err
		}
	}
	for _, s := range []*slope.Slope{cpu, bytes, apply} {
		env.Print.Slope(s)
	}
	return env.measureEnginePoll()
}

// fleetList returns a fleet list in the proportions of the design: 2 nodes to 9
// backend servers, in 3 regions.
func fleetList(entries int) []infra.VM {
	var out []infra.VM
	for i := range entries {
		vm := cluster.Replica(i%4, i)
		if i%11 < 2 {
			vm = infra.VM{ID: string(cluster.NodeID(i%4, i)), Kind: infra.KindNode, DataCentre: vm.DataCentre, Address: "10.0.0.1:7000"}
		}
		vm.Region = []string{cluster.Region, "luzon-north", "delta-west"}[i%3]
		out = append(out, vm)
	}
	return out
}

// measureFleetPoll adds one point to each slope, for a fleet list of the given
// length.
func measureFleetPoll(entries int, cpu, bytes, apply *slope.Slope) error {
	server := fleet.New(fleet.Params{})
	vms := fleetList(entries)
	server.Set(vms)
	listener, err := meter.Listen(server)
	if err != nil {
		return err
	}
	defer listener.Stop()
	list := httpfleet.New("http://"+listener.Address(), 0)
	defer list.Close()
	if _, err := list.List(context.Background()); err != nil {
		return err
	}
	before, polls := listener.Bytes(), 0
	x := float64(entries)
	cpu.Add(x, microseconds(meter.CPUTimePerCall(20, minCPUTime, func() { polls++; _, err = list.List(context.Background()) })))
	if err != nil {
		return err
	}
	bytes.Add(x, (listener.Bytes()-before)/float64(polls))
	apply.Add(x, microseconds(fleetApplyTime(vms)))
	return nil
}

// fleetApplyTime returns the CPU time in which a node applies a fleet list, as in
// package node.
func fleetApplyTime(vms []infra.VM) time.Duration {
	members := membership.NewService(membership.Identity{ID: cluster.NodeID(0, 0), DataCentre: cluster.DataCentreID(0), Region: cluster.Region},
		&noopNetwork{newNoopMessenger(cluster.NodeID(0, 0))}, nil, membership.Hooks{}, slog.New(slog.DiscardHandler))
	view, snapshot := liveView(4, 33), cluster.Settings()
	replicas := directory.NewService(cluster.DataCentreID(0), cluster.Region, nil, constant(snapshot), constant(view),
		func(core.ReplicaID) directory.Counts { return directory.Counts{} }, slog.New(slog.DiscardHandler))
	return meter.CPUTimePerCall(20, minCPUTime, func() {
		var nodes []membership.Member
		for _, vm := range vms {
			if vm.Kind == infra.KindNode && vm.Region == cluster.Region {
				nodes = append(nodes, membership.Member{ID: cluster.NodeID(0, len(nodes)), DataCentre: cluster.DataCentreID(0), Region: cluster.Region, Address: vm.Address})
			}
		}
		members.SetFleet(nodes, nil)
		replicas.SetFleet(vms)
	})
}

// measureEnginePoll measures polls of an engine's load report.
func (env *Environment) measureEnginePoll() error {
	server := engine.NewServer(engine.DefaultParams())
	defer server.Close()
	listener, err := meter.Listen(server)
	if err != nil {
		return err
	}
	defer listener.Stop()
	client := httpsend.New()
	defer client.Close()
	e := openai.New(client, "http://"+listener.Address())
	if _, err := e.Load(context.Background()); err != nil {
		return err
	}
	cpu := &slope.Slope{Name: "directory.poll_cpu_per_replica", Unit: "us"}
	bytes := &slope.Slope{Name: "directory.poll_bytes_per_replica", Unit: "B"}
	for _, polls := range []int{500, 1000, 2000} {
		used, start := meter.CPUTime(), listener.Bytes()
		for range polls {
			if _, err := e.Load(context.Background()); err != nil {
				return err
			}
		}
		cpu.Add(float64(polls), microseconds(meter.CPUTime()-used))
		bytes.Add(float64(polls), listener.Bytes()-start)
	}
	env.Print.Slope(cpu)
	env.Print.Slope(bytes)
	return nil
}
