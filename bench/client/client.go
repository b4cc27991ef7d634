package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Call is one call of the HTTP API.
type Call struct {
	Base   string // base URL of a node
	Path   string
	Org    string
	Header map[string]string
	Body   map[string]any
	Stream bool
}

// Client sends calls to nodes. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
}

// New returns a client that keeps up to 512 idle connections to each node.
func New() *Client {
	return &Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

// Do sends a call and reads the whole response.
func (c *Client) Do(ctx context.Context, call Call) Result {
	start := time.Now()
	body := call.Body
	if call.Stream {
		body = make(map[string]any, len(call.Body)+1)
		for k, v := range call.Body {
			body[k] = v
		}
		body["stream"] = true
	}
	data, err := json.Marshal(body)
	if err != nil {
		return Result{Err: errors.Wrap(err, "encode request body")}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call.Base+call.Path, bytes.NewReader(data))
	if err != nil {
		return Result{Err: errors.Wrap(err, "build request")}
	}
	request.GetBody = nil // keeps the transport from sending the call twice
	request.Header.Set("Content-Type", "application/json")
	if call.Org != "" {
		request.Header.Set("OpenAI-Organization", call.Org)
	}
	for k, v := range call.Header {
		request.Header.Set(k, v)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Result{Err: err, Total: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	r := Result{Status: response.StatusCode}
	if call.Stream && response.StatusCode == http.StatusOK {
		r.readStream(response.Body, start)
	} else {
		r.readBody(response.Body, start)
	}
	r.Total = time.Since(start)
	return r
}

// responseBody is the part of a response body, or of a chunk of a stream, that the
// client reads.
type responseBody struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code    string          `json:"code"`
		Message string          `json:"message"`
		NotRun  json.RawMessage `json:"not_run"`
	} `json:"error"`
}

// setError records the error that a response body contains, if any.
func (r *Result) setError(body *responseBody) {
	if body.Error != nil {
		r.Code, r.Message = body.Error.Code, body.Error.Message
		r.NotRun = strings.Trim(string(body.Error.NotRun), `"`)
	}
}

func (r *Result) readBody(body io.Reader, start time.Time) {
	data, err := io.ReadAll(body)
	r.FirstToken = time.Since(start)
	if err != nil {
		r.Err = err
		return
	}
	r.Body = data
	var decoded responseBody
	if json.Unmarshal(data, &decoded) != nil {
		return // a plain service may respond with any body
	}
	r.setError(&decoded)
	for _, choice := range decoded.Choices {
		r.Text += choice.Text + choice.Message.Content
		r.Complete = choice.FinishReason != nil
	}
}

func (r *Result) readStream(body io.Reader, start time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	var text strings.Builder
	last := start
	finished := false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = finished
			break
		}
		var decoded responseBody
		if err := json.Unmarshal([]byte(data), &decoded); err != nil {
			r.Err = errors.Wrap(err, "decode stream chunk")
			break
		}
		r.setError(&decoded)
		for _, choice := range decoded.Choices {
			if content := choice.Text + choice.Delta.Content; content != "" {
				last = r.addToken(&text, content, start, last)
			}
			finished = finished || choice.FinishReason != nil
		}
	}
	if err := scanner.Err(); err != nil && r.Err == nil {
		r.Err = err
	}
	r.Text = text.String()
}

// addToken records a received token and returns the time of its arrival.
func (r *Result) addToken(text *strings.Builder, content string, start, last time.Time) time.Time {
	now := time.Now()
	if r.Tokens == 0 {
		r.FirstToken = now.Sub(start)
	} else {
		r.LongestGap = max(r.LongestGap, now.Sub(last))
	}
	r.Tokens++
	text.WriteString(content)
	return now
}

// String describes the result in one line, for messages about failed calls.
func (r *Result) String() string {
	return fmt.Sprintf("status=%d code=%s not_run=%s complete=%v tokens=%d err=%v message=%q",
		r.Status, r.Code, r.NotRun, r.Complete, r.Tokens, r.Err, r.Message)
}
