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

func serve(t *testing.T, handler http.HandlerFunc) *Engine {
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
	first  = `data: {"token_index":0,"choices":[{"text":"a"}]}` + "\n\n"
	second = `data: {"id":"r","object":"o","token_index":1,"choices":[{"index":0,"text":"b","finish_reason":null}]}` + "\n\n"
	final  = `data: {"choices":[{"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":2}}` + "\n\n"
	done   = "data: [DONE]\n\n"
)

// Guards against a stream that breaks or is wrong and passes for complete.
func TestStreamEnds(t *testing.T) {
	long := strings.Repeat("x", 3*readBuffer)
	for name, c := range map[string]struct {
		events, text string
		complete     bool
	}{
		"complete":                 {": comment\n\n" + first + second + final + done, "ab", true},
		"long event":               {strings.Replace(first, `"a"`, `"`+long+`"`, 1) + second + final + done, long + "b", true},
		"empty":                    {"", "", false},
		"no final chunk":           {first + second, "ab", false},
		"no end mark":              {first + second + final, "ab", false},
		"end mark only":            {first + second + done, "ab", false},
		"truncated end mark":       {first + second + final + "data: [DONE]", "ab", false},
		"truncated event":          {first + second[:len(second)-4], "a", false},
		"missing token":            {second + final + done, "", false},
		"repeated token":           {first + first + second + final + done, "a", false},
		"fewer tokens than usage":  {first + final + done, "a", false},
		"error event":              {first + `data: {"error":{"message":"m"}}` + "\n\n" + final + done, "a", false},
		"text without token index": {`data: {"choices":[{"text":"a"}]}` + "\n\n" + final + done, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engine := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.events) })
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

// Guards against an error answer that is taken for "not run" without the
// engine having said so, and against counting it as a failure of the engine.
func TestStatuses(t *testing.T) {
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
		engine := serve(t, func(w http.ResponseWriter, _ *http.Request) {
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

// Guards against a request body that loses the caller's fields or the resume
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

// Guards against a generation that runs on after its stream was closed, and
// against a late cancellation that ends a newer run of the same request.
func TestCloseCancelsItsRun(t *testing.T) {
	g := gomega.NewWithT(t)
	cancelled := make(chan string, 1)
	broken := make(chan struct{})
	engine := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- r.URL.Path + " " + r.URL.Query().Get("run")
			return
		}
		w.Header().Set(headerRun, "7")
		_, _ = io.WriteString(w, first)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(broken)
	})
	stream, err := engine.Generate(t.Context(), request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = stream.Next()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stream.Close()).To(gomega.Succeed())
	g.Eventually(broken).Should(gomega.BeClosed())
	g.Eventually(cancelled).Should(gomega.Receive(gomega.Equal("/v1/requests/r 1 7")))
	_, err = stream.Next()
	g.Expect(err).To(gomega.MatchError(backend.ErrInterrupted))
}
