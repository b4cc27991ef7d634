package callers

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/intent"
	"gentiantide.example/gentiantide/internal/relay"
	"gentiantide.example/gentiantide/internal/settings"
)

// fakeRelay returns scripted tokens, responses and refusals.
type fakeRelay struct {
	mu       sync.Mutex
	tokens   []string
	refusal  *core.Refusal
	response backend.CallResponse
	sends    int
	gen      relay.Generation
	call     relay.PlainCall
	block    chan struct{} // if set, requests wait until it is closed or their context ends
	entered  chan struct{} // receives when a request starts to wait
	ctxErr   error         // context error at the end of the last request
}

func (f *fakeRelay) begin(ctx context.Context, gate func() *core.Refusal) {
	f.mu.Lock()
	f.sends++
	f.mu.Unlock()
	if gate != nil {
		_ = gate()
	}
	if f.block != nil {
		f.entered <- struct{}{}
		select {
		case <-f.block:
		case <-ctx.Done():
		}
	}
	f.ctxErr = ctx.Err()
}

func (f *fakeRelay) Generate(ctx context.Context, g relay.Generation, sink relay.Sink) (relay.Result, *core.Refusal) {
	f.begin(ctx, g.BeforeSend)
	f.gen = g
	for _, token := range f.tokens {
		if err := sink.Token(token); err != nil {
			return relay.Result{}, core.Fail(core.CodeCancelled, err.Error())
		}
	}
	return relay.Result{Text: strings.Join(f.tokens, ""), Tokens: len(f.tokens), FinishReason: "stop", PromptTokens: 5}, f.refusal
}

func (f *fakeRelay) Call(ctx context.Context, c relay.PlainCall) (relay.CallResult, *core.Refusal) {
	f.begin(ctx, c.BeforeSend)
	f.call = c
	return relay.CallResult{Response: f.response}, f.refusal
}

// fixture is an API over a fake relay and a real intent store.
type fixture struct {
	*fakeRelay
	table *infratest.Table
	mux   *http.ServeMux
}

func newFixture(t *testing.T, authRequired bool) *fixture {
	digest := sha256.Sum256([]byte("secret"))
	snapshot := settings.NewSnapshot(settings.SnapshotInput{
		AuthRequired: authRequired,
		Deployments: []settings.Deployment{
			{ID: "verse-models", Kind: settings.KindModel, Model: "verse", OnlineDeadline: time.Minute},
			{ID: "permit-desk", Kind: settings.KindPlain, Route: "/permit-desk/", NonIdempotentRoutes: []string{"POST /permit-desk/issue"}},
		},
		Orgs: []settings.Organisation{{ID: "tulaan", KeySHA256: []string{hex.EncodeToString(digest[:])}, MaxInFlight: 1}},
	})
	var mu sync.Mutex
	n := 0
	id := func() string {
		mu.Lock()
		defer mu.Unlock()
		n++
		return "id" + strconv.Itoa(n)
	}
	f := &fixture{fakeRelay: &fakeRelay{}, table: infratest.NewTable(), mux: http.NewServeMux()}
	store := intent.New(intent.Config{Table: f.table, NewID: id})
	t.Cleanup(store.Close)
	Register(f.mux, Config{
		Relay: f.fakeRelay, Intents: store, NewID: id,
		Settings: func() *settings.Snapshot { return snapshot },
		Ready:    func() *core.Refusal { return core.Refuse(core.CodeStopping, "leaving") },
	})
	return f
}

func (f *fixture) do(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.mux.ServeHTTP(w, r)
	return w
}

const chatBody = `{"model":"verse","messages":[{"role":"user","content":"two lines on tides"}],"max_tokens":40,"top_k":7}`

func streamed(body string) string {
	return strings.Replace(body, `{`, `{"stream":true,"resume_from":3,`, 1)
}

