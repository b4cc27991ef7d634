package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// conduct is what a replica does with one request that it runs.
type conduct int

const (
	sound conduct = iota
	// endless answers with bytes that are no answer, until the caller closes.
	endless
	// crashes ends the replica when it begins to write the answer.
	crashes
	// truncated ends the answer after its head, with the channel.
	truncated
)

// replica is a stand-in of a model replica or of a plain service.
type replica struct {
	w       *world
	id      string
	service string
	zone    string
	address string
	slots   int
	// events is the number of events of a stream, 0 for a plain service. gap is the time
	// of one event, or of the whole answer of a plain service.
	events int
	gap    time.Duration
	// first is the time until the first event of a stream.
	first time.Duration
	// unframed answers streams with neither a length nor chunks: they end with the channel.
	unframed bool
	// conductOf says what to do with a request. It may be nil.
	conductOf func(r *replica, in *http.Request) conduct
	// downFor is how long the replica is gone after a crash.
	downFor time.Duration

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	born     int64
	down     bool
}

func (w *world) addReplica(r *replica) *replica {
	r.w, r.conns, r.slots = w, make(map[net.Conn]bool), 8
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.address = listener.Addr().String()
	r.start(listener)
	w.replicas = append(w.replicas, r)
	return r
}

func (r *replica) start(listener net.Listener) {
	r.mu.Lock()
	r.listener, r.down, r.born, r.running = listener, false, time.Now().UnixMilli(), 0
	r.mu.Unlock()
	r.register()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			go r.serve(conn)
		}
	}()
}

func (r *replica) register() {
	must(r.w.store.Put("servers", r.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-left-ms":0,"sequence":1,"born":%d}`,
		r.service, r.address, r.zone, r.slots, r.born)))
}

// crash resets all connections and refuses new ones for downFor. Then the replica starts
// again under its id and address.
func (r *replica) crash(why string) {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	r.w.crashedNow()
	r.w.logf("replica %s crashes: %s", r.id, why)
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.mu.Unlock()
	time.AfterFunc(r.downFor, func() {
		if r.w.over() {
			return
		}
		listener, err := net.Listen("tcp", r.address)
		must(err)
		r.start(listener)
		r.w.logf("replica %s is back", r.id)
	})
}

func (r *replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		in, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(in.Body)
		if err != nil || !r.handle(conn, in, body) {
			return
		}
	}
}

func (r *replica) head(status int, id, more string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Load: %d,0,%d\r\n%s\r\n", status, http.StatusText(status), id, r.running, r.slots, more)
}

// handle answers one request and reports whether the connection stays open.
func (r *replica) handle(conn net.Conn, in *http.Request, body []byte) bool {
	id := in.Header.Get("X-Request-Id")
	if want := in.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		_, err := io.WriteString(conn, r.head(421, id, "X-Instance-Id: "+r.id+"\r\nContent-Length: 0\r\n"))
		return err == nil
	}
	if in.URL.Path == "/health" {
		_, err := io.WriteString(conn, r.head(200, id, "X-Instance-Id: "+r.id+"\r\nContent-Length: 0\r\n"))
		return err == nil
	}
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		_, err := io.WriteString(conn, r.head(503, id, "X-Not-Executed: 1\r\nContent-Length: 0\r\n"))
		return err == nil
	}
	born := r.born
	defer func() {
		r.mu.Lock()
		if r.born == born {
			r.running--
		}
		r.mu.Unlock()
	}()
	what := sound
	if r.conductOf != nil {
		what = r.conductOf(r, in)
	}
	r.w.ran(id, r.id, what, string(body))
	if r.events == 0 {
		time.Sleep(r.gap)
		text := plainText(id)
		_, err := io.WriteString(conn, r.head(200, id, fmt.Sprintf("X-Response-Signature: %s\r\nContent-Length: %d\r\n", signature(id), len(text)))+text)
		return err == nil
	}
	return r.stream(conn, in, id, what)
}

// stream answers with events, from the one after Last-Event-Id on.
func (r *replica) stream(conn net.Conn, in *http.Request, id string, what conduct) bool {
	first := 1
	if last, err := strconv.Atoi(in.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	time.Sleep(r.first)
	if what == crashes {
		r.crash("it begins to answer request " + id)
		return false
	}
	framing, part := "Transfer-Encoding: chunked\r\n", chunk
	if r.unframed {
		framing, part = "", func(s string) string { return s }
	}
	head := r.head(200, id, "X-Response-Signature: "+signature(id)+"\r\nContent-Type: text/event-stream\r\n"+framing)
	if _, err := io.WriteString(conn, head); err != nil || what == truncated {
		return false
	}
	if what == endless {
		began, sent := time.Now(), 0
		bytes := strings.Repeat(garbage, 512)
		for {
			n, err := io.WriteString(conn, part(bytes))
			sent += n
			if err != nil {
				r.w.logf("replica %s has sent %d KB without end for request %s in %d ms, until its caller closed", r.id, sent>>10, id, time.Since(began).Milliseconds())
				return false
			}
		}
	}
	for n := first; n <= r.events; n++ {
		if n > first {
			time.Sleep(r.gap)
		}
		if _, err := io.WriteString(conn, part(fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventText(id, n)))); err != nil {
			return false
		}
	}
	if r.unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// garbage is what a replica in trouble writes without end.
const garbage = "data:\n\n"

func chunk(s string) string             { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
func signature(id string) string        { return "sig-" + id }
func plainText(id string) string        { return strings.Repeat("answer to "+id+"\n", 20) }
func eventText(id string, n int) string { return id + " event " + strconv.Itoa(n) }

// wholeText is the text of an item that is done.
func wholeText(id string, events int) string {
	var all []string
	for n := 1; n <= events; n++ {
		all = append(all, eventText(id, n))
	}
	return strings.Join(all, "\n")
}
