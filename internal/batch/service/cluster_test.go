package service

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/batchhttp"
	"gentiantide.example/gentiantide/internal/batch/results"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
)

// pauseGate blocks the calls of a node while it is paused.
type pauseGate struct {
	mu     sync.Mutex
	paused chan struct{}
}

func (g *pauseGate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
	}
}

func (g *pauseGate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

func (g *pauseGate) isPaused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paused != nil
}

func (g *pauseGate) wait() { g.waitUntil(context.Background()) }

func (g *pauseGate) waitUntil(ctx context.Context) {
	g.mu.Lock()
	ch := g.paused
	g.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case <-ch:
	case <-ctx.Done():
	}
}

// pausableTable blocks the calls of a paused node after its lease checks and before
// they reach the table.
type pausableTable struct {
	infra.Table
	gate *pauseGate
}

func (t pausableTable) Get(ctx context.Context, key string) (infra.Row, error) {
	t.gate.wait()
	return t.Table.Get(ctx, key)
}

func (t pausableTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	t.gate.wait()
	return t.Table.Scan(ctx, prefix, after, limit)
}

// Commit applies a transaction that was blocked by a pause even if the caller's
// context has ended, as if the network had delivered it late.
func (t pausableTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	t.gate.wait()
	return t.Table.Commit(context.WithoutCancel(ctx), txn)
}

// hub delivers messages between the nodes of a cluster.
type hub struct {
	mu    sync.Mutex
	nodes map[core.NodeID]*messenger
}

type messenger struct {
	hub      *hub
	id       core.NodeID
	gate     *pauseGate
	handlers map[string]peer.Handler
}

func (m *messenger) Self() core.NodeID                        { return m.id }
func (m *messenger) Handle(kind string, handler peer.Handler) { m.handlers[kind] = handler }

func (h *hub) lookup(id core.NodeID) *messenger {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes[id]
}

func (m *messenger) Call(ctx context.Context, to core.NodeID, kind string, req, resp any) error {
	m.gate.wait()
	target := m.hub.lookup(to)
	if target == nil {
		return peer.ErrUnavailable
	}
	target.gate.waitUntil(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	body, err := msgpack.Marshal(req)
	if err != nil {
		return err
	}
	reply, err := target.handlers[kind](ctx, m.id, body)
	if err != nil {
		return &peer.RemoteError{Message: err.Error()}
	}
	return msgpack.Unmarshal(reply, resp)
}

func (m *messenger) Send(to core.NodeID, kind string, msg any) error {
	target := m.hub.lookup(to)
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return err
	}
	if target == nil {
		return peer.ErrUnavailable
	}
	go func() {
		m.gate.wait()
		target.gate.wait()
		_, _ = target.handlers[kind](context.Background(), m.id, body)
	}()
	return nil
}

// testNode is a node of a cluster.
type testNode struct {
	id   core.NodeID
	gate *pauseGate
	svc  *Service
	mux  *http.ServeMux
}

// cluster is a set of nodes with a shared table and object store.
type cluster struct {
	cfg       batch.Config
	table     *infratest.Table
	nodeTable infra.Table // the table as the nodes see it
	objects   *infratest.Objects
	hub       *hub
	runItem   func(node core.NodeID, ctx context.Context, item batch.Item) batch.Outcome
	nodes     []*testNode
	started   int
	log       *slog.Logger
}