// Guards against responses that clients of the OpenAI API cannot parse, against
// request fields that are lost, and against fields of the relay that are taken
// from the caller.
func TestGenerationResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, false)
	f.tokens = []string{"high \"tide\"\n", "é\x01\xff"}

	w := f.do("POST", pathChat, chatBody, headerTimeout, "2s")
	g.Expect(w.Code).To(gomega.Equal(200))
	g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"choices":[{"index":0,"message":{"role":"assistant","content":"high \"tide\"\né\u0001\ufffd"},"finish_reason":"stop"}],"usage":{"prompt_tokens":5,"completion_tokens":2,"total_tokens":7}`))
	g.Expect(json.Valid(w.Body.Bytes())).To(gomega.BeTrue())
	g.Expect(f.gen.ExpectedTokens).To(gomega.Equal(40))
	g.Expect(f.gen.PrefixHash).NotTo(gomega.BeZero())
	g.Expect(time.Until(f.gen.Deadline)).To(gomega.BeNumerically("<=", 2*time.Second))

	w = f.do("POST", pathCompletions, `{"model":"verse","prompt":"tides","stream":true,"stream_options":{"include_usage":true}}`, headerTimeout, "1h")
	g.Expect(time.Until(f.gen.Deadline)).To(gomega.BeNumerically("<=", time.Minute), "the caller's timeout can only shorten the deadline")
	g.Expect(w.Flushed).To(gomega.BeTrue())
	events := strings.Split(strings.TrimSpace(w.Body.String()), "\n\n")
	g.Expect(w.Header().Get("Content-Type")).To(gomega.Equal("text/event-stream"))
	g.Expect(events).To(gomega.HaveLen(5))
	g.Expect(events[0]).To(gomega.ContainSubstring(`"text":"high \"tide\"\n"`))
	g.Expect(events[3]).To(gomega.ContainSubstring(`"choices":[],"usage":{`))
	g.Expect(events[4]).To(gomega.Equal("data: [DONE]"))
	for _, event := range events[:4] {
		g.Expect(json.Valid([]byte(strings.TrimPrefix(event, "data: ")))).To(gomega.BeTrue(), event)
	}

	f.do("POST", pathChat, streamed(chatBody))
	g.Expect(f.gen.Body).To(gomega.MatchJSON(chatBody))
}

// Guards against an interrupted stream that looks complete, and against an error
// without its own status although nothing was written before it.
func TestStreamFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, false)
	f.refusal = core.Fail(core.CodeStreamInterrupted, "engine lost")
	w := f.do("POST", pathChat, streamed(chatBody))
	g.Expect(w.Code).To(gomega.Equal(502))
	g.Expect(w.Body.String()).To(gomega.MatchJSON(`{"error":{"type":"server_error","code":"stream_interrupted","message":"engine lost","not_run":"unknown"}}`))

	f.tokens = []string{"high"}
	w = f.do("POST", pathChat, streamed(chatBody))
	g.Expect(w.Code).To(gomega.Equal(200))
	g.Expect(w.Body.String()).To(gomega.ContainSubstring("\n\nevent: error\ndata: {\"error\":{"))
	g.Expect(w.Body.String()).NotTo(gomega.ContainSubstring("[DONE]"))

	f.refusal = &core.Refusal{Code: core.CodeOverloaded, Execution: core.NotRun, RetryAfter: 1200 * time.Millisecond}
	w = f.do("POST", pathChat, chatBody)
	g.Expect(w.Code).To(gomega.Equal(429))
	g.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("2"))
	g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"not_run":true`))
}

