package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is how a proxy treats connections.
type mode int32

const (
	modePass mode = iota
	// modeDelay holds each piece back for a while.
	modeDelay
	// modeReset breaks open connections and refuses new ones.
	modeReset
	// modeDeafForth and modeDeafBack lose what is sent in one direction.
	modeDeafForth
	modeDeafBack
	// modeSilent loses everything and closes nothing.
	modeSilent
	modeCount
)

// proxyDelay is what modeDelay adds to each piece.
const proxyDelay = 60 * time.Millisecond

// proxy is a loopback TCP proxy whose faults are commanded.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. Connections that lost bytes are broken when the proxy
// passes again, as TCP would not deliver around a gap.
func (p *proxy) set(m mode) {
	before := mode(p.mode.Swap(int32(m)))
	if m == modeReset || before != modePass && before != modeDelay {
		p.breakAll()
	}
}

func (p *proxy) breakAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset, not an orderly end
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.breakAll()
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == modeReset {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	p.track(c, true)
	defer func() { p.track(c, false); _ = c.Close() }()
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(t, true)
	defer func() { p.track(t, false); _ = t.Close() }()
	done := make(chan struct{}, 2)
	go p.pump(t, c, modeDeafForth, done)
	go p.pump(c, t, modeDeafBack, done)
	<-done
}

// pump copies one direction; deaf is the mode that loses it.
func (p *proxy) pump(to io.Writer, from io.Reader, deaf mode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := mode(p.mode.Load()); m {
			case deaf, modeSilent:
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
