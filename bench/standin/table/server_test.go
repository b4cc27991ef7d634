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

func start(t *testing.T, timeout time.Duration) (*Server, *httptable.Table) {
	server := New(Params{Seed: 1})
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	table := httptable.New(web.URL, timeout)
	t.Cleanup(table.Close)
	return server, table
}

func set(key string, version uint64) infra.Txn {
	return infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: version}},
		Writes:     []infra.Write{{Key: key, Value: []byte("v")}},
	}
}

// Guards against a write whose outcome is reported wrongly: each fault must
// give the error that its effect on the table justifies.
func TestWriteOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		fault   Fault
		want    error
		applied int64
	}{
		"down":        {Fault{Down: true}, infra.ErrUnavailable, 0},
		"refused":     {Fault{RefuseWrites: 1}, infra.ErrUnavailable, 0},
		"lost answer": {Fault{LoseAnswers: 1}, infra.ErrOutcomeUnknown, 1},
		"dropped":     {Fault{DropBefore: 1}, infra.ErrOutcomeUnknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server, table := start(t, 0)
			_, err := table.Get(t.Context(), "warm") // the fault meets a reused connection
			g.Expect(err).To(gomega.MatchError(infra.ErrNotFound))
			server.Fault.Set(c.fault)
			_, err = table.Commit(t.Context(), set("k", 0))
			g.Expect(err).To(gomega.MatchError(c.want))
			g.Expect(server.Stats().Commits).To(gomega.Equal(c.applied))
		})
	}
}

// Guards against a stand-in whose late writes vanish when the caller gives up:
// the real service applies them later.
func TestWriteTakesEffectAfterTheCallerLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	server, table := start(t, 20*time.Millisecond)
	server.Fault.Set(Fault{Delay: httpkit.Duration(150 * time.Millisecond)})
	_, err := table.Commit(t.Context(), set("k", 0))
	g.Expect(err).To(gomega.MatchError(infra.ErrOutcomeUnknown))
	g.Eventually(server.Table.Commits).Should(gomega.Equal(int64(1)))
}

// Guards against keys, values, versions or conditions that change on the wire:
// the served table must behave as the one in memory.
func TestServedTableEqualsMemory(t *testing.T) {
	_, table := start(t, 0)
	base := 0
	rapid.Check(t, func(t *rapid.T) {
		ctx := t.Context()
		base++
		model := infratest.NewTable()
		prefix := rapid.StringMatching(`[a&=%/?# ü]{1,3}`).Draw(t, "prefix") + strings.Repeat("-", base)
		versions := map[string]uint64{} // of the served table
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

// Guards against bad input that is applied.
func TestBadInput(t *testing.T) {
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
