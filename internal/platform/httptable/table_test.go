package httptable

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/platform"
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
	typed := []error{platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrUnknown}
	for _, c := range []struct {
		status      int
		body        string
		read, write error // nil: none of the typed errors
	}{
		{503, "", platform.ErrUnavailable, platform.ErrUnavailable},
		{500, "", platform.ErrUnavailable, platform.ErrUnknown},
		{502, "", platform.ErrUnavailable, platform.ErrUnknown},
		{404, "", platform.ErrUnavailable, platform.ErrUnknown},
		{404, `{"error":{"code":"not_found"}}`, platform.ErrNotFound, platform.ErrUnknown},
		{409, "", platform.ErrUnavailable, platform.ErrUnknown},
		{409, `{"error":{"code":"conflict"}}`, platform.ErrUnavailable, platform.ErrConflict},
		{400, `{"error":{"code":"bad_request"}}`, nil, nil},
		{200, `{`, platform.ErrUnavailable, platform.ErrUnknown},
		{200, `{"versions":[]}`, nil, platform.ErrUnknown},
	} {
		g := gomega.NewWithT(t)
		table := answering(t, c.status, c.body)
		_, read := table.Get(t.Context(), "k")
		_, write := table.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: "k"}}})
		for _, err := range typed {
			g.Expect(errors.Is(read, err)).To(gomega.Equal(err == c.read), "read %d %s: %v", c.status, c.body, read)
			g.Expect(errors.Is(write, err)).To(gomega.Equal(err == c.write), "write %d %s: %v", c.status, c.body, write)
		}
	}
}
