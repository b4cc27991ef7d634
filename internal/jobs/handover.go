package jobs

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// kindHandover is the kind of the call with which a stopping node passes a job
	// on, and kindOffer that of the question whether another one takes jobs.
	kindHandover = "jobs.handover"
	kindOffer    = "jobs.offer"
	// offerTimeout bounds the question, which takes a few ms between data centres.
	offerTimeout = 300 * time.Millisecond
	// handoverTimeout bounds the handover: three calls to the store of a few ms each.
	handoverTimeout = time.Second
	// handoverRetryInterval is the pause before all nodes are asked again. In a roll
	// of the whole fleet all that a node knows may be stopping, while others are back
	// that it learns of with its next read of the table of nodes.
	handoverRetryInterval = 200 * time.Millisecond
	// handoverSettleTime is how long a job stays idle after a handover that failed: the
	// new owner may have written itself into the row all the same, which this node
	// learns with the next changes of the rows.
	handoverSettleTime = time.Second
	// quiesceTimeout bounds the wait for the runs and the commit of a job that is
	// handed over.
	quiesceTimeout = 500 * time.Millisecond
	// quiescePollInterval is how often a node checks whether a job has ended these.
	quiescePollInterval = 5 * time.Millisecond
	// maxHandoverText bounds the text in the message. A frame holds 1 MiB; the items
	// whose text does not fit run from their start.
	maxHandoverText = 512 << 10
)

var errStopping = errors.New("node is stopping and takes no jobs")

// handover passes a job with the output so far of its items to another node.
type handover struct {
	Record  Record         `msgpack:"r"`
	Version uint64         `msgpack:"v"`
	Items   []itemProgress `msgpack:"i"`
}

// itemProgress is the output so far of an item that is not done.
type itemProgress struct {
	Item string `msgpack:"i"`
	// EventData is the text in one piece, or in several that are joined by line feeds. It
	// is empty if there is no event.
	EventData [][]byte      `msgpack:"e"`
	LastEvent int64         `msgpack:"l"`
	RunTime   time.Duration `msgpack:"t"`
	Failures  int           `msgpack:"f"`
	// Software made the output. It is nil if there is none yet.
	Software *replica.Software `msgpack:"s,omitempty"`
}

// handovers passes the jobs of a stopping node to others and takes theirs. The new
// owner writes itself into the job's row before it runs anything; from then on, the
// former owner cannot commit.
type handovers struct {
	runner    *Runner
	messenger peer.Messenger
	view      func() *nodes.View
}

// passOn passes all jobs on, each to the node that would claim it. Their items run on
// until another node takes the job, or ctx ends.
func (h *handovers) passOn(ctx context.Context) {
	var wait sync.WaitGroup
	for _, job := range h.runner.ownedJobs() {
		wait.Go(func() {
			defer contain.Recover(h.runner.log, "handover of job", job.entry.ID)
			h.pass(ctx, job)
		})
	}
	wait.Wait()
}

// pass passes one job on. It returns when the job is complete or has another owner, or
// when ctx ends.
func (h *handovers) pass(ctx context.Context, job *ownedJob) {
	for h.runner.executes(job) && !h.passOnce(ctx, job) {
		if !sleep(ctx, handoverRetryInterval) {
			h.runner.log.Info("job not handed over", "job", job.entry.ID, "reason", "no other node took it in time")
			return
		}
	}
}

// passOnce asks each live node once and reports whether one has taken the job.
func (h *handovers) passOnce(ctx context.Context, job *ownedJob) bool {
	for _, candidate := range h.candidates(job.entry.ID) {
		if err := h.call(ctx, candidate.ID, kindOffer, offerTimeout, nil); err != nil {
			h.runner.log.Debug("node takes no jobs", "node", candidate.ID, "error", err)
			continue
		}
		return h.passTo(ctx, job, &candidate)
	}
	return false
}

