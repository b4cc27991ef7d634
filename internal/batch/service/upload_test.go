package service

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch"
)

// Guards against uploads that together need more memory than the node has, and
// against a bound that is not given back.
func TestUploadsAtOnceAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(batch.DefaultConfig(), answerAfter(0))
		defer c.stopAll()
		n := c.start()
		var writers []*io.PipeWriter
		answers := make(chan int, 10)
		for range 3 {
			body, writer := io.Pipe()
			writers = append(writers, writer)
			go func() { answers <- n.do("POST", "/v1/files", "", body, "multipart/form-data; boundary=b").Code }()
		}
		synctest.Wait()
		_, refusal := n.upload("", input(2))
		g.Expect(refusal).To(gomega.HavePrefix("overloaded not_run"))
		for _, w := range writers {
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
		}
		for range writers {
			g.Expect(<-answers).NotTo(gomega.Equal(http.StatusOK))
		}
		_, refusal = n.upload("", input(2))
		g.Expect(refusal).To(gomega.BeEmpty())
	})
}
