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

// The sizes of the settings tree at full size: 6 deployments, 580
// organisations, 1,800 backend servers.
const (
	fullOrgs     = 580
	fullReplicas = 1800
	changes      = 20
)

// Settings measures the tree against its length, and changes.
func Settings(c *Context) error {
	s := settingsSlopes()
	table := meter.NewTable(infratest.NewTable())
	writer, err := newManagers(table, 1)
	if err != nil {
		return err
	}
	defer writer.close()
	have := make(map[string]bool)
	for _, share := range []int{8, 4, 1} {
		if err := writer.fill(treePaths(share), have); err != nil {
			return err
		}
		if err := s.measure(table, len(have)); err != nil {
			return err
		}
	}
	for _, line := range []*slope.Slope{s.heap, s.cpu, s.sent, s.writes, s.reads, s.load} {
		c.Print.Slope(line)
	}
	return c.inForce(table)
}

type settingsLines struct{ heap, cpu, sent, writes, reads, load *slope.Slope }

func settingsSlopes() settingsLines {
	return settingsLines{
		heap:   &slope.Slope{Name: "settings.heap_per_tree_node", Unit: "B/node"},
		cpu:    &slope.Slope{Name: "settings.change_cpu_per_tree_node", Unit: "us/change/node"},
		sent:   &slope.Slope{Name: "settings.change_sent_per_tree_node", Unit: "B/change/node"},
		writes: &slope.Slope{Name: "settings.rows_written_per_tree_node", Unit: "rows/change"},
		reads:  &slope.Slope{Name: "settings.reads_per_tree_node", Unit: "reads/change"},
		load:   &slope.Slope{Name: "settings.start_reads_per_tree_node", Unit: "reads/start"},
	}
}

// measure takes one point of each line with eight nodes.
func (s *settingsLines) measure(table *meter.Table, size int) error {
	const nodes = 8
	x := float64(size)
	counts := table.Counts()
	before := meter.Heap()
	m, err := newManagers(table, nodes)
	if err != nil {
		return err
	}
	defer m.close()
	s.heap.Add(x, (meter.Heap()-before)/nodes)
	after := table.Counts()
	s.load.Add(x, (meter.Sum(after.Reads)-meter.Sum(counts.Reads))/nodes)
	cpu, sent := meter.CPU(), m.sent()
	for i := range changes {
		if _, err := m.change(i); err != nil {
			return err
		}
	}
	s.cpu.Add(x, micros(meter.CPU()-cpu)/changes/nodes)
	s.sent.Add(x, (m.sent()-sent)/changes/nodes)
	counts = table.Counts()
	s.writes.Add(x, (meter.Sum(counts.RowsWritten)-meter.Sum(after.RowsWritten))/changes)
	s.reads.Add(x, (meter.Sum(counts.Reads)-meter.Sum(after.Reads))/changes)
	return nil
}

// inForce measures the time of a change at full size on the nodes of a data
// centre.
func (c *Context) inForce(table *meter.Table) error {
	m, err := newManagers(table, 33)
	if err != nil {
		return err
	}
	defer m.close()
	var slowest time.Duration
	for i := range changes {
		took, err := m.change(i)
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
	}
	c.Print.Figure("settings.in_force_slowest", slowest.Seconds()*1000, "ms",
		fmt.Sprintf("slowest of %d changes on 33 nodes in one process, full tree, table without latency", changes))
	return nil
}

// treePaths returns the nodes of a tree with the given share of the full size.
func treePaths(share int) []string {
	var out []string
	for i := range 6 {
		out = append(out, fmt.Sprintf("/services/model-%d", i))
	}
	for i := range fullReplicas / share {
		if i < fullOrgs/share {
			out = append(out, fmt.Sprintf("/organisations/org-%04d", i))
		}
		out = append(out, fmt.Sprintf("/fleet/model-%d-bengal-east-a-%04d", i%6, i))
	}
	return out
}

func treeValues(path string) settings.Values {
	kind, err := settings.PathKind(path)
	if err != nil {
		panic(err) // the paths are made above
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

// managers are the settings of several nodes over one table. They have loaded
// the tree and poll no more, so that only changes are counted.
type managers struct {
	transports []*peer.Transport
	managers   []*settings.Manager
}

func newManagers(table infra.Table, n int) (*managers, error) {
	m := &managers{}
	log := slog.New(slog.DiscardHandler)
	view := static(1, n)
	var listeners []net.Listener
	for i := range n {
		t := peer.New(cluster.NodeID(0, i), log)
		m.transports = append(m.transports, t)
		m.managers = append(m.managers, settings.NewManager(settings.Options{Table: table, Messenger: t,
			View: func() *membership.View { return view }, DataCentre: cluster.Centre(0), Logger: log}))
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
		ended := make(chan struct{})
		go func() { manager.Run(ctx); close(ended) }()
		select {
		case <-manager.Ready():
		case <-time.After(10 * time.Second):
		}
		cancel()
		<-ended
	}
	return m, nil
}

// fill sets the nodes of a tree that it does not have yet.
func (m *managers) fill(paths []string, have map[string]bool) error {
	for _, path := range paths {
		if have[path] {
			continue
		}
		have[path] = true
		if _, refusal := m.managers[0].Apply(context.Background(),
			settings.Change{Path: path, Set: treeValues(path), Author: "capacity"}); refusal != nil {
			return refusal
		}
	}
	return nil
}

// change changes the root at one node and waits until it is in force at all.
func (m *managers) change(i int) (time.Duration, error) {
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
				return 0, fmt.Errorf("a change was not in force everywhere within 10 s")
			}
			time.Sleep(200 * time.Microsecond)
		}
	}
	return time.Since(began), nil
}

func (m *managers) sent() float64 {
	total := int64(0)
	for _, t := range m.transports {
		sent, _ := t.Traffic()
		total += sent
	}
	return float64(total)
}

func (m *managers) close() {
	for _, t := range m.transports {
		t.Close()
	}
	runtime.KeepAlive(m.managers)
}
