package jobs

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/routetable"
)

// SubmitOutcome is the outcome of a submission.
type SubmitOutcome string

const (
	// SubmitAccepted means that the job is stored and will be executed.
	SubmitAccepted SubmitOutcome = "accepted"
	// SubmitQueueFull means that the job would exceed the route's limit on queued
	// tokens. None of its items will run.
	SubmitQueueFull SubmitOutcome = "full"
	// SubmitUnavailable means that the store is unavailable. None of the job's
	// items will run.
	SubmitUnavailable SubmitOutcome = "away"
	// SubmitForeign means that the ID is that of a job that the caller may not see.
	SubmitForeign SubmitOutcome = "foreign"
	// SubmitUnknown means that the job may or may not have been stored.
	SubmitUnknown SubmitOutcome = "unknown"
)

// queueLimitFraction is the fraction of the limit on queued tokens up to which
// this node accepts jobs. The margin allows for jobs that other nodes accepted
// in the last few milliseconds and that this node does not know yet.
const queueLimitFraction = 0.97

const (
	// catchUpFraction is the fraction of the limit on queued tokens above which the jobs
	// that other nodes have accepted are read before a job is. Below it, what they may
	// have accepted within half a second does not fill the limit.
	catchUpFraction = 0.5
	// catchUpTimeout bounds that read, which takes a few ms.
	catchUpTimeout = 500 * time.Millisecond
)

// Intake accepts submitted jobs and stores them.
type Intake struct {
	store *store
	cache *JobCache
	clock func() (time.Duration, bool)
	owner string
	// configVersion returns the version of the configuration that this node has.
	configVersion func() int64
	log           *slog.Logger
	// waitingOf returns the waiting tokens of those open jobs for which they are known now,
	// in place of all their tokens. If nil, they are known for none.
	waitingOf func(ctx context.Context, open []Entry) map[string]int64
	// catchUp makes the cache hold all jobs that the store knows of now. It may be nil.
	catchUp func(ctx context.Context) error
	// onAccepted is called with each accepted job that this node is to execute.
	onAccepted func(Entry, []Item)

	mu sync.Mutex
	// pending are the tokens of submissions that this node is storing, by organisation.
	pending map[core.Org]int64
	serial  uint64
}

// Submit stores a job. Submitting a known job again returns SubmitAccepted. If the
// store refuses a write, it is retried for at most retryFor. If a write gets no
// answer, it is retried until its outcome is known or ctx ends.
func (in *Intake) Submit(ctx context.Context, sub *Submission, route *routetable.Route, retryFor time.Duration) SubmitOutcome {
	deadline := time.Now().Add(retryFor)
	if entry, known := in.cache.Get(sub.ID); known {
		return in.known(sub, &entry.Record)
	}
	tokens := sub.Tokens()
	if err := in.prepareCount(ctx, sub, route, tokens); err != nil {
		in.log.Info("job refused", "job", sub.ID, "organisation", sub.Access.Org, "reason", "the jobs that other nodes have accepted cannot be read", "error", err)
		return SubmitUnavailable
	}
	if !in.reserve(sub, route, tokens, nil) && !in.reserveExactly(ctx, sub, route, tokens) {
		return in.rejectFull(ctx, sub, route)
	}
	defer in.release(sub.Access.Org, tokens)
	record, err := in.storeItems(ctx, sub, route, deadline)
	if err != nil {
		in.log.Warn("job items not stored", "job", sub.ID, "error", err)
		return SubmitUnavailable
	}
	return in.insert(ctx, sub, record, deadline)
}

