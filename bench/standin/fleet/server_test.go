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

func do(s *Server, method, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, "/fleet", strings.NewReader(body)))
	return w
}

// Guards against a list that shows changes before its lag or loses some.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := New(Params{Lag: 3 * time.Second})
		list := func() string {
			var vms []infra.VM
			g.Expect(json.Unmarshal(do(s, "GET", "").Body.Bytes(), &vms)).To(gomega.Succeed())
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
		g.Expect(do(s, "PUT", `[{"id":"a","kind":"node","address":"x"},{"id":"b","kind":"backend","address":"y"}]`).Code).To(gomega.Equal(http.StatusNoContent))
		g.Expect(list()).To(gomega.Equal("ab"))
		time.Sleep(time.Second)
		for _, change := range []string{`{"leaving":"a"}`, `{"remove":"b"}`, `{"add":{"id":"c","kind":"node","address":"z"}}`} {
			g.Expect(do(s, "PATCH", change).Code).To(gomega.Equal(http.StatusNoContent))
			time.Sleep(time.Second)
		}
		g.Expect(list()).To(gomega.Equal("a!b"))
		time.Sleep(time.Second)
		g.Expect(list()).To(gomega.Equal("a!"))
		time.Sleep(time.Second)
		g.Expect(list()).To(gomega.Equal("a!c"))
	})
}

// Guards against bad input that changes the list.
func TestBadInput(t *testing.T) {
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
		g.Expect(do(s, c[0], c[1]).Code).To(gomega.Equal(http.StatusBadRequest), "%v", c)
	}
	g.Expect(s.Visible()).To(gomega.BeEmpty())
}
