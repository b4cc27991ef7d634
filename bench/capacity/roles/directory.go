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

// enough is the processor time over which a single function is averaged.
const enough = 300 * time.Millisecond

// static is the view of a region whose nodes are all live.
func static(centres, nodes int) *membership.View {
	var members []membership.Member
	for c := range centres {
		for i := range nodes {
			members = append(members, membership.Member{ID: cluster.NodeID(c, i), DataCentre: cluster.Centre(c),
				Region: cluster.Region, State: membership.StateLive, Incarnation: 1, Address: "127.0.0.1:1"})
		}
	}
	return membership.NewView(cluster.NodeID(0, 0), members)
}

func staticDirectory(members *membership.View, snapshot *settings.Snapshot, replicas int) *directory.Service {
	s := directory.NewService(cluster.Centre(0), cluster.Region, nil, func() *settings.Snapshot { return snapshot },
		func() *membership.View { return members },
		func(core.ReplicaID) directory.Counts { return directory.Counts{} }, slog.New(slog.DiscardHandler))
	s.SetFleet(cluster.Replicas(4, replicas/4))
	return s
}

// Directory measures the work for each status of another node: a heartbeat or
// a digest makes the view of all replicas anew, and the next request makes the
// routing table anew.
func Directory(c *Context) error {
	snapshot := cluster.Settings()
	refresh := &slope.Slope{Name: "directory.refresh_cpu_per_replica", Unit: "us"}
	own := &slope.Slope{Name: "directory.own_status_cpu_per_replica", Unit: "us"}
	update := &slope.Slope{Name: "route.update_cpu_per_replica", Unit: "us"}
	memory := &slope.Slope{Name: "directory.view_heap_per_replica", Unit: "B"}
	for _, replicas := range []int{152, 300, 600} {
		s := staticDirectory(static(4, 33), snapshot, replicas)
		x := float64(replicas)
		refresh.Add(x, micros(meter.PerCall(20, enough, func() { s.Refresh(time.Now()) })))
		own.Add(x, micros(meter.PerCall(20, enough, func() { s.OwnStatus() })))
		update.Add(x, micros(routeUpdate(s, snapshot)))
		before := meter.Heap()
		views := make([]*directory.View, 20)
		for i := range views {
			s.Refresh(time.Now())
			views[i] = s.Current()
		}
		memory.Add(x, (meter.Heap()-before)/float64(len(views)))
		runtime.KeepAlive(views)
	}
	members := &slope.Slope{Name: "directory.refresh_cpu_per_node", Unit: "us"}
	for _, nodes := range []int{4, 16, 33} {
		s := staticDirectory(static(4, nodes), snapshot, 600)
		members.Add(float64(4*nodes), micros(meter.PerCall(20, enough, func() { s.Refresh(time.Now()) })))
	}
	for _, s := range []*slope.Slope{refresh, members, own, update, memory} {
		c.Print.Slope(s)
	}
	return c.status(snapshot)
}

// status measures the handling of one status of another node.
func (c *Context) status(snapshot *settings.Snapshot) error {
	s := staticDirectory(static(4, 33), snapshot, 600)
	list := make([]directory.Status, 5)
	for i := range list {
		list[i] = directory.Status{Replica: core.ReplicaID(cluster.Replica(0, i).ID), Slots: 16, InUse: 3}
	}
	data, err := msgpack.Marshal(list)
	if err != nil {
		return err
	}
	c.Print.Figure("directory.status_cpu", micros(meter.PerCall(20, enough, func() { s.OnStatus("other", data) })),
		"us/message", "5 statuses in a region of 132 nodes and 600 replicas")
	return nil
}

// routeUpdate returns the time of a routing table of a view that changed.
func routeUpdate(s *directory.Service, snapshot *settings.Snapshot) time.Duration {
	router := route.NewRouter(cluster.Centre(0), cluster.Region)
	views := [2]*directory.View{s.Current(), directory.NewView(s.Current().All())}
	i := 0
	return meter.PerCall(20, enough, func() { i++; router.Update(views[i%2], snapshot) })
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
