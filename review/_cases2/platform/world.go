// Command cases2 plays the cases of the second review: it starts nodes of the system as
// processes on loopback, with stand-ins of the platform, the replicas and the clients in its
// own process, and checks one rule.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

// site holds what a case takes from a site file.
type site struct {
	host            string
	zones           []string
	region          string
	models, plain   string // services
	batch, safe     string // path prefixes
	memoryMB        int
	cpuShare        float64
	linkMbps        float64
	contact         time.Duration
	maxQueuedTokens int
}

var permits = site{
	host: "permits.example", zones: []string{"howrah-a", "kolkata-b", "serampore-c"}, region: "bengal-east",
	models: "diya-models", plain: "permit-desk", batch: "/letters/", safe: "/status/",
	memoryMB: 164, cpuShare: 0.8, linkMbps: 1000, contact: 3 * time.Second, maxQueuedTokens: 2_300_000,
}

// licences has the memory of the larger machines of its site.
var licences = site{
	host: "licences.example", zones: []string{"morava-a", "morava-b", "morava-c"}, region: "cz-morava",
	models: "licence-assist-llm", plain: "seat-broker-api", batch: "/digests/", safe: "/heartbeat/",
	memoryMB: 536, cpuShare: 0.8, linkMbps: 600, contact: 4 * time.Second, maxQueuedTokens: 3_900_000,
}

const (
	graceSeconds     = 8
	statusSeconds    = 120
	readyTimeout     = 20 * time.Second
	settingsVariable = "GENTIANTIDE_BOOT"
)

// world is a small deployment.
type world struct {
	site
	dir     string
	started time.Time
	store   *platformtest.Store
	// storeAddress is that of the stand-in of the platform's store.
	storeAddress string
	storeServer  *http.Server
	nodes        []*node
	replicas     []*platformtest.Replica

	mu     sync.Mutex
	record *os.File
}

// node is a process of the system.
type node struct {
	name, zone            string
	front, ready, control string
	settings              string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

func newWorld(s site, recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{site: s, dir: dir, started: time.Now(), store: platformtest.NewStore(), record: record}
	if err := w.serveStore(); err != nil {
		return nil, err
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.close()
		os.Exit(2)
	}()
	return w, nil
}

// serveStore serves the store at another address than before.
func (w *world) serveStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.store}
	w.storeAddress, w.storeServer = listener.Addr().String(), server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// addReplicas starts replicas of a service and registers them.
func (w *world) addReplicas(service string, count, events int, gap time.Duration) ([]*platformtest.Replica, error) {
	var out []*platformtest.Replica
	for i := range count {
		r, err := platformtest.NewReplica(fmt.Sprintf("i-%s-%d", service, i), events)
		if err != nil {
			return nil, err
		}
		r.Born = time.Now().UnixMilli()
		r.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour {
			return platformtest.Behaviour{EventGap: gap}
		})
		if err := w.store.Register(r, service, w.zones[i%len(w.zones)], "ready"); err != nil {
			return nil, err
		}
		out = append(out, r)
		w.replicas = append(w.replicas, r)
	}
	return out, nil
}

type route map[string]any

