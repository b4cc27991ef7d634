package meter

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Listener serves HTTP on loopback and counts the bytes of both directions.
type Listener struct {
	net.Listener
	bytes  atomic.Int64
	server *http.Server
}

// Listen starts to serve a handler on a free port.
func Listen(handler http.Handler) (*Listener, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Listener{Listener: inner, server: &http.Server{Handler: handler}}
	go func() { _ = l.server.Serve(l) }()
	return l, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

// Address returns the listener's host:port.
func (l *Listener) Address() string { return l.Addr().String() }

// Bytes returns the bytes read and written so far, without TCP/IP headers.
func (l *Listener) Bytes() float64 { return float64(l.bytes.Load()) }

// Stop closes the server and its connections. It is not named Close, because the
// server calls Close on its listener.
func (l *Listener) Stop() { _ = l.server.Close() }

// countingConn adds the bytes that are read and written to bytes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
