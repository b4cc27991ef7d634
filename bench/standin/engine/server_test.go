package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
	"gentiantide.example/gentiantide/bench/standin/weights"
	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/backend/openai"
	"gentiantide.example/gentiantide/internal/httpsend"
)

func startServer(t *testing.T, change func(*Params)) (*Server, *openai.Engine, string) {
	p := DefaultParams()
	p.StepBase, p.StepPerSequence, p.LoadLag = time.Millisecond, 0, 0
	if change != nil {
		change(&p)
	}
	server := NewServer(p)
	t.Cleanup(server.Close)
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	return server, openai.New(httpsend.New(), httpServer.URL), httpServer.URL
}

func completionRequest(id, prompt string, tokens int) backend.GenerateRequest {
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens})
	return backend.GenerateRequest{ID: id, Path: "/v1/completions", Body: body}
}

func readAll(stream backend.Stream, text string) (string, error) {
	for {
		token, err := stream.Next()
		if err != nil {
			return text, err
		}
		text += token.Text
	}
}

// Guards against output that depends on anything but the prompt, and against a
// resume that repeats or loses tokens.
func TestResumeCompletesTheOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	server, engine, _ := startServer(t, nil)
	want := OutputText("tell me", 30)
	server.Fault.Set(Fault{CutAfter: 7})
	req, text, streams := completionRequest("r", "tell me", 30), "", 0
	for {
		streams++
		stream, err := engine.Generate(t.Context(), req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		text, err = readAll(stream, text)
		if err == io.EOF {
			g.Expect(stream.Finish()).To(gomega.Equal(backend.Finish{Reason: "length", PromptTokens: 2, OutputTokens: 30}))
			break
		}
		g.Expect(err).To(gomega.MatchError(backend.ErrInterrupted))
		g.Expect(text).To(gomega.Equal(OutputText("tell me", 7*streams)))
		req.ResumeFrom, req.Generated = 7*streams, text
	}
	g.Expect(streams).To(gomega.Equal(5))
	g.Expect(text).To(gomega.Equal(want))
	g.Expect(server.Engine.Stats(true).ByID["r"]).To(gomega.Equal(ExecutionCounts{Starts: 5, Resumes: 4, Completions: 1}))

	req.ResumeFrom, req.Generated = 2, "wrong "
	_, err := engine.Generate(t.Context(), req)
	g.Expect(err).To(gomega.MatchError(backend.ErrInvalid))
}

// Guards against an injected fault that the adapter reports as another error.
func TestFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	server, engine, _ := startServer(t, nil)
	generate := func(f Fault) error {
		server.Fault.Set(f)
		_, err := engine.Generate(t.Context(), completionRequest("r", "a bad item", 5))
		return err
	}
	g.Expect(generate(Fault{Refuse: 1})).To(gomega.MatchError(backend.ErrRefused))
	g.Expect(server.Engine.Stats(false).Started).To(gomega.BeZero())
	g.Expect(generate(Fault{Poison: "bad"})).To(gomega.MatchError(backend.ErrFailed))
	g.Expect(generate(Fault{Drop: 1})).To(gomega.MatchError(backend.ErrInterrupted))
	g.Expect(generate(Fault{Crash: true})).To(gomega.MatchError(backend.ErrInterrupted))
	_, err := engine.Load(t.Context())
	g.Expect(err).To(gomega.MatchError(backend.ErrUnreachable))
	g.Expect(generate(Fault{Leaving: true})).To(gomega.Succeed())
	load, err := engine.Load(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(load.Leaving).To(gomega.BeTrue())
}

// Guards against a stream that hangs or ends without an error when the engine
// crashes.
func TestCrashInterruptsStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	server, engine, _ := startServer(t, nil)
	server.Fault.Set(Fault{Pause: true})
	stream, err := engine.Generate(t.Context(), completionRequest("r", "p", 5))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server.Fault.Set(Fault{Crash: true})
	_, err = readAll(stream, "")
	g.Expect(err).To(gomega.MatchError(backend.ErrInterrupted))
}

// Guards against a slot that stays occupied after the caller has closed its
// stream, also on an engine that does not detect closed connections.
func TestClosedStreamFreesItsSlot(t *testing.T) {
	for _, deferClose := range []bool{false, true} {
		t.Run(fmt.Sprint("defer_close=", deferClose), func(t *testing.T) {
			g := gomega.NewWithT(t)
			server, engine, _ := startServer(t, func(p *Params) { p.Slots = 1 })
			server.Fault.Set(Fault{DeferClose: deferClose})
			first, err := engine.Generate(t.Context(), completionRequest("first", "p", 100_000))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			second, err := engine.Generate(t.Context(), completionRequest("second", "q", 2))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = first.Next()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(first.Close()).To(gomega.Succeed())
			text, err := readAll(second, "")
			g.Expect(err).To(gomega.BeIdenticalTo(io.EOF))
			g.Expect(text).To(gomega.Equal(OutputText("q", 2)))
			g.Expect(server.Engine.Stats(false).Cancelled).To(gomega.Equal(int64(1)))
		})
	}
}

