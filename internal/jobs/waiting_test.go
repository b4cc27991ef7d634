package jobs

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/routetable"
)

// Guards against a limit on waiting tokens that one organisation uses up for another, or
// that counts what owners say of jobs more or less than once. The load it answers: a large
// organisation sends six times its usual jobs, and their items are done one by one.
func TestReserveByOrganisation(t *testing.T) {
	cache := NewJobCache(slog.New(slog.DiscardHandler))
	for i, record := range []Record{
		{ID: "n1", Org: "north", Tokens: 600}, {ID: "n2", Org: "north", Tokens: 300}, {ID: "s1", Org: "south", Tokens: 500},
		{ID: "done", Org: "north", State: StateDone, Tokens: 900}, {ID: "ended", Org: "north", State: StateCancelled, Tokens: 900},
	} {
		if record.Host = "h"; record.State == "" {
			record.State = StateOpen
		}
		cache.updateSilently(&record, uint64(i+1))
	}
	route := &routetable.Route{Host: "h", MaxQueuedTokens: 1000}
	for name, c := range map[string]struct {
		access  Access
		waiting map[string]int64
		pending map[core.Org]int64
		largest int64 // the most tokens that fit
	}{
		"by the rows":                    {Access{Limited: true, Org: "north"}, nil, nil, 70},
		"another organisation":           {Access{Limited: true, Org: "south"}, nil, nil, 470},
		"a new organisation":             {Access{Limited: true, Org: "west"}, nil, nil, 970},
		"one owner answers":              {Access{Limited: true, Org: "north"}, map[string]int64{"n1": 100, "s1": 0}, nil, 570},
		"all owners answer":              {Access{Limited: true, Org: "north"}, map[string]int64{"n1": 0, "n2": 0}, nil, 970},
		"submissions that are stored":    {Access{Limited: true, Org: "south"}, nil, map[core.Org]int64{"south": 400, "north": 90}, 70},
		"no organisations, all together": {Access{}, nil, nil, -1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			in := &Intake{cache: cache, pending: c.pending}
			sub := &Submission{Access: c.access}
			g.Expect(in.reserve(sub, route, c.largest+1, c.waiting)).To(gomega.BeFalse())
			if c.largest >= 0 {
				g.Expect(in.reserve(sub, route, c.largest, c.waiting)).To(gomega.BeTrue())
				in.release(sub.Access.Org, c.largest)
				g.Expect(in.reserve(sub, route, c.largest, c.waiting)).To(gomega.BeTrue())
			}
		})
	}
}

// Guards against a question to all nodes of a large fleet for each job that does not fit,
// and against owners that are gone or unknown and count as having no items.
func TestWaitingTokensOfManyOwners(t *testing.T) {
	g := gomega.NewWithT(t)
	open := make([]Entry, 0, 40)
	for i := range cap(open) {
		open = append(open, Entry{Record: Record{ID: fmt.Sprint("job-", i), Owner: fmt.Sprint("node-", i), Tokens: int64(i)}})
	}
	owners := byOwner(open)
	g.Expect(owners).To(gomega.HaveLen(maxWaitingOwners))
	g.Expect(owners[0].jobs).To(gomega.Equal([]string{"job-39"}))
	runner := &Runner{owner: "node-39", log: slog.New(slog.DiscardHandler), jobs: map[string]*ownedJob{"job-39": {
		pending: []*itemTask{{item: &Item{Tokens: 5}}}, running: map[*itemTask]struct{}{{item: &Item{Tokens: 7}}: {}},
		finished: []Result{{Item: "x"}},
	}}}
	waiting := &waitingTokens{runner: runner, view: func() *nodes.View { return &nodes.View{} }}
	g.Expect(waiting.of(context.Background(), open)).To(gomega.Equal(map[string]int64{"job-39": 12}))
}
