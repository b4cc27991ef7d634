// The stand-ins of the platform, of replicas and of clients, and the cases that use them.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

// world is everything around the system, and the processes of the system.
type world struct {
	root, dir    string
	record       *os.File
	began        time.Time
	trouble      bool
	store        *platformtest.Store
	storeAddress string
	nodes        []*node
	replicas     []*replica
	ended        atomic.Bool
	processes    sync.WaitGroup
	serial       atomic.Int64
	taken        map[string]bool // addresses of the nodes

	mu   sync.Mutex
	runs map[string][]run // by request
	// crashed are the times at which replicas crashed.
	crashed []time.Time
}

// run is one run of a request at a replica.
type run struct {
	replica string
	what    conduct
	body    string
	at      time.Time
}

// cases are the scripts, by name. They return whether the rule was broken.
var cases = make(map[string]func(w *world) bool)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: world CASE DIRECTORY")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	broken := play(w)
	w.stop()
	if broken {
		w.logf("result: the rule was broken")
		os.Exit(1)
	}
	w.logf("result: the rule held")
}

func newWorld(out string) *world {
	root, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	record, err := os.Create(filepath.Join(out, "record.txt"))
	must(err)
	w := &world{
		root: root, dir: dir, record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		store: platformtest.NewStore(), runs: make(map[string][]run), taken: make(map[string]bool),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }()
	w.logf("disruption: %t", w.trouble)
	return w
}

func (w *world) over() bool { return w.ended.Load() }

// startNodes starts the processes and waits until they are ready.
func (w *world) startNodes() {
	for _, n := range w.nodes {
		w.processes.Add(1)
		n.start()
		go n.watchMemory()
	}
	w.awaitReady()
}

// stop ends all processes and removes the temporary folder.
func (w *world) stop() {
	w.ended.Store(true)
	for _, n := range w.nodes {
		n.signal(9)
	}
	w.processes.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

func (w *world) cannotRun(why string) {
	w.logf("the case cannot run: %s", why)
	w.stop()
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		os.Exit(2)
	}
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

// ran records that a replica began to run a request.
func (w *world) ran(id, replica string, what conduct, body string) {
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], run{replica, what, body, time.Now()})
	w.mu.Unlock()
	w.logf("replica %s runs request %s (%s)", replica, id, [...]string{"sound", "answers without end", "crashes", "answer ends after its head"}[what])
}

// runsOf returns the runs of a request.
func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs[id]...)
}

// newID returns an id as clients make them.
func (w *world) newID(kind string) string { return fmt.Sprintf("%s%06x", kind, w.serial.Add(1)) }

func (w *world) crashedNow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = append(w.crashed, time.Now())
}
