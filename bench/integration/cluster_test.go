package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/harness"
	"gentiantide.example/gentiantide/bench/standin/engine"
	"gentiantide.example/gentiantide/bench/standin/fleet"
	"gentiantide.example/gentiantide/bench/standin/objects"
	"gentiantide.example/gentiantide/bench/standin/plain"
	"gentiantide.example/gentiantide/bench/standin/table"
	"gentiantide.example/gentiantide/internal/config"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi/operators"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/node"
)

// waitTimeout limits how long tests wait for a state. It asserts no latency.
const waitTimeout = 30 * time.Second

var dataCentres = []string{"dc-a", "dc-b", "dc-c"}

// testNode is a node of a cluster with its addresses.
type testNode struct {
	*node.Node
	id, callers, operators string
	config                 *config.Node
	stop                   chan struct{}
	done                   chan error
}

func (n *testNode) url() string { return "http://" + n.callers }

// cluster has three data centres of one region, each with the same number of nodes,
// two engines and one plain service.
type cluster struct {
	t       testing.TB
	g       *gomega.WithT
	client  *client.Client
	table   *table.Server
	objects *objects.Server
	fleet   *fleet.Server
	engines []*engine.Server
	plain   []*plain.Server
	nodes   []*testNode
}

// newCluster starts a cluster with one node in each data centre.
func newCluster() *cluster { return newClusterWithNodes(1) }

// newClusterWithNodes starts a cluster with the given number of nodes in each data
// centre.
func newClusterWithNodes(nodesPerDC int) *cluster {
	t := GinkgoTB()
	c := &cluster{t: t, g: gomega.NewWithT(t), client: client.New(),
		table: table.New(table.DefaultParams()), objects: objects.New(objects.DefaultParams()), fleet: fleet.New(fleet.Params{})}
	tableURL, objectsURL, fleetURL := c.serve(c.table), c.serve(c.objects), c.serve(c.fleet)
	var vms []infra.VM
	for _, dc := range dataCentres {
		vms = append(vms, c.startBackends(dc)...)
	}
	var files []string
	var seeds []string
	for i := range nodesPerDC * len(dataCentres) {
		dc := dataCentres[i/nodesPerDC]
		addresses, err := harness.FreeAddresses(3)
		c.g.Expect(err).NotTo(gomega.HaveOccurred())
		id := fmt.Sprint(dc, "-node-", i%nodesPerDC)
		vms = append(vms, infra.VM{ID: id, Kind: infra.KindNode, DataCentre: dc, Region: "r", Address: addresses[2]})
		seeds = append(seeds, addresses[2])
		files = append(files, fmt.Sprintf(`{"id": %q, "data_centre": %q, "region": "r",
			"listen": {"callers": %q, "operators": %q, "peers": %q},
			"platform": {"table": %q, "objects": %q, "weights": %q, "fleet": %q},
			"timeouts": {"stop_grace": "10ms"}, "seeds": `, id, dc, addresses[0], addresses[1], addresses[2],
			tableURL, objectsURL, fleetURL, fleetURL))
	}
	c.fleet.Set(vms)
	list, _ := json.Marshal(seeds)
	for i, file := range files {
		cfg, err := config.Parse("node.json", []byte(file+string(list)+"}"))
		c.g.Expect(err).NotTo(gomega.HaveOccurred())
		n := &testNode{id: string(cfg.ID), callers: cfg.Listen.Callers, operators: cfg.Listen.Operators, config: cfg}
		c.nodes = append(c.nodes, n)
		c.start(n)
		if i == 0 {
			c.awaitReady(n)
			c.deploy()
		}
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			c.stop(n)
		}
	})
	for _, n := range c.nodes {
		c.awaitReady(n)
	}
	return c
}

// serve serves a stand-in on a free port and returns its base URL.
func (c *cluster) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	c.t.Cleanup(server.CloseClientConnections)
	c.t.Cleanup(server.Close)
	return server.URL
}

// startBackends starts the engines and the plain service of a data centre.
func (c *cluster) startBackends(dc string) []infra.VM {
	var vms []infra.VM
	add := func(id, deployment string, handler http.Handler) {
		vms = append(vms, infra.VM{ID: id, Kind: infra.KindBackend, DataCentre: dc, Region: "r",
			Address: strings.TrimPrefix(c.serve(handler), "http://"), Deployment: deployment})
	}
	for i := range 2 {
		p := engine.DefaultParams()
		p.StepBase, p.StepPerSequence, p.Slots = 2*time.Millisecond, 0, 8
		p.LoadTime, p.LoadLag = 200*time.Millisecond, 100*time.Millisecond
		e := engine.NewServer(p)
		c.t.Cleanup(e.Close)
		c.engines = append(c.engines, e)
		add(fmt.Sprintf("%s-engine-%d", dc, i), "models", e)
	}
	p := plain.New(plain.DefaultParams())
	c.plain = append(c.plain, p)
	add(dc+"-desk", "desk", p)
	return vms
}

