package httpfleet

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
)

// Guards against a broken response that passes for an empty fleet.
func TestBrokenList(t *testing.T) {
	for body, whole := range map[string]bool{`[]`: true, `[{}]`: true, `null`: false, `{}`: false, ``: false, `[`: false} {
		g := gomega.NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		_, err := New(server.URL, 0).List(t.Context())
		server.Close()
		if whole {
			g.Expect(err).NotTo(gomega.HaveOccurred(), "%q", body)
		} else {
			g.Expect(err).To(gomega.MatchError(infra.ErrUnavailable), "%q", body)
		}
	}
}
