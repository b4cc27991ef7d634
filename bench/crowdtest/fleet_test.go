package crowdtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/bench/harness"
)

const (
	// memoryMB is the memory of a VM whose settings name none.
	memoryMB = 256
	// memoryShare is the part of it that a process may have used at its peak.
	memoryShare = 0.9
	// maxFDs is far above what a crowd and a small fleet need.
	maxFDs = 1024
	// crowdSize is the number of clients of a crowd, and bodyBytes the size of a body
	// that is just legal.
	crowdSize = 320
	bodyBytes = 1_000_000
	// waitTimeout bounds waits that normally end within a second.
	waitTimeout = 30 * time.Second
	// requestsAfterwards is the number of ordinary requests after a crowd.
	requestsAfterwards = 20
)

// binDir holds the programs, which TestMain builds.
var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	var err error
	if binDir, err = os.MkdirTemp("", "crowd"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(binDir) }()
	const module = "gentiantide.example/gentiantide/"
	if out, err := exec.Command("go", "build", "-o", binDir+"/", module+"cmd/gentiantided", module+"bench/cmd/standin").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// node is a node daemon in a fleet of its own, with a plain service.
type node struct {
	*gomega.WithT
	*harness.Node
	t *testing.T
}

func start(t *testing.T) *node {
	g := gomega.NewWithT(t)
	fleet, err := harness.Start(harness.Options{
		BinDir: binDir, WorkDir: t.TempDir(), Region: "r", DataCentres: []string{"dc-a"}, NodesPerDC: 1,
		PlainServersPerDC: 1, PlainDeployment: "permit-desk", EngineDeployment: "models",
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(fleet.Close)
	n := &node{WithT: g, Node: fleet.Nodes[0], t: t}
	g.Eventually(func() error {
		return fleet.ChangeSettings(n.Node, "/services/permit-desk", map[string]any{"kind": "plain", "route": "/permit-desk/"})
	}, waitTimeout, "100ms").Should(gomega.Succeed())
	g.Expect(fleet.WaitReady(n.Node)).To(gomega.Succeed())
	g.Eventually(n.ordinary, waitTimeout, "100ms").Should(gomega.BeTrue())
	return n
}

// ordinary reports whether an ordinary request is answered.
func (n *node) ordinary() bool {
	return n.do(http.MethodGet, n.URL()+"/permit-desk/rules/1", "an ordinary body")
}

// operable reports whether the listener for operators answers.
func (n *node) operable() bool {
	return n.do(http.MethodGet, n.OperatorsURL()+"/admin/v1/settings?path=/services/permit-desk", "")
}

func (n *node) do(method, url, body string) bool {
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	n.Expect(err).NotTo(gomega.HaveOccurred())
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// crowd opens connections and then runs a client on all of them at once, until each has
// sent all it wants to or was cut off. They stay open until the end of the test.
func (n *node) crowd(address string, client func(w io.Writer) error) {
	conns := make([]net.Conn, crowdSize)
	for i := range conns {
		var err error
		conns[i], err = net.DialTimeout("tcp", address, waitTimeout)
		n.Expect(err).NotTo(gomega.HaveOccurred())
		n.t.Cleanup(func() { _ = conns[i].Close() })
		_ = conns[i].SetWriteDeadline(time.Now().Add(waitTimeout))
	}
	var all sync.WaitGroup
	for _, conn := range conns {
		all.Go(func() { _ = client(conn) }) // the node may cut it off
	}
	all.Wait()
}

// expectBorne checks that the node has borne a crowd: it lives within its bounds and
// answers.
func (n *node) expectBorne() {
	n.t.Helper()
	for range requestsAfterwards {
		n.Expect(n.Process.Done()).NotTo(gomega.BeClosed(), "the process has ended")
		n.Eventually(n.ordinary, waitTimeout, "100ms").Should(gomega.BeTrue(), "an ordinary request is answered")
		n.Eventually(n.operable, waitTimeout, "100ms").Should(gomega.BeTrue(), "an operator is answered")
	}
	proc := fmt.Sprintf("/proc/%d/", n.Process.PID())
	status, err := os.ReadFile(proc + "status")
	n.Expect(err).NotTo(gomega.HaveOccurred())
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	peakKB, err := strconv.Atoi(strings.TrimSpace(line))
	n.Expect(err).NotTo(gomega.HaveOccurred())
	fds, err := os.ReadDir(proc + "fd")
	n.Expect(err).NotTo(gomega.HaveOccurred())
	peak := float64(peakKB) / 1024
	n.t.Logf("peak %.1f MB of %d, %d descriptors", peak, memoryMB, len(fds))
	n.Expect(peak).To(gomega.BeNumerically("<=", memoryShare*memoryMB), "peak memory in MB")
	n.Expect(len(fds)).To(gomega.BeNumerically("<=", maxFDs), "open descriptors")
}
