package table

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/httptable"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

func startServer(t *testing.T, timeout time.Duration) (*Server, *httptable.Table) {
	server := New(Params{Seed: 1})
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	table := httptable.New(httpServer.URL, timeout)
	t.Cleanup(table.Close)
	return server, table
}

func conditionalWrite(key string, version uint64) infra.Txn {
	return infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: version}},
		Writes:     []infra.Write{{Key: key, Value: []byte("v")}},
	}
}

// Guards against a wrong outcome of a write: the error that the client returns
// must fit what the fault did to the table.
func TestWriteOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		fault   Fault
		want    error
		applied int64
	}{
		"down":          {Fault{Down: true}, infra.ErrUnavailable, 0},
		"refused":       {Fault{RefuseWrites: 1}, infra.ErrUnavailable, 0},
		"lost response": {Fault{LoseResponses: 1}, infra.ErrOutcomeUnknown, 1},
		"dropped":       {Fault{DropBefore: 1}, infra.ErrOutcomeUnknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server, table := startServer(t, 0)
			_, err := table.Get(t.Context(), "warm") // opens a connection, so that the fault hits a reused one
			g.Expect(err).To(gomega.MatchError(infra.ErrNotFound))
			server.Fault.Set(c.fault)
			_, err = table.Commit(t.Context(), conditionalWrite("k", 0))
			g.Expect(err).To(gomega.MatchError(c.want))
			g.Expect(server.Stats().Commits).To(gomega.Equal(c.applied))
		})
	}
}

// Guards against a stand-in that discards a delayed write when the caller times
// out. The real service still applies it.
func TestWriteTakesEffectAfterCallerTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	server, table := startServer(t, 20*time.Millisecond)
	server.Fault.Set(Fault{Delay: httpkit.Duration(150 * time.Millisecond)})
	_, err := table.Commit(t.Context(), conditionalWrite("k", 0))
	g.Expect(err).To(gomega.MatchError(infra.ErrOutcomeUnknown))
	g.Eventually(server.Table.Commits).Should(gomega.Equal(int64(1)))
}

// Guards against keys, values, versions or conditions that change in transfer:
// the table behind HTTP must behave like the in-memory table.
func TestTableOverHTTPEqualsInMemoryTable(t *testing.T) {
	_, table := startServer(t, 0)
	checks := 0
	rapid.Check(t, func(t *rapid.T) {
		ctx := t.Context()
		checks++
		model := infratest.NewTable()
		prefix := rapid.StringMatching(`[a&=%/?# ü]{1,3}`).Draw(t, "prefix") + strings.Repeat("-", checks)
		versions := map[string]uint64{} // row versions of the table behind HTTP
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				key := prefix + rapid.SampledFrom([]string{"", "/1", "/2", "+", "%2F"}).Draw(t, "key")
				stale := rapid.Bool().Draw(t, "stale")
				write := infra.Write{Key: key, Value: rapid.SliceOf(rapid.Byte()).Draw(t, "value"), Delete: rapid.Bool().Draw(t, "delete")}
				row, _ := model.Get(ctx, key)
				wanted, served := row.Version, versions[key]
				if stale {
					wanted, served = wanted+1000, served+1000
				}
				_, want := model.Commit(ctx, infra.Txn{Conditions: []infra.Condition{{Key: key, Version: wanted}}, Writes: []infra.Write{write}})
				got, err := table.Commit(ctx, infra.Txn{Conditions: []infra.Condition{{Key: key, Version: served}}, Writes: []infra.Write{write}})
				gomega.NewWithT(t).Expect(err == nil).To(gomega.Equal(want == nil))
				if err == nil {
					versions[key] = got[0]
				}
			},
			"scan": func(t *rapid.T) {
				after := prefix + rapid.SampledFrom([]string{"", "/1", "/"}).Draw(t, "after")
				limit := rapid.IntRange(1, 3).Draw(t, "limit")
				want, _ := model.Scan(ctx, prefix, after, limit)
				got, err := table.Scan(ctx, prefix, after, limit)
				g := gomega.NewWithT(t)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(got).To(gomega.HaveLen(len(want)))
				for i := range want {
					g.Expect(got[i].Key).To(gomega.Equal(want[i].Key))
					g.Expect(string(got[i].Value)).To(gomega.Equal(string(want[i].Value)))
					g.Expect(got[i].Version).To(gomega.Equal(versions[got[i].Key]))
				}
			},
		})
	})
}

// Guards against applying invalid requests.
func TestInvalidRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	server := New(Params{})
	for _, c := range []struct{ method, path, body string }{
		{"GET", "/v1/row", ""},
		{"GET", "/v1/rows?prefix=a", ""},
		{"GET", "/v1/rows?prefix=a&limit=0", ""},
		{"POST", "/v1/transactions", `{"writes":[{"value":"AA=="}]}`},
		{"POST", "/v1/transactions", `{"writes":[{"key":"k"}],"conditions":[{"version":1}]}`},
		{"POST", "/v1/transactions", `{"write":[]}`},
		{"POST", "/fault", `{"lose_answers":1.5}`},
		{"POST", "/fault", `{"delay":"-1s"}`},
	} {
		w := httptest.NewRecorder()
		server.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		g.Expect(w.Code).To(gomega.Equal(http.StatusBadRequest), "%+v", c)
	}
	g.Expect(server.Stats().Commits).To(gomega.BeZero())
}
