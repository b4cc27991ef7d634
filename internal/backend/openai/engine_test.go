package openai

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/httpsend"
)

func newTestEngine(t *testing.T, handler http.HandlerFunc) *Engine {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(httpsend.New(), server.URL)
}

var request = backend.GenerateRequest{ID: "r 1", Path: "/v1/completions", Body: []byte(`{"prompt":"p"}`)}

func readAll(stream backend.Stream) (string, error) {
	text := ""
	for {
		token, err := stream.Next()
		if err != nil {
			return text, err
		}
		text += token.Text
	}
}

const (
	firstChunk  = `data: {"token_index":0,"choices":[{"text":"a"}]}` + "\n\n"
	secondChunk = `data: {"id":"r","object":"o","token_index":1,"choices":[{"index":0,"text":"b","finish_reason":null}]}` + "\n\n"
	finalChunk  = `data: {"choices":[{"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":2}}` + "\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

// Guards against treating a broken or inconsistent stream as complete.
func TestStreamCompleteness(t *testing.T) {
	longText := strings.Repeat("x", 3*readBufferSize)
	for name, c := range map[string]struct {
		events, text string
		complete     bool
	}{
		"complete":                 {": comment\n\n" + firstChunk + secondChunk + finalChunk + doneEvent, "ab", true},
		"long event":               {strings.Replace(firstChunk, `"a"`, `"`+longText+`"`, 1) + secondChunk + finalChunk + doneEvent, longText + "b", true},
		"empty":                    {"", "", false},
		"no final chunk":           {firstChunk + secondChunk, "ab", false},
		"no done marker":           {firstChunk + secondChunk + finalChunk, "ab", false},
		"no finish reason":         {firstChunk + secondChunk + doneEvent, "ab", false},
		"truncated done marker":    {firstChunk + secondChunk + finalChunk + "data: [DONE]", "ab", false},
		"truncated event":          {firstChunk + secondChunk[:len(secondChunk)-4], "a", false},
		"missing token":            {secondChunk + finalChunk + doneEvent, "", false},
		"repeated token":           {firstChunk + firstChunk + secondChunk + finalChunk + doneEvent, "a", false},
		"fewer tokens than usage":  {firstChunk + finalChunk + doneEvent, "a", false},
		"error event":              {firstChunk + `data: {"error":{"message":"m"}}` + "\n\n" + finalChunk + doneEvent, "a", false},
		"text without token index": {`data: {"choices":[{"text":"a"}]}` + "\n\n" + finalChunk + doneEvent, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engine := newTestEngine(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.events) })
			stream, err := engine.Generate(t.Context(), request)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			text, err := readAll(stream)
			g.Expect(text).To(gomega.Equal(c.text))
			if c.complete {
				g.Expect(err).To(gomega.BeIdenticalTo(io.EOF))
				g.Expect(stream.Finish()).To(gomega.Equal(backend.Finish{Reason: "stop", PromptTokens: 1, OutputTokens: 2}))
			} else {
				g.Expect(err).To(gomega.MatchError(backend.ErrInterrupted))
				g.Expect(errors.Is(err, io.EOF)).To(gomega.BeFalse())
			}
			g.Expect(stream.Close()).To(gomega.Succeed())
		})
	}
}

// Guards against treating an error response as "not run" although the engine did
// not say so, and against confusing a failed or invalid request with a failure
// of the engine.
func TestErrorStatuses(t *testing.T) {
	for _, c := range []struct {
		status int
		notRun bool
		want   error
	}{
		{503, true, backend.ErrRefused},
		{429, true, backend.ErrRefused},
		{503, false, backend.ErrInterrupted},
		{502, false, backend.ErrInterrupted},
		{500, false, backend.ErrFailed},
		{400, false, backend.ErrInvalid},
	} {
		g := gomega.NewWithT(t)
		engine := newTestEngine(t, func(w http.ResponseWriter, _ *http.Request) {
			if c.notRun {
				w.Header().Set(headerNotRun, "true")
			}
			w.WriteHeader(c.status)
		})
		_, err := engine.Generate(t.Context(), request)
		g.Expect(err).To(gomega.MatchError(c.want), "status %d", c.status)
		if c.want != backend.ErrRefused {
			g.Expect(errors.Is(err, backend.ErrRefused)).To(gomega.BeFalse())
		}
	}
	_, err := New(httpsend.New(), "http://127.0.0.1:1").Generate(t.Context(), request)
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(backend.ErrUnreachable))
}

// Guards against a request body that lacks the caller's fields or the resume
// position.
func TestRequestBody(t *testing.T) {
	g := gomega.NewWithT(t)
	body := func(r backend.GenerateRequest) string {
		out, err := requestBody(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return string(out)
	}
	g.Expect(body(backend.GenerateRequest{Body: []byte(" { } ")})).To(gomega.MatchJSON(`{"stream":true}`))
	g.Expect(body(backend.GenerateRequest{Body: []byte(`{"prompt":"}"}`), ResumeFrom: 2, Generated: "a\"b"})).
		To(gomega.MatchJSON(`{"prompt":"}","stream":true,"resume_from":2,"generated":"a\"b"}`))
	for _, bad := range []string{"", "{", "[]", `{"a":}`, `{}{}`} {
		_, err := requestBody(backend.GenerateRequest{Body: []byte(bad)})
		g.Expect(err).To(gomega.MatchError(backend.ErrInvalid), bad)
	}
}

// Guards against a generation that keeps running after its stream was closed,
// and against a late cancellation that cancels a newer run of the same request.
func TestCloseCancelsItsRun(t *testing.T) {
	g := gomega.NewWithT(t)
	cancelled := make(chan string, 1)
	disconnected := make(chan struct{})
	engine := newTestEngine(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- r.URL.Path + " " + r.URL.Query().Get("run")
			return
		}
		w.Header().Set(headerEngineRun, "7")
		_, _ = io.WriteString(w, firstChunk)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(disconnected)
	})
	stream, err := engine.Generate(t.Context(), request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = stream.Next()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stream.Close()).To(gomega.Succeed())
	g.Eventually(disconnected).Should(gomega.BeClosed())
	g.Eventually(cancelled).Should(gomega.Receive(gomega.Equal("/v1/requests/r 1 7")))
	_, err = stream.Next()
	g.Expect(err).To(gomega.MatchError(backend.ErrInterrupted))
}