// Guards against requests that run although they are invalid or not allowed.
func TestInvalidRequests(t *testing.T) {
	f := newFixture(t, false)
	secured := newFixture(t, true)
	for name, c := range map[string]struct {
		f                  *fixture
		method, path, body string
		headers            []string
		status             int
		code               core.Code
	}{
		"not an object":   {method: "POST", path: pathChat, body: `null`, status: 400, code: core.CodeInvalidRequest},
		"no messages":     {method: "POST", path: pathChat, body: `{"model":"verse"}`, status: 400, code: core.CodeInvalidRequest},
		"no role":         {method: "POST", path: pathChat, body: `{"model":"verse","messages":[{"content":"a"}]}`, status: 400, code: core.CodeInvalidRequest},
		"no prompt":       {method: "POST", path: pathCompletions, body: `{"model":"verse"}`, status: 400, code: core.CodeInvalidRequest},
		"bad max_tokens":  {method: "POST", path: pathCompletions, body: `{"model":"verse","prompt":"a","max_tokens":0}`, status: 400, code: core.CodeInvalidRequest},
		"two choices":     {method: "POST", path: pathCompletions, body: `{"model":"verse","prompt":"a","n":2}`, status: 400, code: core.CodeInvalidRequest},
		"too large":       {method: "POST", path: pathChat, body: strings.Repeat(" ", maxBodyBytes) + chatBody, status: 400, code: core.CodeInvalidRequest},
		"unknown model":   {method: "POST", path: pathChat, body: strings.Replace(chatBody, "verse", "prose", 1), status: 404, code: core.CodeModelNotFound},
		"unknown route":   {method: "GET", path: "/elsewhere", status: 404, code: core.CodeNotFound},
		"bad timeout":     {method: "GET", path: "/permit-desk/a", headers: []string{headerTimeout, "-1s"}, status: 400, code: core.CodeInvalidRequest},
		"bad boolean":     {method: "GET", path: "/permit-desk/a", headers: []string{headerNonIdempotent, "perhaps"}, status: 400, code: core.CodeInvalidRequest},
		"long key":        {method: "GET", path: "/permit-desk/a", headers: []string{headerIdempotencyKey, strings.Repeat("k", 256)}, status: 400, code: core.CodeInvalidRequest},
		"no API key":      {f: secured, method: "POST", path: pathChat, body: chatBody, status: 401, code: core.CodeUnauthorized},
		"wrong API key":   {f: secured, method: "GET", path: "/v1/models", headers: []string{"Authorization", "Bearer guess"}, status: 401, code: core.CodeUnauthorized},
		"node not ready":  {method: "GET", path: "/readyz", status: 503, code: core.CodeStopping},
		"wrong method":    {method: "GET", path: pathChat, status: 404, code: core.CodeNotFound},
		"long org header": {method: "GET", path: "/v1/models", headers: []string{"OpenAI-Organization", strings.Repeat("o", 129)}, status: 400, code: core.CodeInvalidRequest},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			if c.f == nil {
				c.f = f
			}
			w := c.f.do(c.method, c.path, c.body, c.headers...)
			g.Expect(w.Code).To(gomega.Equal(c.status))
			g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"code":"` + string(c.code) + `"`))
			g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"not_run":true`))
			g.Expect(c.f.sends).To(gomega.BeZero())
		})
	}
}

// brokenWriter is the response writer of a caller that has disconnected.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, net.ErrClosed }