// Guards against a fenced order that the adapter reports as another error, and
// against listing a model whose weights could not be loaded.
func TestOrdersOverHTTP(t *testing.T) {
	g := gomega.NewWithT(t)
	store := weights.New(weights.Params{Size: 1 << 20, Models: []string{"m@2"}})
	httpServer := httptest.NewServer(store)
	defer httpServer.Close()
	_, engine, _ := startServer(t, func(p *Params) { p.WeightsURL, p.Models = httpServer.URL, []string{"m@1"} })
	order := backend.Order{Kind: backend.OrderLoad, Model: "m", Version: "3", FencingNumber: 2}
	g.Expect(engine.Order(t.Context(), order)).To(gomega.Succeed())
	order.Version = "2"
	g.Expect(engine.Order(t.Context(), order)).To(gomega.Succeed())
	models := func() []string {
		load, _ := engine.Load(t.Context())
		return load.Models
	}
	g.Eventually(models).Should(gomega.ConsistOf("m@1", "m@2"))
	g.Expect(store.Stats()).To(gomega.Equal(weights.Stats{Streams: 1, Completed: 1, Bytes: 1 << 20}))
	order.FencingNumber = 1
	g.Expect(engine.Order(t.Context(), order)).To(gomega.MatchError(backend.ErrFenced))
	order.Kind = "other"
	g.Expect(engine.Order(t.Context(), order)).To(gomega.MatchError(backend.ErrInvalid))
}

// Guards against a transferred KV cache that saves no prefill on the new engine.
func TestImportedKVCacheSavesPrefill(t *testing.T) {
	g := gomega.NewWithT(t)
	sourceServer, source, sourceURL := startServer(t, nil)
	targetServer, target, targetURL := startServer(t, nil)
	req := completionRequest("r", strings.Repeat("word ", 100), 4)
	sourceServer.Fault.Set(Fault{CutAfter: 2})
	stream, err := source.Generate(t.Context(), req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Generated, _ = readAll(stream, "")
	req.ResumeFrom = 2

	client := httpsend.New()
	call := func(method, base string, body []byte) httpsend.Response {
		reply, err := client.Fetch(context.Background(), httpsend.Request{Method: method, URL: base + "/v1/kv/r", Body: body}, 1<<20)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return reply
	}
	blob := call(http.MethodGet, sourceURL, nil)
	g.Expect(blob.Status).To(gomega.Equal(http.StatusOK))
	g.Expect(call(http.MethodPut, targetURL, blob.Body).Status).To(gomega.Equal(http.StatusNoContent))
	stream, err = target.Generate(t.Context(), req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text, err := readAll(stream, req.Generated)
	g.Expect(err).To(gomega.BeIdenticalTo(io.EOF))
	g.Expect(text).To(gomega.Equal(OutputText(strings.Repeat("word ", 100), 4)))
	g.Expect(targetServer.Engine.Stats(false).PrefillTokens).To(gomega.BeZero())
}

// Guards against invalid requests that are accepted or that stop the engine.
func TestInvalidRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	server, _, base := startServer(t, nil)
	for _, c := range []struct{ method, path, body string }{
		{"POST", "/v1/completions", `{`},
		{"POST", "/v1/completions", `{}`},
		{"POST", "/v1/completions", `{"prompt":"p","max_tokens":0}`},
		{"POST", "/v1/completions", `{"prompt":"p","max_tokens":200000}`},
		{"POST", "/v1/completions", `{"prompt":"p","resume_from":-1}`},
		{"POST", "/v1/completions", `{"prompt":"p","max_tokens":1,"resume_from":2}`},
		{"POST", "/v1/chat/completions", `{"messages":[]}`},
		{"POST", "/v1/chat/completions", `{"messages":[{"content":7}]}`},
		{"POST", "/v1/orders", `{"Kind":"load"}`},
		{"POST", "/v1/orders", `{"Kind":"set_role","Role":"r","Unknown":1}`},
		{"PUT", "/v1/kv/r", `{"magic":"other"}`},
		{"DELETE", "/v1/requests/r?run=x", ``},
		{"GET", "/v1/cache/events?after=x", ``},
		{"POST", "/fault", `{"slowdown":-1}`},
		{"POST", "/fault", `{"refuse":2}`},
		{"POST", "/fault", `{"unknown":true}`},
		{"POST", "/fault", `{} {}`},
	} {
		req, err := http.NewRequest(c.method, base+c.path, strings.NewReader(c.body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp.Body.Close()
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadRequest), "%+v", c)
	}
	g.Expect(server.Engine.Stats(false).Accepted).To(gomega.BeZero())
	g.Expect(server.Fault.Get()).To(gomega.Equal(Fault{}))
}

// Guards against decoding a duration in the wrong unit.
func TestFaultDuration(t *testing.T) {
	g := gomega.NewWithT(t)
	var d httpkit.Duration
	g.Expect(json.Unmarshal([]byte(`"50ms"`), &d)).To(gomega.Succeed())
	g.Expect(time.Duration(d)).To(gomega.Equal(50 * time.Millisecond))
	g.Expect(json.Unmarshal([]byte(`1000`), &d)).To(gomega.Succeed())
	g.Expect(time.Duration(d)).To(gomega.Equal(time.Microsecond))
	g.Expect(json.Unmarshal([]byte(`"50"`), &d)).NotTo(gomega.Succeed())
	g.Expect(json.Unmarshal([]byte(`-1`), &d)).NotTo(gomega.Succeed())
}
