package httpsend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"gentiantide.example/gentiantide/internal/netopt"
)

const (
	// dialTimeout bounds connection set-up. One-way latency between data
	// centres is about 1 ms, so that a second means loss or a dead host.
	dialTimeout = time.Second
	// idleTimeout closes unused connections before common servers do (60 s
	// and more), which avoids sending on a connection that is being closed.
	idleTimeout = 30 * time.Second
	// idlePerHost covers the slots of one backend server.
	idlePerHost = 64
	// bufferSize holds one request or a few streamed tokens.
	bufferSize = 4 << 10
)

// Client sends requests over pooled connections. It follows no redirects and
// uses no proxy. It may be used by several goroutines.
type Client struct {
	transport *http.Transport
}

// New returns a client with its own connection pool.
func New() *Client {
	dialer := netopt.Dialer(dialTimeout)
	return &Client{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     bufferSize,
		ReadBufferSize:      bufferSize,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends the request and returns the response once its headers have
// arrived. The caller closes the body; cancelling ctx breaks the connection.
// Every error is an *Error.
func (c *Client) Send(ctx context.Context, r Request) (*http.Response, error) {
	a := &attempt{replayable: r.Replayable}
	req, err := newRequest(httptrace.WithClientTrace(ctx, a.trace()), r)
	if err != nil {
		return nil, &Error{Err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, &Error{MaybeSent: a.fail(), Err: err}
	}
	return resp, nil
}

// newRequest sets a body that the transport cannot rewind: without GetBody it
// does not repeat a request whose body it began to send.
func newRequest(ctx context.Context, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, nil)
	if err != nil {
		return nil, err
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	return req, nil
}

// Fetch sends the request and reads the whole answer, of at most limit bytes.
// Every error is an *Error; once an answer has begun its Sent is true.
func (c *Client) Fetch(ctx context.Context, r Request, limit int64) (Response, error) {
	resp, err := c.Send(ctx, r)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := readBody(resp, limit)
	if err != nil {
		return Response{}, &Error{MaybeSent: true, Err: err}
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// readBody refuses a body that is delimited only by the end of the connection:
// a truncated one cannot be told from a complete one.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked {
		return nil, fmt.Errorf("answer has neither a length nor chunks")
	}
	if resp.ContentLength > limit {
		return nil, fmt.Errorf("answer of %d bytes exceeds the limit of %d", resp.ContentLength, limit)
	}
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, fmt.Errorf("answer exceeds the limit of %d bytes", limit)
	}
	return buf.Bytes(), nil
}