// prepareCount reads the jobs that other nodes have just accepted, if those known so far
// and the submitted one take a good part of the limit of the organisation.
func (in *Intake) prepareCount(ctx context.Context, sub *Submission, route *routetable.Route, tokens int64) error {
	if !sub.Access.Limited || route.MaxQueuedTokens <= 0 || in.catchUp == nil {
		return nil
	}
	for _, e := range in.openJobs(sub, route) {
		tokens += e.Tokens
	}
	if float64(tokens) <= float64(route.MaxQueuedTokens)*catchUpFraction {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return in.catchUp(ctx)
}

// reserve counts the tokens as pending if they fit the route's limit, which applies to
// each organisation, or to all callers together if the configuration names none. A job
// counts with its tokens that still wait, or with all if that is not known.
func (in *Intake) reserve(sub *Submission, route *routetable.Route, tokens int64, waitingOf map[string]int64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if route.MaxQueuedTokens > 0 {
		waiting := int64(0)
		for _, e := range in.openJobs(sub, route) {
			if rest, known := waitingOf[e.ID]; known {
				waiting += rest
			} else {
				waiting += e.Tokens
			}
		}
		if waiting+in.pending[sub.Access.Org]+tokens > int64(float64(route.MaxQueuedTokens)*queueLimitFraction) {
			return false
		}
	}
	if in.pending == nil {
		in.pending = make(map[core.Org]int64)
	}
	in.pending[sub.Access.Org] += tokens
	return true
}

// openJobs returns the open jobs that count for the limit of a submission.
func (in *Intake) openJobs(sub *Submission, route *routetable.Route) []Entry {
	return in.cache.Select(func(e *Entry) bool {
		return e.State == StateOpen && e.Host == route.Host && (!sub.Access.Limited || e.Org == sub.Access.Org)
	})
}

// reserveExactly is reserve by what the owners of the open jobs say of them. It is used if
// the configuration names organisations.
func (in *Intake) reserveExactly(ctx context.Context, sub *Submission, route *routetable.Route, tokens int64) bool {
	if !sub.Access.Limited || in.waitingOf == nil {
		return false
	}
	return in.reserve(sub, route, tokens, in.waitingOf(ctx, in.openJobs(sub, route)))
}

func (in *Intake) release(org core.Org, tokens int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.pending[org] -= tokens; in.pending[org] == 0 {
		delete(in.pending, org)
	}
}

// rejectFull rejects a job that exceeds the limit, unless the job is already
// stored because another node accepted it before.
func (in *Intake) rejectFull(ctx context.Context, sub *Submission, route *routetable.Route) SubmitOutcome {
	entry, err := in.store.job(ctx, sub.ID)
	switch {
	case err == nil:
		in.cache.Update(&entry.Record, entry.Version)
		return in.known(sub, &entry.Record)
	case errors.Is(err, infra.ErrNotFound):
		in.log.Info("job refused", "job", sub.ID, "organisation", sub.Access.Org, "reason", "limit on queued tokens exceeded", "tokens", sub.Tokens(), "bound", route.MaxQueuedTokens)
		return SubmitQueueFull
	default:
		in.log.Info("job refused", "job", sub.ID, "reason", "limit on queued tokens may be exceeded and the store is unavailable", "error", err)
		return SubmitUnavailable
	}
}

// storeItems writes the object that holds the items and returns the record for
// the job row. A lost answer is harmless because no row refers to the object
// yet.
func (in *Intake) storeItems(ctx context.Context, sub *Submission, route *routetable.Route, deadline time.Time) (*Record, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	now, ok := in.clock()
	if !ok {
		return nil, errors.New("store clock is not known yet")
	}
	data, err := msgpack.Marshal(sub.Items)
	if err != nil {
		return nil, err
	}
	record := &Record{
		ID: sub.ID, Host: sub.Host, Org: sub.Access.Org, Path: sub.Path, State: StateOpen, Owner: in.owner,
		Object: in.objectName(sub.ID), Config: in.configVersion(), Total: len(sub.Items), Tokens: sub.Tokens(),
		Accepted: now, Due: now + route.DueAfter, AbandonAt: now + route.AbandonAfter,
	}
	for {
		err = in.store.objects.Put(ctx, record.Object, data)
		if err == nil || !retryable(err) || !sleep(ctx, retryDelay) {
			return record, err
		}
	}
}

// insert writes the job row and retries with the same row until the outcome is
// known, because a rejected submission guarantees that the job never runs.
func (in *Intake) insert(ctx context.Context, sub *Submission, record *Record, deadline time.Time) SubmitOutcome {
	unknown := false
	for {
		version, err := in.store.put(ctx, record, 0)
		var conflict *infra.RowConflict
		switch {
		case err == nil:
			in.jobAccepted(record, version, sub.Items)
			return SubmitAccepted
		case errors.As(err, &conflict):
			return in.resolveConflict(conflict, sub, record)
		}
		unknown = unknown || !errors.Is(err, infra.ErrUnavailable)
		expired := !unknown && time.Now().After(deadline)
		if expired || !retryable(err) || !sleep(ctx, retryDelay) {
			in.log.Warn("job not stored", "job", record.ID, "error", err, "outcome_unknown", unknown)
			if unknown {
				return SubmitUnknown
			}
			return SubmitUnavailable
		}
	}
}

// resolveConflict accepts a job whose row already exists, whether this node or
// another one wrote it.
func (in *Intake) resolveConflict(conflict *infra.RowConflict, sub *Submission, record *Record) SubmitOutcome {
	row, ok := conflict.Find(jobKey(record.ID))
	if !ok {
		return SubmitUnknown
	}
	entry, err := decodeEntry(&row)
	if err != nil {
		in.log.Error("job row is malformed", "job", record.ID, "error", err)
		return SubmitUnknown
	}
	if entry.Object == record.Object { // an earlier write by this node whose answer was lost
		in.jobAccepted(&entry.Record, entry.Version, sub.Items)
		return SubmitAccepted
	}
	in.cache.Update(&entry.Record, entry.Version)
	return in.known(sub, &entry.Record)
}

// known returns the outcome of a submission whose ID is that of a stored job.
func (in *Intake) known(sub *Submission, record *Record) SubmitOutcome {
	if sub.Access.allows(record) {
		return SubmitAccepted
	}
	in.log.Info("job refused", "job", sub.ID, "organisation", sub.Access.Org, "reason", "another organisation has a job with this ID")
	return SubmitForeign
}

// jobAccepted caches the job row and calls onAccepted if this node is the owner
// of the open job.
func (in *Intake) jobAccepted(record *Record, version uint64, items []Item) {
	in.cache.Update(record, version)
	in.log.Info("job accepted", "job", record.ID, "items", record.Total, "tokens", record.Tokens, "version", version)
	if record.State == StateOpen && record.Owner == in.owner {
		in.onAccepted(Entry{Record: *record, Version: version}, items)
	}
}

// objectName returns an object name that is unique to the submission.
func (in *Intake) objectName(job string) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.serial++
	return objectName(job, in.owner, in.serial)
}
