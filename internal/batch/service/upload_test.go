package service

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch"
)

// Concurrent uploads must be bounded, so that together they do not need more memory
// than the node has, and every upload that ends must free its slot.
func TestConcurrentUploadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(batch.DefaultConfig(), completeAfter(0))
		defer c.stopAll()
		n := c.start()
		var writers []*io.PipeWriter
		statusCodes := make(chan int, 10)
		for range 3 {
			body, writer := io.Pipe()
			writers = append(writers, writer)
			go func() {
				statusCodes <- n.request("POST", "/v1/files", "", body, "multipart/form-data; boundary=b").Code
			}()
		}
		synctest.Wait()
		_, refusal := n.upload("", inputLines(2))
		g.Expect(refusal).To(gomega.HavePrefix("overloaded not_run"))
		for _, w := range writers {
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
		}
		for range writers {
			g.Expect(<-statusCodes).NotTo(gomega.Equal(http.StatusOK))
		}
		_, refusal = n.upload("", inputLines(2))
		g.Expect(refusal).To(gomega.BeEmpty())
	})
}
