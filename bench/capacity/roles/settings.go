package roles

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"time"

	"gentiantide.example/gentiantide/bench/capacity/cluster"
	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/settings"
)

// The full-size settings tree has 6 deployments, 580 organisations and 1,800
// backend servers.
const (
	fullOrgs     = 580
	fullReplicas = 1800
	changeCount  = 20
)

// Settings measures the cost of the settings tree and of changes to it, by the
// number of nodes in the tree.
func Settings(env *Environment) error {
	s := newSettingsSlopes()
	table := meter.NewTable(infratest.NewTable())
	writer, err := newManagers(table, 1)
	if err != nil {
		return err
	}
	defer writer.close()
	existing := make(map[string]bool)
	for _, divisor := range []int{8, 4, 1} {
		if err := writer.fill(treePaths(divisor), existing); err != nil {
			return err
		}
		if err := s.measure(table, len(existing)); err != nil {
			return err
		}
	}
	for _, line := range []*slope.Slope{s.heap, s.cpu, s.sent, s.writes, s.reads, s.load} {
		env.Print.Slope(line)
	}
	return env.measurePropagation(table)
}

// settingsSlopes are the costs by the number of nodes in the settings tree.
type settingsSlopes struct{ heap, cpu, sent, writes, reads, load *slope.Slope }

func newSettingsSlopes() settingsSlopes {
	return settingsSlopes{
		heap:   &slope.Slope{Name: "settings.heap_per_tree_node", Unit: "B/node"},
		cpu:    &slope.Slope{Name: "settings.change_cpu_per_tree_node", Unit: "us/change/node"},
		sent:   &slope.Slope{Name: "settings.change_sent_per_tree_node", Unit: "B/change/node"},
		writes: &slope.Slope{Name: "settings.rows_written_per_tree_node", Unit: "rows/change"},
		reads:  &slope.Slope{Name: "settings.reads_per_tree_node", Unit: "reads/change"},
		load:   &slope.Slope{Name: "settings.start_reads_per_tree_node", Unit: "reads/start"},
	}
}

// measure adds one point to each slope, measured with eight nodes of the fleet.
func (s *settingsSlopes) measure(table *meter.Table, size int) error {
	const nodes = 8
	x := float64(size)
	counts := table.Counts()
	before := meter.HeapBytes()
	m, err := newManagers(table, nodes)
	if err != nil {
		return err
	}
	defer m.close()
	s.heap.Add(x, (meter.HeapBytes()-before)/nodes)
	after := table.Counts()
	s.load.Add(x, (meter.Sum(after.Reads)-meter.Sum(counts.Reads))/nodes)
	cpu, sent := meter.CPUTime(), m.sent()
	for i := range changeCount {
		if _, err := m.applyChange(i); err != nil {
			return err
		}
	}
	s.cpu.Add(x, microseconds(meter.CPUTime()-cpu)/changeCount/nodes)
	s.sent.Add(x, (m.sent()-sent)/changeCount/nodes)
	counts = table.Counts()
	s.writes.Add(x, (meter.Sum(counts.RowsWritten)-meter.Sum(after.RowsWritten))/changeCount)
	s.reads.Add(x, (meter.Sum(counts.Reads)-meter.Sum(after.Reads))/changeCount)
	return nil
}

// measurePropagation measures the time until a change of a full-size tree is in
// force on all nodes of a data centre.
func (env *Environment) measurePropagation(table *meter.Table) error {
	m, err := newManagers(table, 33)
	if err != nil {
		return err
	}
	defer m.close()
	var slowest time.Duration
	for i := range changeCount {
		took, err := m.applyChange(i)
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
	}
	env.Print.Figure("settings.in_force_slowest", slowest.Seconds()*1000, "ms",
		fmt.Sprintf("slowest of %d changes on 33 nodes in one process, full tree, table without latency", changeCount))
	return nil
}