// passTo ends the runs of a job and passes it to a node. If that fails, the job runs on
// here, unless the node has become its owner.
func (h *handovers) passTo(ctx context.Context, job *ownedJob, to *nodes.Record) bool {
	r := h.runner
	message, ok := r.quiesce(ctx, job)
	defer r.resume(job)
	if !ok {
		r.log.Info("job not handed over", "job", job.entry.ID, "reason", "its commit is not done")
		return false
	}
	err := h.call(ctx, to.ID, kindHandover, handoverTimeout, message)
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.jobs[job.entry.ID] == job {
			r.drop(job, "handed over to "+to.Owner())
		}
		return true
	}
	r.log.Info("job not handed over", "job", job.entry.ID, "node", to.ID, "error", err)
	sleep(ctx, handoverSettleTime)
	return false
}

func (h *handovers) call(ctx context.Context, to core.NodeID, kind string, timeout time.Duration, message any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.messenger.Call(ctx, to, kind, message, nil)
}

// candidates returns the live nodes, in the order in which they are asked to take a
// job: rendezvous hashing would choose the first one after this node has left. Any of
// them may be stopping, too.
func (h *handovers) candidates(job string) []nodes.Record {
	var out []nodes.Record
	for owner, record := range h.view().Alive {
		if owner != h.runner.owner && record.Address != "" && !record.Stopping {
			out = append(out, record)
		}
	}
	score := func(record *nodes.Record) uint64 { return claimScore(job, record.Owner()) }
	slices.SortFunc(out, func(a, b nodes.Record) int { return cmp.Compare(score(&b), score(&a)) })
	return out
}

// claimScore ranks the nodes that may claim a job; the highest one does.
func claimScore(job, owner string) uint64 { return xxhash.Sum64String(job + "|" + owner) }

// quiesce ends the runs of a job and waits for its commit. It returns the message
// that passes the job on, or false if results could not be committed in time: the
// new owner would run these items again.
func (r *Runner) quiesce(ctx context.Context, job *ownedJob) (*handover, bool) {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	r.mu.Lock()
	job.handingOver = true
	for task := range job.running {
		task.cancel(errPreempted) // its output is kept
	}
	r.mu.Unlock()
	for {
		if message := r.handoverMessage(job); message != nil {
			return message, true
		}
		if !sleep(ctx, quiescePollInterval) {
			return nil, false
		}
	}
}

// resume lets the items of a job run again that was not handed over.
func (r *Runner) resume(job *ownedJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job.handingOver = false
	r.wakeDispatch()
}

// handoverMessage returns the message that passes a job on, or nil while it has runs
// or results that are not committed, or if the runner no longer has it.
func (r *Runner) handoverMessage(job *ownedJob) *handover {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[job.entry.ID] != job || len(job.running) > 0 || job.committing || len(job.finished) > 0 {
		return nil
	}
	message := &handover{Record: job.entry.Record, Version: job.entry.Version}
	text := 0
	for _, task := range job.pending {
		if text += len(task.output.text); text > maxHandoverText {
			break
		}
		message.Items = append(message.Items, itemProgress{
			Item: task.item.ID, EventData: task.output.pieces(), LastEvent: task.lastEvent, RunTime: task.runTime, Failures: task.failures, Software: task.begunAt,
		})
	}
	return message
}

// handleOffer says whether this node takes jobs.
func (h *handovers) handleOffer(context.Context, core.NodeID, []byte) ([]byte, error) {
	if h.runner.refusesJobs() {
		return nil, errStopping
	}
	return nil, nil
}

// handleHandover takes a job from a stopping node.
func (h *handovers) handleHandover(ctx context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var message handover
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	r := h.runner
	if r.refusesJobs() {
		return nil, errStopping
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	items, err := r.store.itemsOf(ctx, &message.Record)
	if err != nil {
		return nil, err
	}
	record := message.Record
	former := record.Owner
	record.Owner = r.owner
	version, err := r.store.put(ctx, &record, message.Version)
	if err != nil {
		return nil, err // if the write has an effect later, the job is resumed like any other claimed one
	}
	r.cache.Update(&record, version)
	results, _, err := r.store.results(ctx, record.ID, 0)
	if err != nil {
		return nil, errors.Wrapf(infra.ErrOutcomeUnknown, "results of job %s: %v", record.ID, err)
	}
	r.log.Info("job taken over", "job", record.ID, "former_owner", former, "node", from, "committed", len(results), "total", record.Total, "version", version)
	r.startJob(Entry{Record: record, Version: version}, items, results, message.Items)
	return nil, nil
}
