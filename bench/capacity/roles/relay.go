package roles

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/harness"
)

const (
	// peakRequests and peakTokens are the peak load of a node.
	peakRequests = 22  // requests/s
	peakTokens   = 454 // tokens per request: 10,000 tokens/s / 22 requests/s
	relayModel   = "verse-1"
)

// Relay measures the CPU time and the memory of one gentiantided process between a
// client and stand-in engines on loopback.
func Relay(env *Environment) error {
	r, err := newRelayRun(env)
	if err != nil {
		return err
	}
	defer r.fleet.Close()
	for _, measure := range []func(*Environment) error{r.requests, r.tokens, r.streams} {
		if err := measure(env); err != nil {
			return err
		}
	}
	if failed := r.failed.Load(); failed > 0 {
		return fmt.Errorf("%d of %d calls failed", failed, r.sent.Load())
	}
	return nil
}

// relayRun is a running node with its engines and the client that sends the load.
type relayRun struct {
	fleet        *harness.Fleet
	client       *client.Client
	wait         sync.WaitGroup
	sent, failed atomic.Int64
}

func newRelayRun(env *Environment) (*relayRun, error) {
	fleet, err := harness.Start(harness.Options{
		BinDir: env.BinDir, WorkDir: env.WorkDir, Region: "luzon", DataCentres: []string{"luzon-a"}, NodesPerDC: 1, EnginesPerDC: 5,
		EngineDeployment: "verse-models", PlainDeployment: "none", StopGrace: "1s",
		// An engine makes a token every 10 ms: a stream of 454 tokens lasts 4.5 s.
		EngineArgs: []string{"-slots", "256", "-step-base", "10ms", "-step-per-sequence", "0s", "-step-per-context", "0s",
			"-kv-tokens", "100000000", "-long-one-in", "0"},
	})
	if err != nil {
		return nil, err
	}
	r := &relayRun{fleet: fleet, client: client.New()}
	if err := r.configure(); err != nil {
		fleet.Close()
		return nil, err
	}
	return r, nil
}

func (r *relayRun) configure() error {
	node := r.fleet.Nodes[0]
	if err := r.fleet.WaitReady(node); err != nil {
		return err
	}
	if _, err := r.fleet.Do(context.Background(), http.MethodPost, node.OperatorsURL()+"/admin/v1/settings", map[string]any{
		"path": "/services/verse-models", "base_version": 0, "author": "capacity",
		"set": map[string]any{"kind": "model", "model": relayModel},
	}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // until the node has polled the engines
	return r.fleet.WaitReady(node)
}

// load sends requests at a rate per second until ctx ends.
func (r *relayRun) load(ctx context.Context, rate, tokens int) {
	if rate == 0 {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		r.wait.Go(func() { r.sendRequest(context.Background(), i, tokens) })
		<-ticker.C
	}
}

func (r *relayRun) sendRequest(ctx context.Context, i, tokens int) {
	result := r.client.Do(ctx, client.Call{Base: r.fleet.Nodes[0].URL(), Path: "/v1/chat/completions", Org: "shop", Stream: true,
		Body: map[string]any{"model": relayModel, "max_tokens": tokens, "messages": []any{
			map[string]string{"role": "user", "content": fmt.Sprintf("A couplet for counter %d, please.", i)}}}})
	r.sent.Add(1)
	if !result.OK() && ctx.Err() == nil {
		r.failed.Add(1)
	}
}

// cpuShare returns the CPU time of the node under a steady load, and the part of it
// in the kernel, as shares of a core.
func (r *relayRun) cpuShare(rate, tokens int) (total, system float64, err error) {
	const seconds = 4
	ctx, cancel := context.WithCancel(context.Background())
	go r.load(ctx, rate, tokens)
	defer func() { cancel(); r.wait.Wait() }()
	time.Sleep(time.Second + time.Duration(tokens)*11*time.Millisecond)
	pid := r.fleet.Nodes[0].Process.PID()
	userBefore, systemBefore, err := meter.ProcessCPUTime(pid)
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	time.Sleep(seconds * time.Second)
	user, kernel, err := meter.ProcessCPUTime(pid)
	took := time.Since(began).Seconds()
	system = (kernel - systemBefore).Seconds() / took
	return (user-userBefore).Seconds()/took + system, system, err
}

// requests measures the CPU time of requests of one token by their rate.
func (r *relayRun) requests(env *Environment) error {
	s := &slope.Slope{Name: "relay.cpu_per_request", Unit: "ms"}
	for _, rate := range []int{0, 22, 88} {
		cpuShare, _, err := r.cpuShare(rate, 1)
		if err != nil {
			return err
		}
		s.Add(float64(rate), cpuShare*1000)
	}
	env.Print.Slope(s)
	return nil
}

// tokens measures the CPU time of tokens at the peak rate of requests.
func (r *relayRun) tokens(env *Environment) error {
	s := &slope.Slope{Name: "relay.cpu_per_token", Unit: "us"}
	for _, tokens := range []int{1, 200, peakTokens} {
		cpuShare, system, err := r.cpuShare(peakRequests, tokens)
		if err != nil {
			return err
		}
		s.Add(float64(peakRequests*tokens), cpuShare*1e6)
		if tokens == peakTokens {
			env.Print.Figure("relay.cpu_at_peak", cpuShare*100, "%core/node", "22 requests/s of 454 tokens, streamed, 1 node and 5 engines")
			env.Print.Figure("relay.kernel_cpu_at_peak", system*100, "%core/node", "the part of relay.cpu_at_peak in the kernel")
		}
	}
	env.Print.Slope(s)
	return nil
}

// streams measures the resident memory of the node by number of open streams.
func (r *relayRun) streams(env *Environment) error {
	s := &slope.Slope{Name: "relay.memory_per_stream", Unit: "B"}
	ctx, cancel := context.WithCancel(context.Background())
	pid, open := r.fleet.Nodes[0].Process.PID(), 0
	for _, n := range []int{0, 250, 500, 1000} {
		for ; open < n; open++ {
			i := open
			r.wait.Go(func() { r.sendRequest(ctx, i, 100_000) })
		}
		time.Sleep(3 * time.Second)
		memory, err := meter.ResidentMemory(pid)
		if err != nil {
			cancel()
			return err
		}
		s.Add(float64(n), memory)
	}
	cancel()
	r.wait.Wait()
	env.Print.Slope(s)
	return nil
}
