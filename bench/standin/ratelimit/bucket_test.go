package ratelimit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a stand-in with more capacity than the real service, and against
// rejecting calls that could be served after a short wait.
func TestCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := NewBucket(400, 50*time.Millisecond, 250*time.Millisecond)
		served, refused := 0, 0
		results := make(chan bool)
		start := time.Now()
		for time.Since(start) < 10*time.Second {
			go func() { results <- b.Take(t.Context(), 1) }()
			time.Sleep(time.Millisecond)
			synctest.Wait()
			for i := 0; i < 1000; i++ {
				select {
				case ok := <-results:
					if ok {
						served++
					} else {
						refused++
					}
				default:
					i = 1000
				}
			}
		}
		g.Expect(served).To(gomega.BeNumerically("~", 4000, 30))
		g.Expect(refused).To(gomega.BeNumerically(">", 5000))
		time.Sleep(time.Second)
		for drained := false; !drained; {
			select {
			case <-results:
			default:
				drained = true
			}
		}
		g.Expect(b.Take(t.Context(), 1)).To(gomega.BeTrue())
	})
}
