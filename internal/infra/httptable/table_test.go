package httptable

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
)

// newTableWithResponse returns a table client of a server that gives the same
// response to every request.
func newTableWithResponse(t *testing.T, status int, body string) *Table {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return New(server.URL, 0)
}

// Guards against a response of the service, or of a proxy in front of it, that is
// mapped to an outcome which it does not prove.
func TestResponseToError(t *testing.T) {
	sentinels := []error{infra.ErrNotFound, infra.ErrConflict, infra.ErrUnavailable, infra.ErrOutcomeUnknown}
	for _, c := range []struct {
		status      int
		body        string
		read, write error // nil: none of the sentinel errors
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
		{200, `{"versions":[]}`, infra.ErrUnavailable, infra.ErrOutcomeUnknown},
		{200, `{"versions":[3]}`, infra.ErrUnavailable, nil},
		{200, `{}`, infra.ErrUnavailable, infra.ErrOutcomeUnknown},
		{200, `null`, infra.ErrUnavailable, infra.ErrOutcomeUnknown},
		{200, `{"key":"other","version":3}`, infra.ErrUnavailable, infra.ErrOutcomeUnknown},
		{200, `{"key":"k","version":0}`, infra.ErrUnavailable, infra.ErrOutcomeUnknown},
		{200, `{"key":"k","version":3}`, nil, infra.ErrOutcomeUnknown},
	} {
		g := gomega.NewWithT(t)
		table := newTableWithResponse(t, c.status, c.body)
		_, read := table.Get(t.Context(), "k")
		_, write := table.Commit(t.Context(), infra.Txn{Writes: []infra.Write{{Key: "k"}}})
		for _, err := range sentinels {
			g.Expect(errors.Is(read, err)).To(gomega.Equal(err == c.read), "read %d %s: %v", c.status, c.body, read)
			g.Expect(errors.Is(write, err)).To(gomega.Equal(err == c.write), "write %d %s: %v", c.status, c.body, write)
		}
	}
}

// Guards against a broken response that passes for an empty table, or for rows of it.
func TestBrokenScan(t *testing.T) {
	for body, whole := range map[string]bool{
		`{"rows":[]}`: true, `{"rows":[{"key":"a/2","version":1}]}`: true,
		`{}`: false, `null`: false, `{"rows":null}`: false, `[]`: false, `{"versions":[1]}`: false,
		`{"rows":[{"key":"b/2","version":1}]}`: false, `{"rows":[{"key":"a/1","version":1}]}`: false, `{"rows":[{"key":"a/2"}]}`: false,
	} {
		g := gomega.NewWithT(t)
		rows, err := newTableWithResponse(t, http.StatusOK, body).Scan(t.Context(), "a/", "a/1", 10)
		g.Expect(err == nil).To(gomega.Equal(whole), "%s: %v", body, rows)
		g.Expect(errors.Is(err, infra.ErrUnavailable)).To(gomega.Equal(!whole), "%s: %v", body, err)
	}
}
