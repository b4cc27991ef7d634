package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
)

// Guards against a store that fills with ended jobs, and against deleting one
// that is open or still to be read.
func TestSweepDeletesOnlyOldEndedJobs(t *testing.T) {
	b := newBench(t, "a/1")
	ctx := context.Background()
	clock, _ := b.rows.Clock()
	keep := 2 * time.Minute
	over := clock - keep - 2*sweepMargin
	for id, record := range map[string]Record{
		"old":       {State: StateDone, Accepted: over},
		"cancelled": {State: StateCancelled, Accepted: over},
		"open":      {State: StateOpen, Accepted: over},
		"young":     {State: StateDone, Accepted: clock - keep},
	} {
		record.ID, record.Object, record.Total = id, "items-"+id, 1
		b.Expect(b.store.objects.Put(ctx, record.Object, []byte{0x90})).To(gomega.Succeed())
		version, err := b.store.put(ctx, &record, 0)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.putResult(id, 0, "x")
		b.runner.book.Learn(&record, version)
	}
	sweeper := &sweeper{
		store: b.store, book: b.runner.book, take: &takeover{runner: b.runner}, clock: b.rows.Clock, keep: keep,
	}
	sweeper.sweep(ctx, &nodes.View{Alive: map[string]nodes.Record{"a/1": {}}})
	for id, kept := range map[string]bool{"old": false, "cancelled": false, "open": true, "young": true} {
		_, err := b.store.job(ctx, id)
		_, objectErr := b.store.items(ctx, "items-"+id)
		if kept {
			b.Expect(err).NotTo(gomega.HaveOccurred(), id)
			b.Expect(objectErr).NotTo(gomega.HaveOccurred(), id)
			b.Expect(b.listed(id)).To(gomega.HaveLen(1), id)
		} else {
			b.Expect(err).To(gomega.MatchError(infra.ErrNotFound), id)
			b.Expect(objectErr).To(gomega.MatchError(infra.ErrNotFound), id)
			b.Expect(b.listed(id)).To(gomega.BeEmpty(), id)
		}
	}
	// Another node's jobs are left to it.
	b.Expect(sweeper.take.mine("young", &nodes.View{Alive: map[string]nodes.Record{"b/1": {}}})).To(gomega.BeFalse())
}