// Guards against a second execution of a non-idempotent call with an idempotency
// key, and against retries that are refused although the call did not run.
func TestIdempotencyKey(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, false)
	f.response = backend.CallResponse{Status: 201, Header: http.Header{"X-Permit": {"7"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}, Body: []byte("permit 7")}
	issue := func(body string, headers ...string) *httptest.ResponseRecorder {
		return f.do("POST", "/permit-desk/issue", body, append(headers, headerIdempotencyKey, "k1")...)
	}
	f.table.SetFaultPlan(infratest.FaultPlan{Down: true})
	w := issue("a")
	g.Expect(w.Code).To(gomega.Equal(503))
	g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"not_run":true`))
	g.Expect(f.sends).To(gomega.BeZero())
	f.table.SetFaultPlan(infratest.FaultPlan{})

	f.refusal = core.Refuse(core.CodeNoBackend, "unreachable")
	g.Expect(issue("a").Code).To(gomega.Equal(503))
	f.refusal = nil
	for i, replayed := range []string{"", "true"} {
		w = issue("a", "Authorization", "Bearer x")
		g.Expect(w.Code).To(gomega.Equal(201))
		g.Expect(w.Body.String()).To(gomega.Equal("permit 7"))
		g.Expect(w.Header().Get("X-Permit")).To(gomega.Equal("7"))
		g.Expect(w.Header()).NotTo(gomega.HaveKey("X-Hop"))
		g.Expect(w.Header().Get(headerReplayed)).To(gomega.Equal(replayed))
		g.Expect(f.sends).To(gomega.Equal(2), "call %d", i)
	}
	g.Expect(f.call.NonIdempotent).To(gomega.BeTrue())
	g.Expect(f.call.Call.Header).NotTo(gomega.HaveKey("Authorization"))
	w = issue("b")
	g.Expect(w.Code).To(gomega.Equal(409))
	g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"code":"key_reused"`))

	f.refusal = core.Fail(core.CodeBackendFailed, "broken")
	for _, status := range []int{502, 409} {
		w = f.do("POST", pathChat, streamed(chatBody), headerIdempotencyKey, "k2", headerNonIdempotent, "true")
		g.Expect(w.Code).To(gomega.Equal(status))
		g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"not_run":"unknown"`))
		g.Expect(f.sends).To(gomega.Equal(3))
	}
	f.refusal, f.tokens = nil, []string{"a", "b"}
	r := httptest.NewRequest("POST", pathChat, strings.NewReader(streamed(chatBody)))
	r.Header.Set(headerIdempotencyKey, "k3")
	r.Header.Set(headerNonIdempotent, "true")
	f.mux.ServeHTTP(brokenWriter{httptest.NewRecorder()}, r)
	first := f.do("POST", pathChat, streamed(chatBody), headerIdempotencyKey, "k3", headerNonIdempotent, "true")
	g.Expect(first.Body.String()).To(gomega.ContainSubstring("[DONE]"), "stored although the caller had disconnected")
	again := f.do("POST", pathChat, streamed(chatBody), headerIdempotencyKey, "k3", headerNonIdempotent, "true")
	g.Expect(again.Body.String()).To(gomega.Equal(first.Body.String()))
	g.Expect(f.sends).To(gomega.Equal(4))
}

// Guards against work that continues for a caller that has disconnected, against a
// call with an idempotency key whose response is lost with its caller, and against
// an organisation that exceeds its limit of requests in progress.
func TestDisconnectAndInFlightLimit(t *testing.T) {
	for name, path := range map[string]string{"generation": pathChat, "plain": "/permit-desk/issue", "keyed": "/permit-desk/issue"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				withKey := name == "keyed"
				g := gomega.NewWithT(t)
				f := newFixture(t, true)
				f.block, f.entered = make(chan struct{}), make(chan struct{}, 1)
				f.response = backend.CallResponse{Status: 200}
				ctx, cancel := context.WithCancel(t.Context())
				r := httptest.NewRequestWithContext(ctx, "POST", path, strings.NewReader(chatBody))
				r.Header.Set("Authorization", "Bearer secret")
				if withKey {
					r.Header.Set(headerIdempotencyKey, "k")
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					f.mux.ServeHTTP(httptest.NewRecorder(), r)
				}()
				<-f.entered
				second := f.do("GET", "/permit-desk/a", "", "Authorization", "Bearer secret")
				g.Expect(second.Code).To(gomega.Equal(429))
				g.Expect(second.Body.String()).To(gomega.ContainSubstring(`"not_run":true`))
				cancel()
				if withKey {
					close(f.block)
				}
				<-done
				g.Expect(f.ctxErr == nil).To(gomega.Equal(withKey))
				g.Expect(f.sends).To(gomega.Equal(1))
				if !withKey {
					close(f.block)
				}
				third := f.do("POST", path, chatBody, "Authorization", "Bearer secret", headerIdempotencyKey, "k")
				g.Expect(third.Code).To(gomega.Equal(200), "the limit admits requests again")
				g.Expect(third.Header().Get(headerReplayed) == "true").To(gomega.Equal(withKey))
			})
		})
	}
}
