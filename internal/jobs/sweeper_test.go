package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
)

// Guards against a store that fills up with ended jobs, and against deleting a
// job that is open or still within its retention time.
func TestSweepDeletesOnlyOldEndedJobs(t *testing.T) {
	f := newFixture(t, "a/1")
	ctx := context.Background()
	clock, _ := f.rows.Clock()
	retention := 2 * time.Minute
	over := clock - retention - 2*sweepMargin
	for id, record := range map[string]Record{
		"old":       {State: StateDone, Accepted: over},
		"cancelled": {State: StateCancelled, Accepted: over},
		"open":      {State: StateOpen, Accepted: over},
		"young":     {State: StateDone, Accepted: clock - retention},
	} {
		record.ID, record.Object, record.Total = id, "items-"+id, 1
		f.Expect(f.store.objects.Put(ctx, record.Object, []byte{0x90})).To(gomega.Succeed())
		version, err := f.store.put(ctx, &record, 0)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.putResult(id, 0, "x")
		f.runner.cache.Update(&record, version)
	}
	sweeper := &sweeper{
		store: f.store, cache: f.runner.cache, claimer: &orphanClaimer{runner: f.runner}, clock: f.rows.Clock, retention: retention,
	}
	sweeper.sweep(ctx, &nodes.View{Alive: map[string]nodes.Record{"a/1": {}}})
	for id, kept := range map[string]bool{"old": false, "cancelled": false, "open": true, "young": true} {
		_, err := f.store.job(ctx, id)
		_, objectErr := f.store.items(ctx, "items-"+id)
		if kept {
			f.Expect(err).NotTo(gomega.HaveOccurred(), id)
			f.Expect(objectErr).NotTo(gomega.HaveOccurred(), id)
			f.Expect(f.listedItems(id)).To(gomega.HaveLen(1), id)
		} else {
			f.Expect(err).To(gomega.MatchError(infra.ErrNotFound), id)
			f.Expect(objectErr).To(gomega.MatchError(infra.ErrNotFound), id)
			f.Expect(f.listedItems(id)).To(gomega.BeEmpty(), id)
		}
	}
	// A job that is assigned to another node is not deleted here.
	f.Expect(sweeper.claimer.assignedHere("young", &nodes.View{Alive: map[string]nodes.Record{"b/1": {}}})).To(gomega.BeFalse())
}
