package jobs

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a node that works on no job and answers no read of one any more: the
// search for jobs to resume held the lock of the cache and waited for that of the
// runner, while a commit that completed a job held that one and waited for the first.
func TestSearchForJobsAndCommitDoNotBlockEachOther(t *testing.T) {
	f := newFixture(t, "a/1")
	job := f.job("job", "item")
	record := job.entry.Record
	f.runner.cache.Update(&record, job.entry.Version)
	claimer := &orphanClaimer{runner: f.runner, claiming: make(map[string]bool)}
	ended := make(chan struct{})

	f.runner.mu.Lock()
	go func() {
		defer close(ended)
		claimer.resumeUnstarted(t.Context(), time.Now().Add(2*localStartGrace))
	}()
	// The search reaches the runner's lock while a commit has it. A sound one passes
	// however long it takes for that.
	time.Sleep(50 * time.Millisecond)
	updated := make(chan struct{})
	go func() {
		defer close(updated)
		f.runner.cache.updateSilently(&record, job.entry.Version+1)
	}()
	f.Eventually(updated, eventuallyTimeout).Should(gomega.BeClosed())
	f.runner.mu.Unlock()
	f.Eventually(ended, eventuallyTimeout).Should(gomega.BeClosed())
}