func (c *cluster) start(n *testNode) {
	n.Node = node.New(n.config, slog.New(slog.NewTextHandler(io.Discard, nil)))
	n.stop, n.done = make(chan struct{}), make(chan error, 1)
	go func(n *testNode, stop chan struct{}, done chan error) { done <- n.Run(stop) }(n, n.stop, n.done)
}

// stop stops a node gracefully; it does nothing for a stopped node.
func (c *cluster) stop(n *testNode) {
	if n.stop == nil {
		return
	}
	close(n.stop)
	n.stop = nil
	c.g.Expect(<-n.done).To(gomega.Succeed())
}

func (c *cluster) awaitReady(n *testNode) {
	c.g.Eventually(func() (int, error) {
		response, err := http.Get(n.url() + "/readyz")
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}, waitTimeout, 20*time.Millisecond).Should(gomega.Equal(http.StatusOK), "node %s is ready", n.id)
}

// deploy creates the deployments of the model and of the permit desk.
func (c *cluster) deploy() {
	c.g.Expect(c.changeSettings(c.nodes[0], "/services", 0, map[string]any{"retry.max_attempts": 4})).To(gomega.Equal(http.StatusOK))
	c.g.Expect(c.changeSettings(c.nodes[0], "/services/models", 0, map[string]any{"kind": "model", "model": "m"})).To(gomega.Equal(http.StatusOK))
	c.g.Expect(c.changeSettings(c.nodes[0], "/services/desk", 0, map[string]any{"kind": "plain", "route": "/permit-desk/",
		"route.non_idempotent": []string{"POST /permit-desk/issue"}})).To(gomega.Equal(http.StatusOK))
}

// changeSettings changes the settings at a path through a node and returns the
// HTTP status.
func (c *cluster) changeSettings(n *testNode, path string, base uint64, set map[string]any) int {
	body, _ := json.Marshal(map[string]any{"path": path, "base_version": base, "set": set, "author": "test"})
	response, err := http.Post("http://"+n.operators+"/admin/v1/settings", "application/json", bytes.NewReader(body))
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// generate sends a streamed completion request through a node.
func (c *cluster) generate(n *testNode, prompt string, tokens int) client.Result {
	return c.client.Do(c.t.Context(), client.Call{Base: n.url(), Path: "/v1/completions", Stream: true,
		Body: map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens}})
}

// expectCompleteAnswer fails the test unless the node returns the complete and
// correct answer.
func (c *cluster) expectCompleteAnswer(n *testNode, prompt string, tokens int) {
	c.t.Helper()
	r := c.generate(n, prompt, tokens)
	c.g.Expect(r.OK()).To(gomega.BeTrue(), "node %s: %s", n.id, r.String())
	c.g.Expect(r.Text).To(gomega.Equal(engine.OutputText(prompt, tokens)))
}

// issuePermit sends a non-idempotent call with an idempotency key.
func (c *cluster) issuePermit(n *testNode, permit string) client.Result {
	return c.client.Do(c.t.Context(), client.Call{Base: n.url(), Path: "/permit-desk/issue",
		Header: map[string]string{"Idempotency-Key": permit}, Body: map[string]any{"permit": permit}})
}

// executions returns how often all plain servers together issued a permit.
func (c *cluster) executions(permit string) int {
	total := 0
	for _, p := range c.plain {
		total += p.Stats().Permits[permit]
	}
	return total
}

// seesLive reports whether node n considers another node live.
func (c *cluster) seesLive(n *testNode, id string) bool {
	for _, m := range c.fleetStatus(n).Nodes {
		if m.ID == id {
			return m.State == "live"
		}
	}
	return false
}

// owners maps each replica to its owner as node n sees it.
func (c *cluster) owners(n *testNode) map[string]string {
	out := make(map[string]string)
	for _, b := range c.fleetStatus(n).Backends {
		out[b.ID] = b.Owner
	}
	return out
}

// fleetStatus returns the status of the fleet as node n sees it. It is empty if
// the node does not respond.
func (c *cluster) fleetStatus(n *testNode) operators.Fleet {
	var status operators.Fleet
	response, err := http.Get("http://" + n.operators + "/admin/v1/fleet")
	if err != nil {
		return status
	}
	defer func() { _ = response.Body.Close() }()
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return operators.Fleet{}
	}
	return status
}

// blockPeer blocks messages from one node to another, in this direction only.
func (c *cluster) blockPeer(from, to *testNode) {
	from.BlockPeers(func(id core.NodeID) bool { return string(id) == to.id })
}

// settingsVersion returns the version of a path of the settings tree.
func (c *cluster) settingsVersion(n *testNode, path string) uint64 {
	response, err := http.Get("http://" + n.operators + "/admin/v1/settings?path=" + path)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Version uint64 `json:"version"`
	}
	c.g.Expect(json.NewDecoder(response.Body).Decode(&body)).To(gomega.Succeed())
	return body.Version
}
