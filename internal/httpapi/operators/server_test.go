package operators

import (
	"context"
	"crypto/sha256"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
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

func newServer() (*infratest.Table, *http.ServeMux) {
	table := infratest.NewTable()
	manager := settings.NewManager(settings.Options{
		Table: table, Messenger: noPeers{}, View: func() *membership.View { return membership.NewView("node-1", nil) },
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	mux := http.NewServeMux()
	(&Server{Editor: manager, Fleet: func() any { return Fleet{} }, Dump: func() any { return manager.Status() }, Version: "1"}).Register(mux)
	return table, mux
}

// Guards against wrong statuses, error codes and not_run values, and against
// responses whose format differs from the documented one.
func TestEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	table, mux := newServer()
	down, writeRefused := infratest.FaultPlan{Down: true}, infratest.FaultPlan{RefuseWrites: 1}
	for _, step := range []struct {
		plan               infratest.FaultPlan
		method, path, body string
		status             int
		want               string
	}{
		{method: "POST", path: "settings", body: `{"path":"/","base_version":0,"set":{"retry.budget":0.2},"dry_run":true}`, status: 200, want: `"dry_run":true`},
		{method: "POST", path: "settings", body: `{"path":"/services/v","base_version":0,"set":{"kind":"model","model":"m"},"author":"ana"}`, status: 200, want: `{"version":1,"effects":\[{"path":"/services/v","key":"kind","before":null,"after":"model"}`},
		{method: "POST", path: "settings", body: `{"path":"/services/v","base_version":0,"set":{}}`, status: 409, want: `"code":"conflict","message":".*the current version is 1","not_run":true`},
		{method: "POST", path: "settings", body: "{\"path\":\"/\",\n\"set\":{\"retry.budget\":2},\"x\":1}", status: 400, want: `"not_run":true,"problems":\[{"file":"body","line":1,"column":1,"path":"base_version".*"line":2,"column":23.*"line":2,"column":26`},
		{method: "GET", path: "settings?path=/services/v&explain=true", status: 200, want: `{"key":"retry.budget","value":0.1,"from":"default"}.*"confirmed":true`},
		{method: "GET", path: "settings?pth=/", status: 400, want: `unknown query parameter`},
		{method: "POST", path: "drain", body: `{"backend":"b-1","drain":true}`, status: 200, want: `{"version":2,"changed":true}`},
		{method: "POST", path: "drain", body: `{"backend":"b-1","drain":true}`, status: 200, want: `{"version":2,"changed":false}`},
		{method: "POST", path: "drain", body: `{"backend":"b-1","drain":false}`, status: 200, want: `{"version":3,"changed":true}`},
		{method: "POST", path: "drain", body: `{"backend":"b/1"}`, status: 400, want: `"code":"invalid_request"`},
		{method: "GET", path: "settings/history?limit=2", status: 200, want: `^{"entries":\[{"version":3,"path":"/fleet/b-1".*{"version":2,`},
		{method: "GET", path: "settings/history?path=/services/v", status: 200, want: `"author":"ana"`},
		{method: "GET", path: "none", status: 404, want: `"code":"not_found"`},
		{plan: writeRefused, method: "POST", path: "settings", body: `{"path":"/","base_version":0,"set":{}}`, status: 503, want: `"code":"store_unavailable".*"not_run":true`},
		{plan: down, method: "POST", path: "drain", body: `{"backend":"b-1"}`, status: 503, want: `"code":"store_unavailable".*"not_run":true`},
		{plan: down, method: "GET", path: "settings", status: 200, want: `"settings_version":3.*"confirmed":false`},
	} {
		table.SetFaultPlan(step.plan)
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(step.method, "/admin/v1/"+step.path, strings.NewReader(step.body)))
		g.Expect(w.Code).To(gomega.Equal(step.status), "%+v: %s", step, w.Body)
		g.Expect(w.Body.String()).To(gomega.MatchRegexp(step.want), "%+v", step)
	}
}

// Guards against an endpoint that serves requests without a token or with a wrong
// one, against a second token that is ignored during a rotation, and against a
// health check that requires a token.
func TestTokenAuthentication(t *testing.T) {
	mux := http.NewServeMux()
	(&Server{Version: "1", Dump: func() any { return nil }, TokenDigests: [][sha256.Size]byte{
		sha256.Sum256([]byte("old")), sha256.Sum256([]byte("new")),
	}}).Register(mux)
	for _, test := range []struct {
		method, path, header string
		status               int
	}{
		{"GET", "/admin/v1/version", "", 401},
		{"GET", "/admin/v1/version", "Bearer other", 401},
		{"GET", "/admin/v1/version", "Bearer ", 401},
		{"GET", "/admin/v1/version", "Basic old", 401},
		{"GET", "/admin/v1/dump", "", 401},
		{"POST", "/admin/v1/drain", "", 401},
		{"GET", "/admin/none", "", 401},
		{"GET", "/admin/v1/version", "Bearer old", 200},
		{"GET", "/admin/v1/version", "bearer new", 200},
		{"GET", "/healthz", "", 200},
	} {
		g := gomega.NewWithT(t)
		w, r := httptest.NewRecorder(), httptest.NewRequest(test.method, test.path, nil)
		r.Header.Set("Authorization", test.header)
		mux.ServeHTTP(w, r)
		g.Expect(w.Code).To(gomega.Equal(test.status), "%+v", test)
		if test.status == http.StatusUnauthorized {
			g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"type":"authentication_error","code":"unauthorized"`))
			g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"not_run":true`))
		}
	}
}
