package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	readersNodes    = 3
	readersReplicas = 18
	// readersDesk is the number of replicas of the plain service, with eight slots each.
	readersDesk  = 6
	readersJobs  = 4
	readersItems = 200
	// readersEvents makes the text of an item 11 KB, as on the site's sheet.
	readersEvents = 172
	// readersCrowd is the number of clients that read results at a node, each once, and
	// readersRamp the time between two of them.
	readersCrowd = 640
	readersRamp  = 50 * time.Millisecond
	// A slow reader takes slowPiece bytes every slowPause.
	slowPiece = 1 << 10
	slowPause = 100 * time.Millisecond
	// maxSegment is that of a usual link.
	maxSegment = 1460
	// readersCallers send requests to the plain service on kept channels.
	readersCallers = 40
	readersWork    = 150 * time.Millisecond
	// readersSettle is how long the case goes on after the last client has begun.
	readersSettle = 2 * time.Second
	// readersTargets is the number of nodes at which the crowd reads, one after the other.
	readersTargets = 2
	// readersLost is how many requests the rule allows to be lost.
	readersLost = 3
	// readersLength is the longest time for which a client reads.
	readersLength = 60 * time.Second
)

// slowReaders checks LOST: clients read the results of batch jobs slowly.
func slowReaders(w *world, trouble bool) (bool, error) {
	if _, err := w.addReplicas(w.models, readersReplicas, readersEvents, 2*time.Millisecond); err != nil {
		return false, err
	}
	desk, err := w.addReplicas(w.plain, readersDesk, 0, 0)
	if err != nil {
		return false, err
	}
	var ran sync.Map // request IDs that a replica of the plain service has begun to run
	for _, r := range desk {
		r.SetBehaviour(func(q platformtest.ReceivedRequest) platformtest.Behaviour {
			ran.Store(q.RequestID, true)
			hold := make(chan struct{})
			time.AfterFunc(readersWork, func() { close(hold) })
			return platformtest.Behaviour{Hold: hold}
		})
	}
	if err := w.configure(3); err != nil {
		return false, err
	}
	if err := w.startNodes(readersNodes); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for i := range readersJobs {
		id := fmt.Sprintf("%016x", 0x5c41e09b52d60000+i)
		got := w.call("POST", w.nodes[i%len(w.nodes)].front, w.batch+id, id, 4*time.Second, w.jobBody(id, readersItems, 350, 1850))
		w.note("job %s of %d items answered %s", id, readersItems, got)
		if got.status != 202 {
			return false, fmt.Errorf("job not accepted: %s", got)
		}
		ids = append(ids, id)
	}
	for _, id := range ids {
		if err := w.awaitJob(id); err != nil {
			return false, err
		}
	}

	lost, kills := 0, 0
	for _, nd := range w.nodes[:readersTargets] {
		l, killed := w.readAt(nd, ids, &ran, trouble)
		lost += l
		if killed {
			kills++
		}
	}
	w.note("%d processes were killed for their memory; %d requests were passed on and not answered; allowed are %d", kills, lost, readersLost)
	return lost <= readersLost, nil
}

