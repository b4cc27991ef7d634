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

// Answers a full account in which other requests give back a little all the time: one body
// that ends makes enough room, and no other one ends before it has given its memory back.
func TestNoMoreBodiesEndThanAreNeeded(t *testing.T) {
	g := gomega.NewWithT(t)
	account := memaccount.New(memaccount.Limits{Bytes: 1000, Small: 1000})
	before := time.Now().Add(-time.Minute)
	var large, other, busy *memaccount.Holder
	large = account.Open(before, func() { time.AfterFunc(50*time.Millisecond, func() { large.Close() }) })
	other = account.Open(before, func() {})
	busy, fast := account.Open(time.Now(), func() {}), account.Open(time.Now(), func() {})
	for holder, n := range map[*memaccount.Holder]int64{large: 500, other: 300, busy: 100} {
		g.Expect(holder.Reserve(n)).To(gomega.BeTrue())
	}
	go func() {
		for range 20 {
			time.Sleep(time.Millisecond)
			busy.Release(1)
		}
	}()
	g.Expect(Reserve(account, fast, 400)).To(gomega.Succeed())
	g.Expect(large.Ended()).To(gomega.BeTrue())
	g.Expect(other.Ended()).To(gomega.BeFalse())
}

// Answers two bodies that wait for memory: the one that ends in favour of the other must
// not hold its memory until it has waited in vain.
func TestBodyThatWaitsEndsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	account := memaccount.New(memaccount.Limits{Bytes: 1000, Small: 1000})
	before := time.Now().Add(-time.Minute)
	stuck, slow, fast := account.Open(before, func() {}), account.Open(before, func() {}), account.Open(time.Now(), func() {})
	g.Expect(stuck.Reserve(300)).To(gomega.BeTrue())
	g.Expect(slow.Reserve(600)).To(gomega.BeTrue())
	slow.Received(100, time.Now())
	result := make(chan error, 1)
	go func() {
		err := Reserve(account, slow, 300)
		slow.Close()
		result <- err
	}()
	g.Eventually(stuck.Ended).Should(gomega.BeTrue())
	g.Expect(Reserve(account, fast, 600)).To(gomega.Succeed())
	g.Expect(<-result).To(gomega.BeIdenticalTo(ErrEnded))
}
