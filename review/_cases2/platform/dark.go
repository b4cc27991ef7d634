package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	darkNodes    = 3
	darkReplicas = 4
	// darkWork is how long a replica works on a request.
	darkWork = 150 * time.Millisecond
	// darkFor is how long a replica is dark; it is back as a new lifetime. darkEntry is how
	// long its entry stays: three heartbeat intervals.
	darkFor   = 5 * time.Second
	darkEntry = 3600 * time.Millisecond
	// darkTimes is the number of times that the deadly request comes, one every darkPause,
	// and darkTries that of the client's tries.
	darkTimes    = 10
	darkPause    = 4 * time.Second
	darkTries    = 2
	darkDeadline = 4 * time.Second
	// darkSoundPause is the time between two sound requests, which may run once only.
	darkSoundPause = 40 * time.Millisecond
	// fillTimeout is after which a connection shows that no more are taken.
	fillTimeout = 50 * time.Millisecond
)

// darkService is a plain service whose replicas go dark when they run a deadly request.
type darkService struct {
	w      *world
	deadly bool

	mu     sync.Mutex
	starts int
	dark   []time.Time
}

// darkReplica is one lifetime of a replica.
type darkReplica struct {
	service  *darkService
	id, zone string
	listener *net.TCPListener

	mu    sync.Mutex
	conns []net.Conn
	gone  bool
	// darkened is closed when the replica goes dark.
	darkened chan struct{}
}

func (s *darkService) start(zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	r := &darkReplica{service: s, id: fmt.Sprintf("i-%04x", 0x9f30+s.starts), zone: zone, listener: listener.(*net.TCPListener), darkened: make(chan struct{})}
	s.mu.Unlock()
	go r.accept()
	return s.w.store.Put("servers", r.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold-left-ms":0,"sequence":1,"born":%d}`,
		s.w.plain, listener.Addr().String(), zone, time.Now().UnixMilli()))
}

func (r *darkReplica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns = append(r.conns, conn)
		r.mu.Unlock()
		go r.serve(conn)
	}
}

// serve answers the requests on a channel until the replica is dark; the channel then stays
// open and silent.
func (r *darkReplica) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || r.isDark() {
			return
		}
		id := request.Header.Get("X-Request-Id")
		head := "X-Request-Id: " + id + "\r\nX-Server-Load: 1,0,6\r\n"
		if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
			continue
		}
		if strings.Contains(string(body), "deadly") && r.service.deadly {
			r.goDark(id)
			return
		}
		select {
		case <-time.After(darkWork):
		case <-r.darkened:
			return
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sX-Response-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(id), id); err != nil {
			return
		}
	}
}

func (r *darkReplica) isDark() bool {
	select {
	case <-r.darkened:
		return true
	default:
		return false
	}
}

// goDark makes the replica silent, like a machine without power: its channels stay open and
// bring nothing, and new ones are not established.
func (r *darkReplica) goDark(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDark() {
		return
	}
	close(r.darkened)
	s := r.service
	s.mu.Lock()
	s.dark = append(s.dark, time.Now())
	n := len(s.dark)
	s.mu.Unlock()
	s.w.note("request %s reaches replica %s, which goes dark (the %d.)", request, r.id, n)
	// A listener that nobody accepts from drops what comes once its queue is full.
	raw, err := r.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	_ = r.listener.SetDeadline(time.Now()) // ends accept
	var fill []net.Conn
	for {
		c, err := net.DialTimeout("tcp", r.listener.Addr().String(), fillTimeout)
		if err != nil {
			break
		}
		fill = append(fill, c)
	}
	time.AfterFunc(darkEntry, func() { _ = s.w.store.Remove("servers", r.id) })
	time.AfterFunc(darkFor, func() { // the machine is back and knows none of the channels
		_ = r.listener.Close()
		r.mu.Lock()
		for _, c := range append(r.conns, fill...) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		r.mu.Unlock()
		_ = s.start(r.zone)
	})
}

// darkRequest checks BUDGET: a request that makes the replicas that run it go dark comes
// again and again.
func darkRequest(w *world, trouble bool) (bool, error) {
	desk := &darkService{w: w, deadly: trouble}
	for i := range darkReplicas {
		if err := desk.start(w.zones[i%len(w.zones)]); err != nil {
			return false, err
		}
	}
	if err := w.configure(3,
		route{"name": "permit-plan", "host": w.host, "path-prefix": "/plan/", "kind": "safe", "service": w.plain, "timeout-ms": 4000, "target-latency-ms": 300, "max-attempts": 1, "priority": 1},
		route{"name": "permit-issue", "host": w.host, "path-prefix": "/issue/", "kind": "unsafe", "service": w.plain, "timeout-ms": 4000, "target-latency-ms": 300, "max-attempts": 1, "priority": 1}); err != nil {
		return false, err
	}
	if err := w.startNodes(darkNodes); err != nil {
		return false, err
	}
	time.Sleep(w.contact)
	stop := make(chan struct{})
	var sound sync.WaitGroup
	var mu sync.Mutex
	served, lost := 0, 0
	sound.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(darkSoundPause):
			}
			sound.Go(func() {
				id := fmt.Sprintf("%016x", 0x5000+i)
				got := w.call("POST", w.nodes[i%len(w.nodes)].front, "/issue/"+id, id, darkDeadline, []byte("sound"))
				mu.Lock()
				defer mu.Unlock()
				if got.status == 200 {
					served++
					return
				}
				lost++
				w.note("sound request %s is lost: %s", id, got)
			})
		}
	})
	for i := range darkTimes {
		begin := time.Now()
		for try := range darkTries {
			left := darkDeadline - time.Since(begin)
			if left < 100*time.Millisecond {
				break
			}
			id := fmt.Sprintf("%016x", 0xdead0000+i*16+try)
			nd := w.nodes[(i+try)%len(w.nodes)]
			got := w.call("POST", nd.front, "/plan/17", id, left, []byte("deadly"))
			w.note("the deadly request, %d. time, try %d, %s at %s: %s", i+1, try+1, id, nd.name, got)
			if got.status == 200 {
				break
			}
		}
		time.Sleep(time.Until(begin.Add(darkPause)))
	}
	close(stop)
	sound.Wait()
	desk.mu.Lock()
	defer desk.mu.Unlock()
	retries := 0
	for i, at := range desk.dark {
		if i >= maxRetries && at.Sub(desk.dark[2]) > w.contact {
			retries++
		}
	}
	w.note("%d sound requests served, %d lost; the deadly request darkened %d replicas, and reached replicas in %d retries later than contact-ms after the third; allowed are %d",
		served, lost, len(desk.dark), retries, maxRetries)
	return retries <= maxRetries, nil
}
