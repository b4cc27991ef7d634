package jobs

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/wire"
)

const (
	// kindWaiting is the kind of the call that asks the owner of jobs how many of their
	// tokens still wait.
	kindWaiting = "jobs.waiting"
	// waitingTimeout bounds these calls, which take a few ms. The caller of the job waits
	// for them.
	waitingTimeout = 200 * time.Millisecond
	// maxWaitingOwners is the number of owners that are asked at once, those with the
	// most tokens first. The jobs of the others count in full.
	maxWaitingOwners = 16
)

// waitingQuestion asks the owner of jobs for the tokens that wait.
type waitingQuestion struct {
	Jobs []string `msgpack:"j"`
}

// waitingAnswer has the waiting tokens of those jobs that the node executes.
type waitingAnswer struct {
	Tokens map[string]int64 `msgpack:"t"`
}

// waitingTokens counts the tokens of items without a result, by asking the owners of
// their jobs.
type waitingTokens struct {
	runner *Runner
	// messenger is nil if only the jobs of this node can be asked for.
	messenger peer.Messenger
	view      func() *nodes.View
}

// handle answers a node that asks for the jobs of this one.
func (w *waitingTokens) handle(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var question waitingQuestion
	if err := wire.Unmarshal(body, &question); err != nil {
		return nil, err
	}
	return msgpack.Marshal(&waitingAnswer{Tokens: w.runner.waitingTokens(question.Jobs)})
}

// of returns the waiting tokens of those open jobs whose owner has answered.
func (w *waitingTokens) of(ctx context.Context, open []Entry) map[string]int64 {
	ctx, cancel := context.WithTimeout(ctx, waitingTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	all := make(map[string]int64)
	for _, owned := range byOwner(open) {
		calls.Go(func() {
			defer contain.Recover(w.runner.log, "question for waiting tokens", owned.owner)
			answer := w.ask(ctx, owned)
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(all, answer)
		})
	}
	calls.Wait()
	return all
}

// ask asks one owner, unless it is gone.
func (w *waitingTokens) ask(ctx context.Context, owned ownedJobs) map[string]int64 {
	if owned.owner == w.runner.owner {
		return w.runner.waitingTokens(owned.jobs)
	}
	record, alive := w.view().Alive[owned.owner]
	if !alive || w.messenger == nil {
		return nil
	}
	var answer waitingAnswer
	if err := w.messenger.Call(ctx, record.ID, kindWaiting, &waitingQuestion{Jobs: owned.jobs}, &answer); err != nil {
		w.runner.log.Debug("owner of jobs did not say how many tokens wait", "node", record.ID, "error", err)
		return nil
	}
	return answer.Tokens
}

// ownedJobs are the open jobs of one owner.
type ownedJobs struct {
	owner  string
	jobs   []string
	tokens int64
}

// byOwner returns the owners with the most tokens.
func byOwner(open []Entry) []ownedJobs {
	owners := make(map[string]ownedJobs)
	for i := range open {
		o := owners[open[i].Owner]
		o.owner, o.jobs, o.tokens = open[i].Owner, append(o.jobs, open[i].ID), o.tokens+open[i].Tokens
		owners[o.owner] = o
	}
	list := slices.SortedFunc(maps.Values(owners), func(a, b ownedJobs) int {
		return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.owner, b.owner))
	})
	return list[:min(len(list), maxWaitingOwners)]
}

// waitingTokens returns the tokens of the items without a result, of those jobs that this
// node executes.
func (r *Runner) waitingTokens(jobs []string) map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int64, len(jobs))
	for _, id := range jobs {
		if job := r.jobs[id]; job != nil {
			out[id] = job.waitingTokens()
		}
	}
	return out
}

// waitingTokens returns the tokens of the items without a result.
func (j *ownedJob) waitingTokens() int64 {
	var sum int64
	for _, task := range j.pending {
		sum += task.item.Tokens
	}
	for task := range j.running {
		sum += task.item.Tokens
	}
	return sum
}
