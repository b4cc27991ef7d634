package soak

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// connectTimeout is the time that callers allow for a new connection.
	connectTimeout = time.Second
	// peekTime is how long a caller looks for the close of an idle connection.
	peekTime = time.Millisecond
	// callerPause is the pause after which callers leave a stream.
	callerPause = 2 * time.Second
	// callDeadline is the time that callers wait for a response.
	callDeadline = 10 * time.Second
)

var errNoConnection = errors.New("no connection")

// keptConn is a caller's connection to a node. It stays open until the node closes it or
// says that it will.
type keptConn struct {
	net.Conn
	node   *nodeProcess
	reader *bufio.Reader
	used   bool
}

func openConn(n *nodeProcess) (*keptConn, error) {
	raw, err := net.DialTimeout("tcp", n.frontAddress, connectTimeout)
	if err != nil {
		return nil, errNoConnection
	}
	return &keptConn{Conn: raw, node: n, reader: bufio.NewReader(raw)}, nil
}

// closed reports whether the node has closed the connection while it was idle.
func (c *keptConn) closed() bool {
	_ = c.SetReadDeadline(time.Now().Add(peekTime)) // fails only if the connection is closed
	_, err := c.reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// call is one request of a caller and what the caller saw of the response.
type call struct {
	kind, method, path, id, body string
	// pause is the time between the two halves in which the request is sent, or 0.
	pause time.Duration

	node *nodeProcess
	// reused is set if the connection had carried another request before.
	reused bool
	// sent is when the last byte of the request was sent.
	sent, ended time.Time
	response    platformtest.Response
	// left is set if the caller did not wait any longer.
	left bool
	// headed is set if the head of a response has arrived.
	headed bool
}

// promptOf returns the parts of the prompt of a request, or of all items of a job.
func promptOf(id string) string { return sharedPart + ":100,own-" + id + ":50" }

// do sends a request and reads the response. It reports whether the connection may carry
// another request.
func (c *keptConn) do(call *call) bool {
	call.node, call.reused = c.node, c.used
	c.used = true
	in, err := platformtest.NewRequest(call.method, call.path, call.id, promptOf(call.id), call.body, callDeadline)
	if err != nil {
		call.response.Err = err
		return false
	}
	began := time.Now()
	writeErr := c.send(in, call.pause)
	call.sent = time.Now()
	keep := c.read(call, in, began.Add(callDeadline))
	call.ended = time.Now()
	if call.response.Err != nil && writeErr != nil {
		call.response.Err = errors.Join(writeErr, call.response.Err)
	}
	return keep && writeErr == nil
}

// send writes a request, with a pause in the middle.
func (c *keptConn) send(in *http.Request, pause time.Duration) error {
	if pause == 0 {
		return in.Write(c)
	}
	var whole bytes.Buffer
	if err := in.Write(&whole); err != nil {
		return err
	}
	if _, err := c.Write(whole.Next(whole.Len() / 2)); err != nil {
		return err
	}
	time.Sleep(pause)
	_, err := c.Write(whole.Bytes())
	return err
}

// read reads the response until its end, the deadline, or a pause of a stream that is too
// long.
func (c *keptConn) read(call *call, in *http.Request, deadline time.Time) bool {
	stream := call.kind == "once" || call.kind == "resume"
	extend := func() {
		limit := deadline
		if pause := time.Now().Add(callerPause); stream && pause.Before(limit) {
			limit = pause
		}
		_ = c.SetReadDeadline(limit) // fails only if the connection is closed
	}
	fail := func(err error) bool {
		call.response.Err, call.left = err, errors.Is(err, os.ErrDeadlineExceeded)
		return false
	}
	extend()
	response, err := http.ReadResponse(c.reader, in)
	if err != nil {
		return fail(err)
	}
	call.headed = true
	call.response.Status, call.response.Header = response.StatusCode, response.Header
	var body strings.Builder
	defer func() { call.response.Body = body.String() }()
	buf := make([]byte, 4<<10)
	for {
		extend()
		n, err := response.Body.Read(buf)
		body.Write(buf[:n])
		if errors.Is(err, io.EOF) {
			return !response.Close
		}
		if err != nil {
			return fail(err)
		}
	}
}