// readAt lets the crowd read at a node, beside callers on kept channels, until all clients
// have begun or the node was killed. It returns how many requests of the callers were passed
// on and not answered.
func (w *world) readAt(nd *node, ids []string, ran *sync.Map, slowly bool) (lostRequests int, wasKilled bool) {
	var peak atomic.Int64
	killed, stop := make(chan struct{}), make(chan struct{})
	go w.limitMemory(nd, &peak, killed, stop)
	var lost, served atomic.Int32
	var callers sync.WaitGroup
	for i := range readersCallers {
		callers.Go(func() { w.keptCaller(nd, i, ran, &lost, &served, stop) })
	}
	var reading atomic.Int32
	var bytes atomic.Int64
	var crowd sync.WaitGroup
	end := time.Now().Add(readersLength)
	w.note("clients begin to read at %s", nd.name)
	for i := range readersCrowd {
		crowd.Go(func() {
			reading.Add(1)
			defer reading.Add(-1)
			if err := w.readResults(nd.front, ids[i%len(ids)], slowly, end, &bytes); err != nil && !ended(killed) {
				w.note("reader %d: %v", i, err)
			}
		})
		time.Sleep(readersRamp)
		if i%100 == 99 {
			w.note("%d clients have begun, %d read, peak memory %d MB, %d requests served", i+1, reading.Load(), peak.Load()>>20, served.Load())
		}
		if ended(killed) {
			break
		}
	}
	select {
	case <-killed:
		time.Sleep(500 * time.Millisecond)
	case <-time.After(readersSettle):
	}
	close(stop)
	callers.Wait()
	w.note("%s: %d bytes of results read, peak memory %d MB of %d, %d requests served, %d passed on and not answered",
		nd.name, bytes.Load(), peak.Load()>>20, w.memoryMB, served.Load(), lost.Load())
	return int(lost.Load()), ended(killed)
}

// ended reports whether a channel is closed.
func ended(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// awaitJob waits until all results of a job are listed.
func (w *world) awaitJob(id string) error {
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		listed, total := 0, -1
		for listed != total {
			got := w.call("GET", w.nodes[1].front, "/gentiantide/lots/"+id+"?after="+strconv.Itoa(listed), "", 4*time.Second, nil)
			var page struct {
				Total, Next int
				Results     []struct{ State string }
			}
			if got.status != 200 || json.Unmarshal(got.body, &page) != nil || page.Next == listed {
				break
			}
			listed, total = page.Next, page.Total
		}
		if listed == total {
			w.note("job %s: all %d results are listed", id, total)
			return nil
		}
	}
	return fmt.Errorf("job %s is not done", id)
}

// limitMemory kills a process that exceeds its memory, as the platform does.
func (w *world) limitMemory(nd *node, peak *atomic.Int64, killed, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := anonymousMemory(nd.cmd.Process.Pid)
		if used > peak.Load() {
			peak.Store(used)
		}
		if used > int64(w.memoryMB)<<20 {
			w.note("%s uses %d MB, over its limit of %d MB: it is killed", nd.name, used>>20, w.memoryMB)
			_ = nd.cmd.Process.Kill()
			close(killed)
			return
		}
	}
}

// anonymousMemory returns the memory of a process without that of files, in bytes.
func anonymousMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// keptCaller sends one request after the other on a kept channel.
func (w *world) keptCaller(nd *node, n int, ran *sync.Map, lost, served *atomic.Int32, stop chan struct{}) {
	conn, err := net.Dial("tcp", nd.front)
	if err != nil {
		w.note("caller %d: %v", n, err)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%016x", 0x6c00000000000000+n<<20+i)
		_, _ = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", w.safe, id, w.host, id)
		_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err == nil {
			if resp.StatusCode == http.StatusOK {
				served.Add(1)
			}
			continue
		}
		if _, passedOn := ran.Load(id); passedOn && i > 0 {
			lost.Add(1)
			w.note("request %s was passed on to a replica; its kept channel ended without an answer: %v", id, err)
		} else {
			w.note("request %s was not passed on; its channel ended: %v", id, err)
		}
		return
	}
}

// readResults reads the results of a job from the start, slowly or as fast as they come, and
// counts their bytes.
func (w *world) readResults(address, job string, slowly bool, until time.Time, bytes *atomic.Int64) error {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, maxSegment)
			if slowly {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
			}
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET /gentiantide/lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", job, w.host); err != nil {
		return err
	}
	piece := 64 << 10
	if slowly {
		piece = slowPiece
	}
	for buf := make([]byte, piece); time.Now().Before(until); {
		n, err := conn.Read(buf)
		bytes.Add(int64(n))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if slowly {
			time.Sleep(slowPause)
		}
	}
	return nil
}
