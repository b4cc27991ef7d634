package roles

import (
	"log/slog"
	"runtime"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/bench/capacity/cluster"
	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/route"
	"gentiantide.example/gentiantide/internal/settings"
)

// minCPUTime is the CPU time over which the cost of a single call is averaged.
const minCPUTime = 300 * time.Millisecond

// liveView returns the view of a region whose nodes are all live.
func liveView(dataCentres, nodes int) *membership.View {
	var members []membership.Member
	for c := range dataCentres {
		for i := range nodes {
			members = append(members, membership.Member{ID: cluster.NodeID(c, i), DataCentre: cluster.DataCentreID(c),
				Region: cluster.Region, State: membership.StateLive, Incarnation: 1, Address: "127.0.0.1:1"})
		}
	}
	return membership.NewView(cluster.NodeID(0, 0), members)
}

// newDirectory returns a directory of replicas in four data centres, which are not
// polled.
func newDirectory(members *membership.View, snapshot *settings.Snapshot, replicas int) *directory.Service {
	s := directory.NewService(cluster.DataCentreID(0), cluster.Region, nil, func() *settings.Snapshot { return snapshot },
		func() *membership.View { return members },
		func(core.ReplicaID) directory.Counts { return directory.Counts{} }, slog.New(slog.DiscardHandler))
	s.SetFleet(cluster.Replicas(4, replicas/4))
	return s
}

// Directory measures the work that follows a status message of another node: each
// heartbeat or digest rebuilds the view of all replicas, and the next request
// rebuilds the routing table.
func Directory(env *Environment) error {
	snapshot := cluster.Settings()
	refresh := &slope.Slope{Name: "directory.refresh_cpu_per_replica", Unit: "us"}
	own := &slope.Slope{Name: "directory.own_status_cpu_per_replica", Unit: "us"}
	update := &slope.Slope{Name: "route.update_cpu_per_replica", Unit: "us"}
	memory := &slope.Slope{Name: "directory.view_heap_per_replica", Unit: "B"}
	for _, replicas := range []int{152, 300, 600} {
		s := newDirectory(liveView(4, 33), snapshot, replicas)
		x := float64(replicas)
		refresh.Add(x, microseconds(meter.CPUTimePerCall(20, minCPUTime, func() { s.Refresh(time.Now()) })))
		own.Add(x, microseconds(meter.CPUTimePerCall(20, minCPUTime, func() { s.OwnStatus() })))
		update.Add(x, microseconds(routeUpdate(s, snapshot)))
		before := meter.HeapBytes()
		views := make([]*directory.View, 20)
		for i := range views {
			s.Refresh(time.Now())
			views[i] = s.Current()
		}
		memory.Add(x, (meter.HeapBytes()-before)/float64(len(views)))
		runtime.KeepAlive(views)
	}
	members := &slope.Slope{Name: "directory.refresh_cpu_per_node", Unit: "us"}
	for _, nodes := range []int{4, 16, 33} {
		s := newDirectory(liveView(4, nodes), snapshot, 600)
		members.Add(float64(4*nodes), microseconds(meter.CPUTimePerCall(20, minCPUTime, func() { s.Refresh(time.Now()) })))
	}
	for _, s := range []*slope.Slope{refresh, members, own, update, memory} {
		env.Print.Slope(s)
	}
	return env.measureStatus(snapshot)
}

// measureStatus measures the handling of one status message of another node.
func (env *Environment) measureStatus(snapshot *settings.Snapshot) error {
	s := newDirectory(liveView(4, 33), snapshot, 600)
	list := make([]directory.Status, 5)
	for i := range list {
		list[i] = directory.Status{Replica: core.ReplicaID(cluster.Replica(0, i).ID), Slots: 16, InUse: 3}
	}
	data, err := msgpack.Marshal(list)
	if err != nil {
		return err
	}
	env.Print.Figure("directory.status_cpu", microseconds(meter.CPUTimePerCall(20, minCPUTime, func() { s.OnStatus("other", data) })),
		"us/message", "5 statuses in a region of 132 nodes and 600 replicas")
	return nil
}

// routeUpdate returns the CPU time of building a routing table after the view has
// changed.
func routeUpdate(s *directory.Service, snapshot *settings.Snapshot) time.Duration {
	router := route.NewRouter(cluster.DataCentreID(0), cluster.Region)
	views := [2]*directory.View{s.Current(), directory.NewView(s.Current().All())}
	i := 0
	return meter.CPUTimePerCall(20, minCPUTime, func() { i++; router.Update(views[i%2], snapshot) })
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
