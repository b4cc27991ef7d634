package replica

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/httphead"
)

const (
	// maxInlineBody is the largest request body that is written before the response
	// is read. Writing a larger one may block on full socket buffers if the replica
	// responds without reading it.
	maxInlineBody = 16 << 10
	// maxStaleResponses limits how many responses to earlier requests are skipped.
	maxStaleResponses = 3
	// maxStaleResponseBytes limits how much of a skipped response's body is read.
	maxStaleResponseBytes = 1 << 20
)

var (
	errStaleResponses  = errors.New("connection carries responses to other requests")
	errUnnamedResponse = errors.New("response on a reused connection does not name its request")
)

// Response is the response of a replica. Read reads its body. Close must be called
// exactly once.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// Framed is set if the length or chunks show where the body ends. Otherwise it
	// ends with the connection.
	Framed bool

	replica   *Replica
	conn      *conn
	body      io.Reader
	stop      func() bool // ends the watch of the context, see conn.watch
	bodyRead  int         // bytes of the body that were read
	complete  bool        // the whole body was read
	events    bool        // the body is a stream of events, see RecordProgress
	keepAlive bool        // the connection may be used again
}

// Send sends a request and returns the response once its headers were read. When
// ctx ends, the connection is aborted, also while the body is read. Every error is
// a *Failure.
func (r *Replica) Send(ctx context.Context, req *Request) (*Response, error) {
	now := time.Now()
	c := r.pool.get(now, req.ID)
	if c == nil {
		var err error
		if c, err = dial(ctx, r.Info().Address); err != nil {
			return nil, &Failure{Unreachable: ctx.Err() == nil, Err: err}
		}
	}
	stop := c.watch(ctx)
	if err := c.send(req); err != nil {
		stop()
		c.abort()
		return nil, &Failure{Sent: true, Err: err}
	}
	resp, err := c.receive(req)
	if err != nil {
		stop()
		c.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Failure{Sent: true, Unreachable: errors.Is(err, syscall.ETIMEDOUT), Err: err}
	}
	c.updateIdleTimeout(resp.Header)
	r.lastRead.Set(time.Now())
	r.openResponses.Add(1)
	resp.replica, resp.conn, resp.stop, resp.events = r, c, stop, isEventStream(resp.Header)
	return resp, nil
}

// send writes the request. A body above maxInlineBody is written concurrently with
// reading the response.
func (c *conn) send(req *Request) error {
	c.carried = append(c.carried, xxhash.Sum64String(req.ID))
	c.upload = nil
	if err := req.writeHead(c.writer); err != nil {
		return err
	}
	writeBody := func() error {
		_, _ = c.writer.Write(req.Body)
		return c.writer.Flush() // a bufio.Writer keeps its first error
	}
	if len(req.Body) <= maxInlineBody {
		return writeBody()
	}
	c.upload = startUpload(writeBody)
	return nil
}

// receive reads the head of the response to the request. It discards late responses to
// earlier requests. On a reused connection, a response that does not name its request
// may be a second copy of an earlier one.
func (c *conn) receive(req *Request) (*Response, error) {
	for range maxStaleResponses + 1 {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		switch match := req.match(resp.Header); {
		case match == MatchOwn:
			return resp, nil
		case match == MatchUnknown && c.used:
			return nil, errUnnamedResponse
		case match == MatchUnknown:
			resp.keepAlive = false
			return resp, nil
		}
		if err := drain(resp.body); err != nil {
			return nil, err
		}
	}
	return nil, errStaleResponses
}

// readHead reads the head of the next final response and skips interim (1xx) ones.
func (c *conn) readHead(method string) (*Response, error) {
	heads := httphead.NewReader(c.reader, maxHeadBytes)
	for range httphead.MaxInterim + 1 {
		head, err := heads.Head()
		if err != nil {
			return nil, err
		}
		framing, length, err := head.Framing(method)
		if err != nil {
			return nil, err
		}
		if !head.Interim() {
			return &Response{
				Status: head.Status, Header: head.Header, Length: length,
				Framed: length >= 0 || framing == httphead.FramingChunks,
				body:   newBody(c, framing, length), keepAlive: head.KeepsAlive() && framing != httphead.FramingClose,
			}, nil
		}
	}
	return nil, httphead.ErrInterim
}

// updateIdleTimeout sets the idle timeout that the replica sends in a Keep-Alive
// header.
func (c *conn) updateIdleTimeout(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleTimeout = time.Duration(seconds) * time.Second
		}
	}
}

// RecordError ejects the replica after a failed exchange. It returns the minimum
// duration of the ejection.
func (r *Replica) RecordError(err error, now time.Time) time.Duration {
	var failure *Failure
	if errors.As(err, &failure) && failure.Unreachable {
		r.ObserveFailure()
		return r.MarkUnreachable(now)
	}
	return r.RecordFailure(now)
}

// isEventStream reports whether a body is a stream of events.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// EventStream reports whether the body is a stream of events.
func (resp *Response) EventStream() bool { return resp.events }

// RecordProgress records that a complete event of a stream has arrived. Bytes alone
// do not show that a replica makes progress with a stream: it may send comments or
// parts of an event for ever.
func (resp *Response) RecordProgress() { resp.replica.lastRead.Set(time.Now()) }

// Read implements io.Reader for the body. It returns io.EOF only at the end of a
// complete body.
func (resp *Response) Read(p []byte) (int, error) {
	n, err := resp.body.Read(p)
	if n > 0 && !resp.events {
		resp.RecordProgress()
	}
	if resp.bodyRead += n; resp.bodyRead > maxBodyBytes {
		return n, errBodyTooLong
	}
	if errors.Is(err, io.EOF) {
		resp.complete = true
	}
	return n, err
}

// MarkBroken records that the body is not what the replica should have sent. Its
// connection is not used again, even if the body was read whole.
func (resp *Response) MarkBroken() { resp.keepAlive = false }

// Close releases the response. The connection returns to the pool if the request
// was sent completely, the whole body was read and the replica keeps the connection
// open; otherwise it is closed.
func (resp *Response) Close() {
	resp.replica.openResponses.Add(-1)
	intact := resp.stop()
	if !intact || !resp.conn.upload.sent() || !resp.complete || !resp.keepAlive || resp.conn.reader.Buffered() > 0 {
		resp.conn.abort()
		return
	}
	resp.conn.used = true
	resp.replica.pool.put(resp.conn, time.Now())
}
