package fleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
)

func serve(s *Server, method, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, "/fleet", strings.NewReader(body)))
	return w
}

// Guards against a list that shows changes before the lag has passed or loses
// some of them.
func TestListShowsChangesAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := New(Params{Lag: 3 * time.Second})
		list := func() string {
			var vms []infra.VM
			g.Expect(json.Unmarshal(serve(s, "GET", "").Body.Bytes(), &vms)).To(gomega.Succeed())
			names := ""
			for _, vm := range vms {
				names += vm.ID
				if vm.Leaving {
					names += "!"
				}
			}
			return names
		}
		g.Expect(list()).To(gomega.BeEmpty())
		g.Expect(serve(s, "PUT", `[{"id":"a","kind":"node","address":"x"},{"id":"b","kind":"backend","address":"y"}]`).Code).To(gomega.Equal(http.StatusNoContent))
		g.Expect(list()).To(gomega.Equal("ab"))
		time.Sleep(time.Second)
		for _, change := range []string{`{"leaving":"a"}`, `{"remove":"b"}`, `{"add":{"id":"c","kind":"node","address":"z"}}`} {
			g.Expect(serve(s, "PATCH", change).Code).To(gomega.Equal(http.StatusNoContent))
			time.Sleep(time.Second)
		}
		g.Expect(list()).To(gomega.Equal("a!b"))
		time.Sleep(time.Second)
		g.Expect(list()).To(gomega.Equal("a!"))
		time.Sleep(time.Second)
		g.Expect(list()).To(gomega.Equal("a!c"))
	})
}

// Guards against invalid requests that change the list.
func TestInvalidRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(Params{})
	for _, c := range [][2]string{
		{"PUT", `{}`},
		{"PUT", `[{"id":"a","kind":"node"}]`},
		{"PUT", `[{"id":"a","kind":"other","address":"x"}]`},
		{"PUT", `[{"id":"a","kind":"node","address":"x"},{"id":"a","kind":"node","address":"y"}]`},
		{"PATCH", `{}`},
		{"PATCH", `{"remove":"a"}`},
		{"PATCH", `{"remove":"a","leaving":"a"}`},
	} {
		g.Expect(serve(s, c[0], c[1]).Code).To(gomega.Equal(http.StatusBadRequest), "%v", c)
	}
	g.Expect(s.Visible()).To(gomega.BeEmpty())
}
