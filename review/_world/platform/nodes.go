package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a machine of the system with its process.
type node struct {
	w     *world
	name  string
	zone  string
	front string
	ready string
	peers string
	file  string

	mu      sync.Mutex
	process *exec.Cmd
	starts  int
	// memoryKills are the ends of the process by the limit on memory.
	memoryKills []time.Time
	peakMB      int64
	stopped     bool
}

const memoryMB = 314

// settings is the settings file that DEPLOY.md shows.
const settings = `node-name: %q
role: "entry"
machine-class: "front"
serves:
  - "front"
  - "control"
ip: "127.0.0.1"
zone: %q
region: "luzon"
zones:
  luzon-a: "luzon"
  luzon-b: "luzon"
  luzon-c: "luzon"
listen:
  front: %q
  ready: %q
  control: %q
seeds:
%sbootstrap: true
fault-counted: false
limits:
  cpu-share: 0.8
  cores: 1
  memory-mb: %d
  max-fds: 8200
  link-mbps: 1000.0
  disk-mb: 0
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1200
contract-params:
  seed-lag-s: 3
  reuse-after-s: 2
  contact-ms: 3000
  ack-ms: 4000
  drain-ms: 2000
  grace-s: 8
  loss-slack-ms: 200
  config-apply-ms: 2000
  revert-slack-ms: 250
  max-skew-ms: 5000
  recovery-s: 12
  pass-ms: 120
  finish-s: 18
  status-s: 120
  cancel-ms: 3000
  settle-ms: 1000
  quota-overage: 0.1
platform:
  address: %q
  form: "table"
  writes-per-s: 800
  reads-per-s: 2000
  tx-ms: 5.0
  part-writes-s: 200
  row-bytes: 65536
  across: false
  history-s: 20
  blob-bytes: 8388608
  blob-ms: 25.0
  blob-mb-s: 80.0
`

// addNodes adds machines in three zones, and writes their settings files.
func (w *world) addNodes(n int) {
	zones := []string{"luzon-a", "luzon-b", "luzon-c"}
	for i := range n {
		name := fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3)
		w.nodes = append(w.nodes, &node{w: w, name: name, zone: zones[i%3], front: w.freeAddress(), ready: w.freeAddress(), peers: w.freeAddress()})
	}
	var seeds strings.Builder
	for _, n := range w.nodes[:min(3, len(w.nodes))] {
		fmt.Fprintf(&seeds, "  - %q\n", n.peers)
	}
	for _, n := range w.nodes {
		n.file = filepath.Join(w.dir, n.name+".yaml")
		must(os.WriteFile(n.file, []byte(fmt.Sprintf(settings, n.name, n.zone, n.front, n.ready, n.peers, seeds.String(), memoryMB, w.storeAddress)), 0o600))
	}
}

// freeAddress returns a free address for a listener of a process. Its port lies below
// those that the kernel gives to outgoing connections, which could take it meanwhile.
func (w *world) freeAddress() string {
	const least, ports = 15000, 15000
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", least+rand.IntN(ports))
		l, err := net.Listen("tcp", address)
		if err != nil || w.taken[address] {
			continue
		}
		must(l.Close())
		w.taken[address] = true
		return address
	}
	w.cannotRun("no free port was found")
	return ""
}

// start runs the process of the deploy file, and again after each end, until the world
// stops.
func (n *node) start() {
	log, err := os.Create(filepath.Join(n.w.dir, n.name+".log"))
	must(err)
	go func() {
		defer n.w.processes.Done()
		runtime.LockOSThread() // the process ends with the thread that started it
		for !n.w.over() {
			cmd := exec.Command(filepath.Join(n.w.root, "target", "gentiantided"), "platform")
			cmd.Dir, cmd.Stdout, cmd.Stderr = n.w.root, log, log
			cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir, "LANG=C", "GENTIANTIDE_BOOT=" + n.file}
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			n.mu.Lock()
			must(cmd.Start())
			n.process = cmd
			n.starts++
			n.mu.Unlock()
			_ = cmd.Wait()
			n.mu.Lock()
			n.process = nil
			n.mu.Unlock()
			if !n.w.over() {
				n.w.logf("process of %s has ended: %s", n.name, cmd.ProcessState)
				time.Sleep(500 * time.Millisecond)
			}
		}
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// watchMemory ends the process when it exceeds the limit of its machine, as the
// platform does.
func (n *node) watchMemory() {
	for !n.w.over() {
		time.Sleep(5 * time.Millisecond)
		n.mu.Lock()
		if p := n.process; p != nil {
			mb := residentMB(p.Process.Pid)
			n.peakMB = max(n.peakMB, mb)
			if mb > memoryMB {
				n.w.logf("process of %s has %d MB, over the limit of %d MB: the platform kills it", n.name, mb, memoryMB)
				n.memoryKills = append(n.memoryKills, time.Now())
				_ = p.Process.Signal(syscall.SIGKILL)
				n.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		n.mu.Unlock()
	}
}

func residentMB(pid int) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return kb >> 10
		}
	}
	return 0
}

// awaitReady waits until all nodes report themselves ready.
func (w *world) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range w.nodes {
		for {
			resp, err := http.Get("http://" + n.ready + "/gentiantide/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				w.cannotRun("node " + n.name + " does not get ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.logf("all %d nodes are ready", len(w.nodes))
}