// configure writes a configuration, as the operator does.
func (w *world) configure(version int, extra ...route) error {
	routes := append([]route{
		{"name": "batch", "host": w.host, "path-prefix": w.batch, "kind": "batch", "service": w.models, "timeout-ms": 15000, "target-latency-ms": 500,
			"max-attempts": 3, "can-resume": true, "due-ms": 18000, "max-queue-s": 60, "max-queued-tokens": w.maxQueuedTokens, "priority": 2},
		{"name": "plain", "host": w.host, "path-prefix": w.safe, "kind": "safe", "service": w.plain, "timeout-ms": 4000, "target-latency-ms": 300,
			"max-attempts": 3, "priority": 2},
	}, extra...)
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": w.models, "health-path": "/health", "max-conns": 210, "engine": map[string]any{"slots": 8, "kv-capacity": 147261, "models": []any{map[string]any{"name": "m"}}}},
			{"name": w.plain, "health-path": "/health", "max-conns": 110},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		return err
	}
	return w.store.Put("op", "config", string(value))
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// startNodes starts nodes, one a zone in turn, and waits until they are ready.
func (w *world) startNodes(n int) error {
	addresses, err := freeAddresses(3 * n)
	if err != nil {
		return err
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{
			name: fmt.Sprintf("front-%s-%d", w.zones[i%len(w.zones)], i/len(w.zones)+1), zone: w.zones[i%len(w.zones)],
			front: addresses[3*i], ready: addresses[3*i+1], control: addresses[3*i+2],
		})
	}
	for _, nd := range w.nodes {
		if err := w.writeSettings(nd, w.storeAddress, graceSeconds); err != nil {
			return err
		}
		if err := w.start(nd); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, nd := range w.nodes {
		for !isReady(nd) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", nd.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.note("%d nodes are ready", n)
	return nil
}

// writeSettings writes the settings file of a node as the platform does.
func (w *world) writeSettings(nd *node, store string, grace int) error {
	if nd.settings == "" {
		nd.settings = filepath.Join(w.dir, nd.name+".yaml")
	}
	seeds := ""
	for _, other := range w.nodes {
		seeds += fmt.Sprintf("  - %q\n", other.control)
	}
	text := fmt.Sprintf(`node-name: %q
role: "entry"
machine-class: "front"
serves:
  - "front"
  - "control"
ip: "127.0.0.1"
zone: %q
region: %q
listen:
  front: %q
  ready: %q
  control: %q
seeds:
%sbootstrap: true
limits:
  cpu-share: %g
  cores: 1
  memory-mb: %d
  max-fds: 8200
  link-mbps: %g
  disk-mb: 0
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1200
contract-params:
  contact-ms: %d
  ack-ms: 4000
  drain-ms: 2000
  grace-s: %d
  loss-slack-ms: 200
  config-apply-ms: 2000
  status-s: %d
  cancel-ms: 3000
  settle-ms: 1000
  quota-overage: 0.1
platform:
  address: %q
  form: "table"
`, nd.name, nd.zone, w.region, nd.front, nd.ready, nd.control, seeds, w.cpuShare, w.memoryMB, w.linkMbps, w.contact.Milliseconds(), grace, statusSeconds, store)
	temporary := nd.settings + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, nd.settings)
}

// start starts the process of a node with the command of the deploy file.
func (w *world) start(nd *node) error {
	log, err := os.Create(filepath.Join(w.dir, nd.name+".log"))
	if err != nil {
		return err
	}
	nd.cmd = exec.Command("target/gentiantided", "platform")
	nd.cmd.Env = []string{settingsVariable + "=" + nd.settings, "PATH=" + os.Getenv("PATH")}
	nd.cmd.Stdout, nd.cmd.Stderr = log, log
	nd.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := nd.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	nd.exited = exited
	cmd := nd.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func isReady(nd *node) bool {
	resp, err := http.Get("http://" + nd.ready + "/gentiantide/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, nd := range w.nodes {
		if nd.cmd != nil && nd.cmd.Process != nil {
			_ = nd.cmd.Process.Kill()
			<-nd.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call makes one call on a channel of its own.
func (w *world) call(method, address, path, id string, deadline time.Duration, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = w.host
	if id != "" {
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprint(a.status)
}

// jobBody returns the body of a batch job with the given items.
func (w *world) jobBody(job string, items, tokensIn, tokensOut int) []byte {
	var list []map[string]any
	for i := range items {
		id := fmt.Sprintf("%s-%d", job, i)
		list = append(list, map[string]any{
			"id": id, "path": w.batch + job + "/" + fmt.Sprint(i),
			"headers": map[string]string{
				"X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,%d", tokensIn, tokensOut),
				"X-Prompt-Prefix": fmt.Sprintf("a1:100,%s:%d", hex(id), tokensIn-100),
			},
			"body": []byte("body of " + id), "tokens": tokensIn + tokensOut,
		})
	}
	body, err := json.Marshal(map[string]any{"requests": list})
	if err != nil {
		panic(err)
	}
	return body
}

func hex(s string) string { return fmt.Sprintf("%x", s) }
