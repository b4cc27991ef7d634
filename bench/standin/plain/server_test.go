package plain

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/backend"
	plainadapter "gentiantide.example/gentiantide/internal/backend/plain"
	"gentiantide.example/gentiantide/internal/httpsend"
)

// Guards against issuing a permit twice and against reporting that it was not
// issued although it was: the reported outcome must fit what the fault did.
func TestPermitOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		fault  Fault
		err    error
		status int
		notRun bool
		issued int
	}{
		"healthy":        {Fault{}, nil, http.StatusOK, false, 1},
		"refused":        {Fault{Refuse: 1}, nil, http.StatusServiceUnavailable, true, 0},
		"dropped before": {Fault{DropBefore: 1}, backend.ErrInterrupted, 0, false, 0},
		"dropped after":  {Fault{DropAfter: 1}, backend.ErrInterrupted, 0, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := New(Params{})
			httpServer := httptest.NewServer(server)
			defer httpServer.Close()
			service := plainadapter.New(httpsend.New(), httpServer.URL)
			rule, err := service.Do(t.Context(), backend.Call{Method: http.MethodGet, Path: "/permit-desk/rules/7"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(rule.Body).To(gomega.MatchJSON(`{"id":"7","rule":"rule 7"}`))
			server.Fault.Set(c.fault)
			response, err := service.Do(t.Context(), backend.Call{
				Method: http.MethodPost,
				Path:   "/permit-desk/issue",
				Header: http.Header{"Idempotency-Key": {"k"}, "Connection": {"close"}},
				Body:   []byte(`{"permit":"p"}`),
			})
			if c.err != nil {
				g.Expect(err).To(gomega.MatchError(c.err))
			} else {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			g.Expect(response.Status).To(gomega.Equal(c.status))
			g.Expect(plainadapter.NotRun(response)).To(gomega.Equal(c.notRun))
			g.Expect(server.Stats().Issued).To(gomega.Equal(c.issued))
			g.Expect(server.Stats().Repeated).To(gomega.BeEmpty())
		})
	}
}

// Guards against a path that redirects a call to another host.
func TestPathMustBeginWithSlash(t *testing.T) {
	g := gomega.NewWithT(t)
	service := plainadapter.New(httpsend.New(), "http://127.0.0.1:1")
	_, err := service.Do(t.Context(), backend.Call{Method: http.MethodGet, Path: "@127.0.0.2:1/"})
	g.Expect(err).To(gomega.MatchError(backend.ErrInvalid))
	_, err = service.Do(t.Context(), backend.Call{Method: http.MethodGet, Path: "/"})
	g.Expect(err).To(gomega.MatchError(backend.ErrUnreachable))
}