// treePaths returns the paths of a tree of the full size divided by divisor. The 6
// deployments are always in it.
func treePaths(divisor int) []string {
	var out []string
	for i := range 6 {
		out = append(out, fmt.Sprintf("/services/model-%d", i))
	}
	for i := range fullReplicas / divisor {
		if i < fullOrgs/divisor {
			out = append(out, fmt.Sprintf("/organisations/org-%04d", i))
		}
		out = append(out, fmt.Sprintf("/fleet/model-%d-bengal-east-a-%04d", i%6, i))
	}
	return out
}

// treeValues returns values for the tree node at a path.
func treeValues(path string) settings.Values {
	kind, err := settings.PathKind(path)
	if err != nil {
		panic(err) // treePaths returns only valid paths
	}
	switch kind {
	case settings.NodeService:
		name, _ := json.Marshal(path[len("/services/"):])
		return settings.Values{"kind": json.RawMessage(`"model"`), "model": name}
	case settings.NodeOrganisation:
		digest := fmt.Sprintf("%064x", []byte(path[len(path)-8:]))
		key, _ := json.Marshal([]string{digest})
		return settings.Values{"org.weight": json.RawMessage(`2`), "org.key_sha256": key}
	default:
		return settings.Values{"drain": json.RawMessage(`false`)}
	}
}

// managers are the settings managers of several nodes on one table. They have loaded
// the tree and no longer poll the table, so that only changes are measured.
type managers struct {
	transports
	managers []*settings.Manager
}

func newManagers(table infra.Table, n int) (*managers, error) {
	m := &managers{}
	log := slog.New(slog.DiscardHandler)
	view := liveView(1, n)
	var listeners []net.Listener
	for i := range n {
		t := peer.New(cluster.NodeID(0, i), log)
		m.transports = append(m.transports, t)
		m.managers = append(m.managers, settings.NewManager(settings.Options{Table: table, Messenger: t,
			View: func() *membership.View { return view }, DataCentre: cluster.DataCentreID(0), Logger: log}))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	for i, t := range m.transports {
		t.Start(listeners[i])
		for j, l := range listeners {
			t.SetAddress(cluster.NodeID(0, j), l.Addr().String())
		}
	}
	for _, manager := range m.managers {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { manager.Run(ctx); close(done) }()
		select {
		case <-manager.Ready():
		case <-time.After(10 * time.Second):
		}
		cancel()
		<-done
	}
	return m, nil
}

// fill creates the tree nodes that do not exist yet.
func (m *managers) fill(paths []string, existing map[string]bool) error {
	for _, path := range paths {
		if existing[path] {
			continue
		}
		existing[path] = true
		if _, refusal := m.managers[0].Apply(context.Background(),
			settings.Change{Path: path, Set: treeValues(path), Author: "capacity"}); refusal != nil {
			return refusal
		}
	}
	return nil
}

// applyChange changes a setting of /services on the first node and returns the time
// until the change is in force on all nodes.
func (m *managers) applyChange(i int) (time.Duration, error) {
	writer := m.managers[0]
	explanation, refusal := writer.Explain(context.Background(), "/services")
	if refusal != nil {
		return 0, refusal
	}
	began := time.Now()
	limit, _ := json.Marshal(50 + (i+int(explanation.Version))%100)
	result, refusal := writer.Apply(context.Background(), settings.Change{Path: "/services", BaseVersion: explanation.Version,
		Set: settings.Values{"online.queue_limit": limit}, Author: "capacity"})
	if refusal != nil {
		return 0, refusal
	}
	for _, manager := range m.managers {
		for manager.Current().Version() < result.Version {
			if time.Since(began) > 10*time.Second {
				return 0, fmt.Errorf("settings change not in force on all nodes within 10 s")
			}
			time.Sleep(200 * time.Microsecond)
		}
	}
	return time.Since(began), nil
}

func (m *managers) close() {
	m.transports.close()
	runtime.KeepAlive(m.managers)
}
