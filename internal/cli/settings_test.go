package cli

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi/operators"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/settings"
)

// noPeers is the peer.Messenger of a node without peers.
type noPeers struct{}

func (noPeers) Self() core.NodeID           { return "node-1" }
func (noPeers) Handle(string, peer.Handler) {}
func (noPeers) Call(context.Context, core.NodeID, string, any, any) error {
	return peer.ErrUnavailable
}
func (noPeers) Send(core.NodeID, string, any) error { return peer.ErrUnavailable }

// fixture runs commands against a test server with an in-memory settings table.
type fixture struct {
	server *httptest.Server
	table  *infratest.Table
	mu     sync.Mutex // guards fleet and intercept
	fleet  operators.Fleet
	// intercept may handle a request in place of the server; it reports whether it
	// did.
	intercept func(w http.ResponseWriter, r *http.Request) bool
	out       bytes.Buffer
	errors    bytes.Buffer
}

func newFixture(t *testing.T, mux *http.ServeMux) *fixture {
	f := &fixture{table: infratest.NewTable()}
	manager := settings.NewManager(settings.Options{
		Table: f.table, Messenger: noPeers{}, View: func() *membership.View { return membership.NewView("node-1", nil) },
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	(&operators.Server{Editor: manager, Fleet: func() any { f.mu.Lock(); defer f.mu.Unlock(); return f.fleet }, Dump: func() any { return manager.Status() }, Version: "9"}).Register(mux)
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.intercepted(w, r) {
			mux.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) intercepted(w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.intercept != nil && f.intercept(w, r)
}

func (f *fixture) run(args ...string) int {
	f.out.Reset()
	f.errors.Reset()
	app := &App{Stdout: &f.out, Stderr: &f.errors, Version: "1", PollInterval: time.Millisecond, RetryDelay: time.Millisecond, Getenv: func(name string) string {
		return map[string]string{envOperators: f.server.URL, envCallers: f.server.URL, envAPIKey: "secret", "USER": "ana"}[name]
	}}
	return app.Run(context.Background(), args)
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// Guards against exit codes and outputs that differ from the documented ones.
func TestSettingsCommands(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, http.NewServeMux())
	bad := writeFile(t, `{"/": {"retry.budgit": 1}}`)
	good := writeFile(t, `{"/services/desk": {"kind": "plain", "route": "/desk/", "route.non_idempotent": ["POST /desk/a", "POST /desk/b"]}, "/": {"retry.budget": 0.2}}`)
	clash := writeFile(t, `{"/services/x": {"kind": "plain", "route": "/desk/"}}`)
	for _, step := range []struct {
		code int
		want string // substring of the standard output or the standard error
		args []string
	}{
		{exitUsage, "Usage", nil},
		{exitUsage, "Subcommands", []string{"bogus"}},
		{exitUsage, "wrong number of arguments", []string{"settings", "unset", "/"}},
		{exitUsage, "not defined", []string{"settings", "get", "-bogus"}},
		{exitUsage, "expected text or json", []string{"settings", "get", "-o", "xml"}},
		{exitOK, "0  done", []string{"settings", "help", "get"}},
		{exitOK, "| `drain` |", []string{"settings", "keys"}},
		{exitOK, "ok", []string{"settings", "check", good}},
		{exitRefused, `:1:8: /: unknown key "retry.budgit", did you mean "retry.budget"?`, []string{"settings", "check", good, bad}},
		{exitFailed, "no such file", []string{"settings", "check", "absent.json"}},
		{exitOK, "would change", []string{"settings", "apply", "-dry-run", good}},
		{exitOK, "/services/desk  changed", []string{"settings", "apply", good}},
		{exitOK, "/services/desk  unchanged", []string{"settings", "apply", good}},
		{exitRefused, "failed", []string{"settings", "apply", clash}},
		{exitOK, "retry.max_attempts", []string{"settings", "set", "/services", "retry.max_attempts=5", "hedge.after=80ms"}},
		{exitOK, `"from": "/services"`, []string{"settings", "get", "/services/desk", "-explain", "-o", "json"}},
		{exitRefused, "wrong unit", []string{"settings", "set", "/", "hedge.after=80"}},
		{exitConflict, "the current version is 3", []string{"settings", "set", "-base", "1", "/services", "retry.budget=0"}},
		{exitOK, "/services: version 4", []string{"settings", "unset", "/services", "hedge.after"}},
		{exitOK, "ana     /services       -hedge.after", []string{"settings", "history"}},
		{exitOK, "verse: version 5", []string{"deployment", "create", "verse", "kind=model", "model=verse-1"}},
		{exitConflict, "conflict", []string{"deployment", "create", "verse", "kind=model", "model=verse-2"}},
		{exitOK, "verse  model  verse-1", []string{"deployment", "list"}},
		{exitOK, "online.deadline", []string{"deployment", "show", "verse"}},
		{exitRefused, "there is no deployment", []string{"deployment", "show", "none"}},
		{exitOK, "version 6", []string{"deployment", "delete", "verse"}},
		{exitOK, "settings version 7", []string{"drain", "b-1", "-wait"}},
		{exitOK, "drain false, settings version 8", []string{"drain", "-undo", "b-1"}},
		{exitOK, "BACKEND SERVER", []string{"fleet"}},
		{exitOK, `"version": 8`, []string{"dump"}},
		{exitOK, "server 9", []string{"version"}},
	} {
		g.Expect(f.run(step.args...)).To(gomega.Equal(step.code), "%v: %s%s", step.args, &f.out, &f.errors)
		g.Expect(f.out.String()+f.errors.String()).To(gomega.ContainSubstring(step.want), "%v", step.args)
	}
	f.table.SetFaultPlan(infratest.FaultPlan{RefuseWrites: 1})
	g.Expect(f.run("settings", "set", "/", "retry.budget=0")).To(gomega.Equal(exitUnavailable))
	f.server.Close()
	g.Expect(f.run("settings", "get")).To(gomega.Equal(exitUnavailable))
}

// Guards against a change that is retried after its response was lost: the retry
// would be refused as a conflict although the change took effect.
func TestLostResponseIsNotRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	mux := http.NewServeMux()
	f := newFixture(t, mux)
	posts := 0
	f.intercept = func(w http.ResponseWriter, r *http.Request) bool {
		if r.Method != http.MethodPost {
			return false
		}
		posts++
		mux.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	g.Expect(f.run("settings", "set", "/", "retry.budget=0.3")).To(gomega.Equal(exitUnavailable))
	g.Expect(f.errors.String()).To(gomega.ContainSubstring("outcome is unknown"))
	f.mu.Lock()
	g.Expect(posts).To(gomega.Equal(1))
	f.intercept = nil
	f.mu.Unlock()
	g.Expect(f.run("settings", "get")).To(gomega.Equal(exitOK))
	g.Expect(f.out.String()).To(gomega.ContainSubstring("0.3"))
}

// Guards against a drain that is reported as done while work is in progress.
func TestDrainWaitsForWorkInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, http.NewServeMux())
	polls := 0
	f.intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/admin/v1/fleet" {
			polls++
			f.fleet = operators.Fleet{Backends: []operators.FleetBackend{{ID: "b-1", Drain: true, InFlight: max(0, 3-polls)}}}
		}
		return false
	}
	g.Expect(f.run("drain", "-wait", "b-1")).To(gomega.Equal(exitOK))
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Expect(polls).To(gomega.Equal(3))
}
