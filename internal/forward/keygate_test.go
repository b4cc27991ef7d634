package forward

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/routetable"
)

// Guards against a node that refuses for good, with status 401, a key that it may only not
// know yet, and against one that accepts keys for longer than its settings allow. The load
// it answers: keys are added and taken away while some nodes are cut off from the store.
func TestJudgeKey(t *testing.T) {
	for name, c := range map[string]struct {
		valid    bool
		key      string
		age      time.Duration
		known    bool
		trustFor time.Duration
		want     keyVerdict
	}{
		"valid":                              {true, "k", time.Second, true, 0, keyAccepted},
		"valid, old configuration":           {true, "k", time.Hour, true, 0, keyAccepted},
		"valid, never confirmed":             {true, "k", 0, false, 0, keyAccepted},
		"valid, within the trust":            {true, "k", 5 * time.Second, true, 5 * time.Second, keyAccepted},
		"valid, beyond the trust":            {true, "k", 5*time.Second + 1, true, 5 * time.Second, keyUntrusted},
		"valid, never confirmed, with trust": {true, "k", 0, false, 5 * time.Second, keyUntrusted},
		"unknown":                            {false, "k", 3 * time.Second, true, 0, keyUnknown},
		"unknown, old configuration":         {false, "k", 3*time.Second + 1, true, 0, keyUnsure},
		"unknown, never confirmed":           {false, "k", 0, false, 0, keyUnsure},
		"none":                               {false, "", time.Second, true, 0, keyUnknown},
		"none, old configuration":            {false, "", time.Hour, true, 0, keyUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(judgeKey(c.valid, c.key, c.age, c.known, c.trustFor)).To(gomega.Equal(c.want))
		})
	}
}

// Guards against keys in the log or in the answer to a refused caller.
func TestRefusalNamesNoKey(t *testing.T) {
	g := gomega.NewWithT(t)
	const key = "r26tta828m82thhkmgjq"
	table := routetable.NewTable(7, routetable.Limits{}, nil)
	table.Organisations = routetable.NewOrganisations()
	var log bytes.Buffer
	gate := &KeyGate{
		Age: func(time.Time) (time.Duration, bool) { return time.Second, true },
		Log: slog.New(slog.NewTextHandler(&log, nil)), Scope: tally.NoopScope,
	}
	w := httptest.NewRecorder()
	_, ok := gate.Admit(w, table, &routetable.Route{Name: "seats"}, &RequestInfo{ID: "id-1", Key: key}, time.Now())
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(w.Code).To(gomega.Equal(http.StatusUnauthorized))
	g.Expect(log.String()).To(gomega.And(
		gomega.ContainSubstring("reason=unknown_key"), gomega.ContainSubstring("key="+KeyDigest(key)), gomega.ContainSubstring("route=seats"),
		gomega.ContainSubstring("config=7"), gomega.ContainSubstring("config_age_ms=1000")))
	g.Expect(log.String() + w.Body.String()).NotTo(gomega.ContainSubstring(key))
}

// BenchmarkAdmit decides on a caller with a valid key.
func BenchmarkAdmit(b *testing.B) {
	route := &routetable.Route{Name: "seats"}
	table := routetable.NewTable(7, routetable.Limits{}, nil)
	table.Organisations = routetable.NewOrganisations()
	table.Organisations.Add(&routetable.Organisation{Name: "north"}, []string{"r26tta828m82thhkmgjq"})
	gate := &KeyGate{
		Age: func(time.Time) (time.Duration, bool) { return time.Second, true }, TrustFor: 5 * time.Second,
		Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	}
	w, now := httptest.NewRecorder(), time.Now()
	b.ReportAllocs()
	for b.Loop() {
		reqInfo := RequestInfo{Key: "r26tta828m82thhkmgjq"}
		if _, ok := gate.Admit(w, table, route, &reqInfo, now); !ok {
			b.Fatal("caller with a valid key is refused")
		}
	}
}
