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
	// dialTimeout limits connection set-up. One-way latency between data centres
	// is about 1 ms, so a dial that takes a second means packet loss or a dead
	// host.
	dialTimeout = time.Second
	// idleTimeout is shorter than the idle timeout of common servers (60 s or
	// more), so that no request is sent on a connection the server is closing.
	idleTimeout = 30 * time.Second
	// maxIdlePerHost covers the slots of one backend server.
	maxIdlePerHost = 64
	// bufferSize is enough for one request or a few streamed tokens, in bytes.
	bufferSize = 4 << 10
	// maxHeadBytes limits the headers of a response; a usual head has less than
	// 1 KiB. The default of net/http is 10 MiB.
	maxHeadBytes = 32 << 10
)

// Client sends requests over pooled connections. It follows no redirects and
// uses no proxy. It is safe for concurrent use.
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
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
		WriteBufferSize:        bufferSize,
		ReadBufferSize:         bufferSize,
	}}
}

// Close closes idle connections; those in use stay open.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends the request and returns the response once its headers have
// arrived. The caller closes the body; cancelling ctx breaks the connection.
// Every error is an *Error.
func (c *Client) Send(ctx context.Context, r Request) (*http.Response, error) {
	tracker := &connTracker{replayable: r.Replayable}
	req, err := newRequest(httptrace.WithClientTrace(ctx, tracker.clientTrace()), r)
	if err != nil {
		return nil, &Error{Err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, &Error{MaybeSent: tracker.abort(), Err: err}
	}
	return resp, nil
}

// newRequest leaves GetBody unset, so that the transport cannot rewind the body
// and does not retry a request whose body it has begun to send.
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

// Fetch sends the request and reads the complete response, with a body of at
// most limit bytes. Every error is an *Error; MaybeSent is true once
// response headers have arrived.
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

// readBody reads a body of at most limit bytes. It rejects a body that is
// delimited only by the close of the connection, because a truncated one cannot
// be told from a complete one.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked {
		return nil, fmt.Errorf("response has neither a Content-Length nor chunked encoding")
	}
	if resp.ContentLength > limit {
		return nil, fmt.Errorf("%w of %d bytes: it has %d bytes", ErrTooLong, limit, resp.ContentLength)
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
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLong, limit)
	}
	return buf.Bytes(), nil
}
