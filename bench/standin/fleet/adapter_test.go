package fleet

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/httpfleet"
)

// countingHandler counts the bytes of the response bodies.
type countingHandler struct {
	http.Handler
	bytes int
}

func (c *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	c.Handler.ServeHTTP(recorder, r)
	c.bytes += recorder.Body.Len()
	for k, v := range recorder.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

// Guards against transferring an unchanged list again, against missing a change,
// and against an outage that looks like an empty fleet.
func TestAdapterReadsOnlyChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(Params{})
	a := infra.VM{ID: "a", Kind: infra.KindNode, Address: "127.0.0.1:1"}
	s.Set([]infra.VM{a})
	counting := &countingHandler{Handler: s}
	server := httptest.NewServer(counting)
	defer server.Close()
	list := httpfleet.New(server.URL, 0)
	defer list.Close()

	g.Expect(list.List(t.Context())).To(gomega.Equal([]infra.VM{a}))
	first := counting.bytes
	g.Expect(first).To(gomega.BeNumerically(">", 0))
	g.Expect(list.List(t.Context())).To(gomega.Equal([]infra.VM{a}))
	g.Expect(counting.bytes).To(gomega.Equal(first))

	a.Leaving = true
	s.Set([]infra.VM{a})
	g.Expect(list.List(t.Context())).To(gomega.Equal([]infra.VM{a}))
	s.Fault.Set(Fault{Down: true})
	_, err := list.List(t.Context())
	g.Expect(err).To(gomega.MatchError(infra.ErrUnavailable))
	s.Fault.Set(Fault{})
	g.Expect(list.List(t.Context())).To(gomega.Equal([]infra.VM{a}))
}
