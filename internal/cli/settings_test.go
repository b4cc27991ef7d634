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

// alone is a peer.Messenger of a node without peers.
type alone struct{}

func (alone) Self() core.NodeID           { return "node-1" }
func (alone) Handle(string, peer.Handler) {}
func (alone) Call(context.Context, core.NodeID, string, any, any) error {
	return peer.ErrUnavailable
}
func (alone) Send(core.NodeID, string, any) error { return peer.ErrUnavailable }

// fixture runs command lines against a server.
type fixture struct {
	server *httptest.Server
	table  *infratest.Table
	mu     sync.Mutex // guards fleet and fail
	fleet  operators.Fleet
	fail   func(w http.ResponseWriter, r *http.Request) bool
	out    bytes.Buffer
	errors bytes.Buffer
}

func newFixture(t *testing.T, mux *http.ServeMux) *fixture {
	f := &fixture{table: infratest.NewTable()}
	manager := settings.NewManager(settings.Options{
		Table: f.table, Messenger: alone{}, View: func() *membership.View { return membership.NewView("node-1", nil) },
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	(&operators.Server{Editor: manager, Fleet: func() any { f.mu.Lock(); defer f.mu.Unlock(); return f.fleet }, Dump: func() any { return manager.Status() }, Version: "9"}).Register(mux)
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.failed(w, r) {
			mux.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) failed(w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fail != nil && f.fail(w, r)
}

func (f *fixture) run(args ...string) int {
	f.out.Reset()
	f.errors.Reset()
	app := &App{Stdout: &f.out, Stderr: &f.errors, Version: "1", PollInterval: time.Millisecond, RetryPause: time.Millisecond, Getenv: func(name string) string {
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

// Guards against exit codes and outputs other than the documented ones.
func TestSettingsCommands(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, http.NewServeMux())
	bad := writeFile(t, `{"/": {"retry.budgit": 1}}`)
	good := writeFile(t, `{"/services/desk": {"kind": "plain", "route": "/desk/", "route.non_idempotent": ["POST /desk/a", "POST /desk/b"]}, "/": {"retry.budget": 0.2}}`)
	clash := writeFile(t, `{"/services/x": {"kind": "plain", "route": "/desk/"}}`)
	for _, step := range []struct {
		code int
		want string // in either output
		args []string
	}{
		{exitUsage, "Usage", nil},
		{exitUsage, "Subcommands", []string{"bogus"}},
		{exitUsage, "wrong number of arguments", []string{"settings", "unset", "/"}},
		{exitUsage, "not defined", []string{"settings", "get", "-bogus"}},
		{exitUsage, "expected text or json", []string{"settings", "get", "-o", "xml"}},
		{exitDone, "0  done", []string{"settings", "help", "get"}},
		{exitDone, "| `drain` |", []string{"settings", "keys"}},
		{exitDone, "ok", []string{"settings", "check", good}},
		{exitRefused, `:1:8: /: unknown key "retry.budgit", did you mean "retry.budget"?`, []string{"settings", "check", good, bad}},
		{exitFailed, "no such file", []string{"settings", "check", "absent.json"}},
		{exitDone, "would change", []string{"settings", "apply", "-dry-run", good}},
		{exitDone, "/services/desk  changed", []string{"settings", "apply", good}},
		{exitDone, "/services/desk  unchanged", []string{"settings", "apply", good}},
		{exitRefused, "failed", []string{"settings", "apply", clash}},
		{exitDone, "retry.max_attempts", []string{"settings", "set", "/services", "retry.max_attempts=5", "hedge.after=80ms"}},
		{exitDone, `"from": "/services"`, []string{"settings", "get", "/services/desk", "-explain", "-o", "json"}},
		{exitRefused, "wrong unit", []string{"settings", "set", "/", "hedge.after=80"}},
		{exitConflict, "the current version is 3", []string{"settings", "set", "-base", "1", "/services", "retry.budget=0"}},
		{exitDone, "/services: version 4", []string{"settings", "unset", "/services", "hedge.after"}},
		{exitDone, "ana     /services       -hedge.after", []string{"settings", "history"}},
		{exitDone, "verse: version 5", []string{"deployment", "create", "verse", "kind=model", "model=verse-1"}},
		{exitConflict, "conflict", []string{"deployment", "create", "verse", "kind=model", "model=verse-2"}},
		{exitDone, "verse  model  verse-1", []string{"deployment", "list"}},
		{exitDone, "online.deadline", []string{"deployment", "show", "verse"}},
		{exitRefused, "there is no deployment", []string{"deployment", "show", "none"}},
		{exitDone, "version 6", []string{"deployment", "delete", "verse"}},
		{exitDone, "settings version 7", []string{"drain", "b-1", "-wait"}},
		{exitDone, "drain false, settings version 8", []string{"drain", "-undo", "b-1"}},
		{exitDone, "BACKEND SERVER", []string{"fleet"}},
		{exitDone, `"version": 8`, []string{"dump"}},
		{exitDone, "server 9", []string{"version"}},
	} {
		g.Expect(f.run(step.args...)).To(gomega.Equal(step.code), "%v: %s%s", step.args, &f.out, &f.errors)
		g.Expect(f.out.String()+f.errors.String()).To(gomega.ContainSubstring(step.want), "%v", step.args)
	}
	f.table.Set(infratest.FaultPlan{RefuseWrites: 1})
	g.Expect(f.run("settings", "set", "/", "retry.budget=0")).To(gomega.Equal(exitUnavailable))
	f.server.Close()
	g.Expect(f.run("settings", "get")).To(gomega.Equal(exitUnavailable))
}

// Guards against a change that is sent again after its answer was lost: the
// repetition would be refused as a conflict although the change is in force.
func TestLostAnswerIsNotRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	mux := http.NewServeMux()
	f := newFixture(t, mux)
	posts := 0
	f.fail = func(w http.ResponseWriter, r *http.Request) bool {
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
	f.fail = nil
	f.mu.Unlock()
	g.Expect(f.run("settings", "get")).To(gomega.Equal(exitDone))
	g.Expect(f.out.String()).To(gomega.ContainSubstring("0.3"))
}

// Guards against a drain that is reported done while work is in progress.
func TestDrainWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, http.NewServeMux())
	looks := 0
	f.fail = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/admin/v1/fleet" {
			looks++
			f.fleet = operators.Fleet{Backends: []operators.FleetBackend{{ID: "b-1", Drain: true, InFlight: max(0, 3-looks)}}}
		}
		return false
	}
	g.Expect(f.run("drain", "-wait", "b-1")).To(gomega.Equal(exitDone))
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Expect(looks).To(gomega.Equal(3))
}
