package reqbody

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/memaccount"
)

const limit = 300 << 10

// server reads bodies within an account and tells what it has read.
func server(t *testing.T, account *memaccount.Account) (*httptest.Server, <-chan error) {
	results := make(chan error, 4)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		body, err := Read(w, in, account, limit, time.Now().Add(time.Minute))
		defer func() { body.Holder.Close() }() // a body that was refused is charged until then, too
		if err == nil && strings.Trim(string(body.Bytes), "x") != "" {
			err = errors.New("other bytes")
		}
		if err == nil && account.Stats().Used < int64(len(body.Bytes)) {
			err = fmt.Errorf("%d bytes are not accounted for", len(body.Bytes))
		}
		w.Header().Set("Connection", "close")
		w.Header().Set("X-Read", fmt.Sprint(len(body.Bytes)))
		results <- err
	}))
	t.Cleanup(s.Close)
	return s, results
}

// Answers bodies of each size around those of the buffers and the limit, with a length
// and in chunks.
func TestBodiesAreWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	account := memaccount.New(memaccount.Limits{Bytes: 10 << 20})
	s, results := server(t, account)
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, fastGrowth, fastGrowth + 1, limit - 1, limit, limit + 1, 3 * limit} {
		for _, chunked := range []bool{false, true} {
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.URL, strings.NewReader(strings.Repeat("x", size)))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if chunked {
				req.ContentLength = -1
			}
			resp, err := s.Client().Do(req)
			result := <-results
			if size > limit {
				var tooLarge *http.MaxBytesError
				g.Expect(errors.As(result, &tooLarge)).To(gomega.BeTrue(), "%d: %v", size, result)
			} else {
				g.Expect(result).NotTo(gomega.HaveOccurred(), "%d", size)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(resp.Header.Get("X-Read")).To(gomega.Equal(fmt.Sprint(size)))
			}
			if err == nil {
				_ = resp.Body.Close()
			}
			g.Eventually(func() memaccount.Stats { return account.Stats() }).Should(gomega.HaveField("Used", int64(0)))
		}
	}
}

// Answers a body that stops short of its end while another needs its memory: it ends,
// and the other is read.
func TestStandingBodyEndsForAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	account := memaccount.New(memaccount.Limits{Bytes: 2 * limit, Small: 1 << 10})
	s, results := server(t, account)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", limit, strings.Repeat("x", limit-1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() int64 { return account.Stats().Used }).Should(gomega.BeNumerically(">=", limit))
	time.Sleep(2500 * time.Millisecond) // it is judged by what the last windows brought
	resp, err := s.Client().Post(s.URL, "", strings.NewReader(strings.Repeat("x", limit)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
	g.Expect([]error{<-results, <-results}).To(gomega.ConsistOf(gomega.BeIdenticalTo(ErrEnded), gomega.BeNil()))
	g.Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(gomega.Succeed())
	_, err = io.ReadAll(conn)
	g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeFalse(), "the connection ends, although its body never does")
	g.Expect(account.Stats().Ended).To(gomega.Equal(int64(1)))
}
