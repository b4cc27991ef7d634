package jobs

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

// turnPlacer grants slots to the items of one organisation, like a hub at which it is
// that organisation's turn.
type turnPlacer struct {
	localPlacer
	turn core.Org
}

func (p *turnPlacer) Place(ctx context.Context, q *placement.Query) (*replica.Replica, time.Duration) {
	if q.Org != p.turn {
		<-ctx.Done()
		return nil, 0
	}
	return p.localPlacer.Place(ctx, q)
}

// Guards against items of one organisation that keep those of another of the same node
// from the hub, or take the slot that these were granted: 100 items of one, due first,
// and three of another.
func TestSlotGoesToTheOrganisationWhoseTurnItIs(t *testing.T) {
	f := newFixture(t, "a/1")
	f.registry.Put(replica.Info{ID: "i-1", Service: "m", Address: silentReplica(t), Slots: 8})
	f.runner.placer = &turnPlacer{localPlacer: localPlacer{registry: f.registry}, turn: "small"}
	f.runner.exec.Routes = &atomic.Pointer[routetable.Table]{}
	f.runner.exec.Routes.Store(routetable.NewTable(1, routetable.Limits{}, []*routetable.Route{
		{Host: "h", Prefix: "/b/", Kind: routetable.KindBatch, Backends: []routetable.Backend{{Service: "m", Weight: 1}}},
	}))
	var many []string
	for i := range 100 {
		many = append(many, fmt.Sprint(i))
	}
	large, small := f.job("large", many...), f.job("small", "1", "2", "3")
	f.runner.mu.Lock()
	for org, job := range map[core.Org]*ownedJob{"large": large, "small": small} {
		job.entry.Host, job.entry.Org = "h", org
		for _, task := range job.pending {
			task.item.Path, task.lastEvent = "/b/x", forward.NoResume
		}
	}
	small.entry.Due = time.Hour
	f.runner.mu.Unlock()
	pending := func() [2]int {
		f.runner.dispatch(time.Now())
		f.runner.mu.Lock()
		defer f.runner.mu.Unlock()
		return [2]int{len(large.pending), len(small.pending)}
	}
	f.Eventually(pending, eventuallyTimeout, "2ms").Should(gomega.Equal([2]int{100, 0}))
	f.runner.mu.Lock()
	f.runner.drop(large, "test ends")
	f.runner.drop(small, "test ends")
	f.runner.mu.Unlock()
}
