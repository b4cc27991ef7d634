package replica

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// inlineBody is the largest body that is written before the answer is
	// awaited. A larger one may fill the socket buffers of a replica that
	// answers without reading it.
	inlineBody = 16 << 10
	// maxStrayAnswers bounds the answers of earlier requests that are skipped.
	maxStrayAnswers = 3
	// maxStrayAnswer bounds the bytes of one such answer.
	maxStrayAnswer = 1 << 20
)

var errStrayAnswers = errors.New("answers of other requests on the connection")

// Answer is a replica's answer whose body is being read. Close ends it.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if it is not known.
	Length int64

	replica *Replica
	conn    *conn
	body    io.ReadCloser
	stop    func() bool
	written <-chan error
	whole   bool // the body was read to its end
	keep    bool // the replica keeps the connection open
}

// Send sends a request and returns the answer once its headers are in. Ending
// ctx breaks the connection. Every error is a *Failure.
func (r *Replica) Send(ctx context.Context, req *Request) (*Answer, error) {
	now := time.Now()
	c := r.pool.get(now)
	if c == nil {
		var err error
		if c, err = dial(ctx, r.Info().Address); err != nil {
			return nil, &Failure{Unreachable: ctx.Err() == nil, Err: err}
		}
	}
	stop := c.watch(ctx)
	written, err := c.send(req)
	if err != nil {
		stop()
		c.sever()
		return nil, &Failure{Sent: true, Err: err}
	}
	resp, err := c.receive(req)
	if err != nil {
		stop()
		c.sever()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Failure{Sent: true, Unreachable: errors.Is(err, syscall.ETIMEDOUT), Err: err}
	}
	c.noteKeepAlive(resp.Header)
	r.heard.Set(time.Now())
	r.answering.Add(1)
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		replica: r, conn: c, body: resp.Body, stop: stop, written: written, keep: !resp.Close,
	}, nil
}

// send writes the request. A long body is written beside the reading of the
// answer; the channel then tells how that ended.
func (c *conn) send(req *Request) (<-chan error, error) {
	if err := req.writeHead(c.writer); err != nil {
		return nil, err
	}
	if len(req.Body) <= inlineBody {
		_, _ = c.writer.Write(req.Body)
		return nil, c.writer.Flush()
	}
	written := make(chan error, 1)
	go func() {
		_, _ = c.writer.Write(req.Body)
		written <- c.writer.Flush()
	}()
	return written, nil
}

// receive reads the head of the answer to the request. Answers to earlier
// requests that arrive late are thrown away.
func (c *conn) receive(req *Request) (*http.Response, error) {
	for range maxStrayAnswers + 1 {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		if req.Answers == nil || req.Answers(resp.Header) {
			return resp, nil
		}
		if err := drain(resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errStrayAnswers
}

// readHead reads the head of the next final answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func (c *conn) noteKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleLimit = time.Duration(seconds) * time.Second
		}
	}
}

// Blame avoids the replica after a failure and returns for how long at least.
func (r *Replica) Blame(err error, now time.Time) time.Duration {
	var failure *Failure
	if errors.As(err, &failure) && failure.Unreachable {
		return r.Unreachable(now)
	}
	return r.Failed(now)
}

// Read implements io.Reader over the body. It returns io.EOF only for a body
// that is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if n > 0 {
		a.replica.heard.Set(time.Now())
	}
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close ends the answer. The connection is kept if the whole body was read and
// the request was sent completely.
func (a *Answer) Close() {
	a.replica.answering.Add(-1)
	intact := a.stop()
	sent := true
	if a.written != nil {
		select {
		case err := <-a.written:
			sent = err == nil
		default:
			sent = false // the replica would take the rest for another request
		}
	}
	if !intact || !sent || !a.whole || !a.keep || a.conn.reader.Buffered() > 0 {
		a.conn.sever()
		return
	}
	a.replica.pool.put(a.conn, time.Now())
}
