package jobs

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/routes"
)

// Verdict is the answer to a submission.
type Verdict string

const (
	// VerdictAccepted means that the job is stored and will be executed.
	VerdictAccepted Verdict = "accepted"
	// VerdictFull means that the job's tokens do not fit. Nothing of it runs.
	VerdictFull Verdict = "full"
	// VerdictAway means that the store is away. Nothing of the job runs.
	VerdictAway Verdict = "away"
	// VerdictUnknown means that the job may or may not have been stored.
	VerdictUnknown Verdict = "unknown"
)

// quotaShare is the part of the token bound up to which this node accepts. Its
// view of other nodes' jobs is some ms old.
const quotaShare = 0.97

// Intake accepts jobs.
type Intake struct {
	store *store
	book  *Book
	clock func() (time.Duration, bool)
	owner string
	log   *slog.Logger
	// accepted is told of jobs that this node is to execute.
	accepted func(Entry, []Item)

	mu      sync.Mutex
	pending int64 // tokens of submissions that are being stored here
	serial  uint64
}

// Submit stores a job. A job that is known is accepted again. A store that
// refuses is tried for at most the patience; ctx bounds how long the outcome of
// a write without an answer is sought.
func (in *Intake) Submit(ctx context.Context, sub *Submission, route *routes.Route, patience time.Duration) Verdict {
	until := time.Now().Add(patience)
	if _, known := in.book.Get(sub.ID); known {
		return VerdictAccepted
	}
	tokens := sub.Tokens()
	if !in.reserve(route, tokens) {
		return in.full(ctx, sub, route)
	}
	defer in.release(tokens)
	record, err := in.storeItems(ctx, sub, route, until)
	if err != nil {
		in.log.Warn("job items not stored", "job", sub.ID, "error", err)
		return VerdictAway
	}
	return in.insert(ctx, record, sub.Items, until)
}

// reserve counts the tokens if they fit.
func (in *Intake) reserve(route *routes.Route, tokens int64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if route.MaxQueuedTokens > 0 {
		waiting := in.book.OpenTokens(func(e *Entry) bool { return e.Host == route.Host })
		if waiting+in.pending+tokens > int64(float64(route.MaxQueuedTokens)*quotaShare) {
			return false
		}
	}
	in.pending += tokens
	return true
}

func (in *Intake) release(tokens int64) {
	in.mu.Lock()
	in.pending -= tokens
	in.mu.Unlock()
}

// full refuses a job that does not fit, unless another node accepted it before.
func (in *Intake) full(ctx context.Context, sub *Submission, route *routes.Route) Verdict {
	entry, err := in.store.job(ctx, sub.ID)
	switch {
	case err == nil:
		in.book.Learn(&entry.Record, entry.Version)
		return VerdictAccepted
	case errors.Is(err, infra.ErrNotFound):
		in.log.Info("job refused", "job", sub.ID, "reason", "tokens do not fit", "tokens", sub.Tokens(), "bound", route.MaxQueuedTokens)
		return VerdictFull
	default:
		in.log.Info("job refused", "job", sub.ID, "reason", "tokens may not fit and the store is away", "error", err)
		return VerdictAway
	}
}

// storeItems writes the object with the items. A lost answer is harmless, as
// nothing refers to the object yet.
func (in *Intake) storeItems(ctx context.Context, sub *Submission, route *routes.Route, until time.Time) (*Record, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	now, ok := in.clock()
	if !ok {
		return nil, errors.New("the store's clock is not known yet")
	}
	data, err := msgpack.Marshal(sub.Items)
	if err != nil {
		return nil, err
	}
	record := &Record{
		ID: sub.ID, Host: sub.Host, Path: sub.Path, State: StateOpen, Owner: in.owner,
		Object: in.objectName(sub.ID), Total: len(sub.Items), Tokens: sub.Tokens(),
		Accepted: now, Due: now + route.Due, GiveUp: now + route.GiveUp,
	}
	for {
		err = in.store.objects.Put(ctx, record.Object, data)
		if err == nil || !retryable(err) || !pause(ctx, retryPause) {
			return record, err
		}
	}
}

// insert writes the job's row. The same row is written until its outcome is
// known: a refusal promises that the job never runs.
func (in *Intake) insert(ctx context.Context, record *Record, items []Item, until time.Time) Verdict {
	unknown := false
	for {
		version, err := in.store.put(ctx, record, 0)
		var conflict *infra.RowConflict
		switch {
		case err == nil:
			in.own(record, version, items)
			return VerdictAccepted
		case errors.As(err, &conflict):
			return in.exists(conflict, record, items)
		}
		unknown = unknown || !errors.Is(err, infra.ErrUnavailable)
		expired := !unknown && time.Now().After(until)
		if expired || !retryable(err) || !pause(ctx, retryPause) {
			in.log.Warn("job not stored", "job", record.ID, "error", err, "outcome_unknown", unknown)
			if unknown {
				return VerdictUnknown
			}
			return VerdictAway
		}
	}
}

// exists accepts a job whose row is there, written by this or another node.
func (in *Intake) exists(conflict *infra.RowConflict, record *Record, items []Item) Verdict {
	row, ok := conflict.Find(jobKey(record.ID))
	if !ok {
		return VerdictUnknown
	}
	entry, err := decodeEntry(&row)
	if err != nil {
		in.log.Error("job row cannot be read", "job", record.ID, "error", err)
		return VerdictUnknown
	}
	if entry.Object == record.Object { // a write of ours whose answer was lost
		in.own(&entry.Record, entry.Version, items)
		return VerdictAccepted
	}
	in.book.Learn(&entry.Record, entry.Version)
	return VerdictAccepted
}

func (in *Intake) own(record *Record, version uint64, items []Item) {
	in.book.Learn(record, version)
	in.log.Info("job accepted", "job", record.ID, "items", record.Total, "tokens", record.Tokens, "version", version)
	if record.State == StateOpen && record.Owner == in.owner {
		in.accepted(Entry{Record: *record, Version: version}, items)
	}
}

// objectName returns a name that no other submission uses.
func (in *Intake) objectName(job string) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.serial++
	return objectName(job, in.owner, in.serial)
}
