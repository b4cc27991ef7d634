package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/replica/replicatest"
)

// mode is the fault that a proxy injects into its connections.
type mode int32

const (
	modePass mode = iota
	// modeDelay delays each chunk of data by proxyDelay.
	modeDelay
	// modeReset resets open connections and closes new ones at once.
	modeReset
	// modeDropToTarget and modeDropFromTarget discard the data of one direction.
	modeDropToTarget
	modeDropFromTarget
	// modeBlackhole discards the data of both directions and keeps connections
	// open.
	modeBlackhole
	modeCount
)

// proxyDelay is the delay of each chunk in modeDelay.
const proxyDelay = 60 * time.Millisecond

// proxy is a TCP proxy on loopback that injects faults.
type proxy struct {
	listener *replicatest.DarkListener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
	// lost is set once the machine behind the proxy does not come back.
	lost bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: &replicatest.DarkListener{TCPListener: listener.(*net.TCPListener)}, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode. Connections that may have lost bytes are reset, since
// TCP never delivers data with a gap.
func (p *proxy) setMode(m mode) {
	before := mode(p.mode.Swap(int32(m)))
	if m == modeReset || before != modePass && before != modeDelay {
		p.resetConns()
	}
}

// goDark lets the proxy go dark like a machine without power, for good if it is lost: its
// connections stay open and silent, and new ones are not established.
func (p *proxy) goDark(lost bool) error {
	p.mu.Lock()
	p.lost = p.lost || lost
	p.mu.Unlock()
	p.mode.Store(int32(modeBlackhole))
	_ = p.listener.SetDeadline(time.Now()) // ends accept
	return p.listener.GoDark()
}

// light ends the darkness of a proxy unless it is lost.
func (p *proxy) light() error {
	p.mu.Lock()
	lost := p.lost
	p.mu.Unlock()
	if lost {
		return nil
	}
	if err := p.listener.Light(); err != nil {
		return err
	}
	_ = p.listener.SetDeadline(time.Time{})
	go p.accept()
	p.setMode(modePass)
	return nil
}

func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with RST instead of FIN
		}
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConns()
}

func (p *proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
	} else {
		delete(p.conns, conn)
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == modeReset {
			_ = conn.Close()
			continue
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(conn net.Conn) {
	p.track(conn, true)
	defer func() { p.track(conn, false); _ = conn.Close() }()
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(targetConn, true)
	defer func() { p.track(targetConn, false); _ = targetConn.Close() }()
	done := make(chan struct{}, 2)
	go p.copyDirection(targetConn, conn, modeDropToTarget, done)
	go p.copyDirection(conn, targetConn, modeDropFromTarget, done)
	<-done
}

// copyDirection copies one direction; in dropMode its data is discarded.
func (p *proxy) copyDirection(to io.Writer, from io.Reader, dropMode mode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := mode(p.mode.Load()); m {
			case dropMode, modeBlackhole:
			case modeDelay:
				time.Sleep(proxyDelay)
				fallthrough
			default:
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