func newCluster(cfg batch.Config, runItem func(core.NodeID, context.Context, batch.Item) batch.Outcome) *cluster {
	table := infratest.NewTable()
	c := &cluster{
		cfg: cfg, table: table, nodeTable: table, objects: infratest.NewObjects(),
		hub: &hub{nodes: make(map[core.NodeID]*messenger)}, runItem: runItem,
		log: slog.New(slog.DiscardHandler),
	}
	if os.Getenv("BATCH_TEST_LOG") != "" {
		c.log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	return c
}

// start starts a new node and returns it.
func (c *cluster) start() *testNode {
	c.started++
	n := &testNode{id: core.NodeID(fmt.Sprintf("node-%02d", c.started)), gate: &pauseGate{}, mux: http.NewServeMux()}
	m := &messenger{hub: c.hub, id: n.id, gate: n.gate, handlers: make(map[string]peer.Handler)}
	n.svc = New(Params{
		Config: c.cfg, Table: pausableTable{c.nodeTable, n.gate}, Objects: c.objects, Messenger: m, Members: c.members,
		Incarnation: int64(c.started), Log: c.log.With("node", n.id), Scope: tally.NoopScope,
		Runner: batch.RunnerFunc(func(ctx context.Context, item batch.Item) batch.Outcome { return c.runItem(n.id, ctx, item) }),
		Authenticate: func(r *http.Request) (core.Org, *core.Refusal) {
			return core.Org(r.Header.Get("OpenAI-Organization")), nil
		},
		WriteRefusal: func(w http.ResponseWriter, r *core.Refusal) {
			w.WriteHeader(r.HTTPStatus())
			_, _ = fmt.Fprintf(w, "%s %s: %s", r.Code, r.Execution, r.Message)
		},
	})
	n.svc.Register(n.mux)
	c.hub.mu.Lock()
	c.hub.nodes[n.id] = m
	c.hub.mu.Unlock()
	c.nodes = append(c.nodes, n)
	n.svc.Start()
	return n
}

// members returns a membership view in which all nodes that were not removed are
// live.
func (c *cluster) members() *membership.View {
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	var out []membership.Member
	for id := range c.hub.nodes {
		out = append(out, membership.Member{ID: id, State: membership.StateLive})
	}
	return membership.NewView("", out)
}

// remove removes a node from the network and the membership.
func (c *cluster) remove(n *testNode) {
	c.hub.mu.Lock()
	delete(c.hub.nodes, n.id)
	c.hub.mu.Unlock()
	for i, other := range c.nodes {
		if other == n {
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			break
		}
	}
}

func (c *cluster) kill(n *testNode) {
	c.remove(n)
	n.gate.resume()
	n.svc.Kill()
}

func (c *cluster) stopAll() {
	for len(c.nodes) > 0 {
		c.kill(c.nodes[0])
	}
}

func (n *testNode) request(method, path, key string, body io.Reader, contentType string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, body)
	r.Header.Set("OpenAI-Organization", "tulaan")
	r.Header.Set("Content-Type", contentType)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	w := httptest.NewRecorder()
	n.mux.ServeHTTP(w, r)
	return w
}

// upload uploads a file and returns its file object, or the refusal.
func (n *testNode) upload(key, content string) (batchhttp.File, string) {
	var form bytes.Buffer
	mw := multipart.NewWriter(&form)
	part, _ := mw.CreateFormFile("file", "in.jsonl")
	_, _ = io.WriteString(part, content)
	_ = mw.WriteField("purpose", "batch")
	_ = mw.Close()
	return decode[batchhttp.File](n.request("POST", "/v1/files", key, &form, mw.FormDataContentType()))
}

func (n *testNode) create(key string, file core.FileID, metadata map[string]string) (batchhttp.Batch, string) {
	body, _ := json.Marshal(map[string]any{"input_file_id": file, "endpoint": testURL, "completion_window": "6h", "metadata": metadata})
	return decode[batchhttp.Batch](n.request("POST", "/v1/batches", key, bytes.NewReader(body), "application/json"))
}

func (n *testNode) status(id core.JobID) batchhttp.Batch {
	b, _ := decode[batchhttp.Batch](n.request("GET", "/v1/batches/"+string(id), "", nil, ""))
	return b
}

func (n *testNode) cancel(id core.JobID) (batchhttp.Batch, string) {
	return decode[batchhttp.Batch](n.request("POST", "/v1/batches/"+string(id)+"/cancel", "", nil, ""))
}

// results reads and decodes the output file of a job.
func (n *testNode) results(id core.JobID) ([]results.Line, error) {
	w := n.request("GET", "/v1/files/file-output-"+string(id)+"/content", "", nil, "")
	if w.Code != http.StatusOK {
		return nil, fmt.Errorf("status %d: %s", w.Code, w.Body)
	}
	var out []results.Line
	for _, text := range strings.Split(strings.TrimSpace(w.Body.String()), "\n") {
		if text == "" {
			continue
		}
		var line results.Line
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			return nil, err
		}
		out = append(out, line)
	}
	return out, nil
}

func decode[T any](w *httptest.ResponseRecorder) (T, string) {
	var out T
	if w.Code != http.StatusOK {
		return out, w.Body.String()
	}
	if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
		return out, err.Error()
	}
	return out, ""
}

const testURL = "/v1/chat/completions"

func inputLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":%q,"body":{"n":%d}}`+"\n", i, testURL, i)
	}
	return b.String()
}

// waitForStatus waits until a job has the status, or for at most limit, and returns
// its last batch object.
func (c *cluster) waitForStatus(id core.JobID, status string, limit time.Duration) batchhttp.Batch {
	deadline := time.Now().Add(limit)
	for {
		b := c.nodes[0].status(id)
		if b.Status == status || time.Now().After(deadline) {
			return b
		}
		time.Sleep(time.Second)
	}
}
