package httptable

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
)

func answering(t *testing.T, status int, body string) *Table {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return New(server.URL, 0)
}

// Guards against an answer of the service, or of something in front of it,
// that is taken for another outcome than it proves.
func TestOutcomes(t *testing.T) {
	typed := []error{infra.ErrNotFound, infra.ErrConflict, infra.ErrUnavailable, infra.ErrOutcomeUnknown}
	for _, c := range []struct {
		status      int
		body        string
		read, write error // nil: none of the typed errors
	}{
		{503, "", infra.ErrUnavailable, infra.ErrUnavailable},
		{500, "", infra.ErrUnavailable, infra.ErrOutcomeUnknown},
		{502, "", infra.ErrUnavailable, infra.ErrOutcomeUnknown},
		{404, "", infra.ErrUnavailable, infra.ErrOutcomeUnknown},
		{404, `{"error":{"code":"not_found"}}`, infra.ErrNotFound, infra.ErrOutcomeUnknown},
		{409, "", infra.ErrUnavailable, infra.ErrOutcomeUnknown},
		{409, `{"error":{"code":"conflict"}}`, infra.ErrUnavailable, infra.ErrConflict},
		{400, `{"error":{"code":"bad_request"}}`, nil, nil},
		{200, `{`, infra.ErrUnavailable, infra.ErrOutcomeUnknown},
		{200, `{"versions":[]}`, nil, infra.ErrOutcomeUnknown},
	} {
		g := gomega.NewWithT(t)
		table := answering(t, c.status, c.body)
		_, read := table.Get(t.Context(), "k")
		_, write := table.Commit(t.Context(), infra.Txn{Writes: []infra.Write{{Key: "k"}}})
		for _, err := range typed {
			g.Expect(errors.Is(read, err)).To(gomega.Equal(err == c.read), "read %d %s: %v", c.status, c.body, read)
			g.Expect(errors.Is(write, err)).To(gomega.Equal(err == c.write), "write %d %s: %v", c.status, c.body, write)
		}
	}
}
