package settings

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// applyAttempts bounds how often a change is tried when another change is
	// written in between or the table service returns an old row.
	applyAttempts = 20
	// applyRetryDelay times the number of failed attempts is the upper bound of
	// the random delay before the next attempt.
	applyRetryDelay = 20 * time.Millisecond
	// applyTimeout bounds the whole change, including the read-back after a lost
	// response. It applies even if the operator's connection closes.
	applyTimeout = 15 * time.Second
)

// Result describes an accepted change or a dry run.
type Result struct {
	// Version is the version of the node and the tree after the change; for a
	// dry run it is the version that the change would get.
	Version uint64   `json:"version"`
	DryRun  bool     `json:"dry_run,omitempty"`
	Effects []Effect `json:"effects"`
}

// Apply writes a change. When it returns without a refusal, the change is
// committed and in force at this node. Otherwise the refusal has CodeConflict
// (naming the current version), CodeInvalidRequest, CodeNotFound, or
// CodeStoreUnavailable, whose Execution tells whether the change may have been
// committed.
func (m *Manager) Apply(ctx context.Context, c Change) (Result, *core.Refusal) {
	select {
	case m.applySlot <- struct{}{}:
		defer func() { <-m.applySlot }()
	case <-ctx.Done():
		return Result{}, core.Refuse(core.CodeStoreUnavailable, "the request ended while the change waited for other changes; nothing was changed")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), applyTimeout)
	defer cancel()
	for attempt := range applyAttempts {
		if attempt > 0 && !sleep(ctx, time.Duration(rand.Int64N(int64(applyRetryDelay)*int64(attempt))+1)) {
			break
		}
		result, refusal, done := m.tryApply(ctx, c)
		if done {
			return result, refusal
		}
	}
	return Result{}, core.Refuse(core.CodeStoreUnavailable, "too many concurrent changes, or the table service returned old rows; nothing was changed")
}

// tryApply makes one attempt to write a change. done is false if the change
// must be tried again.
func (m *Manager) tryApply(ctx context.Context, c Change) (_ Result, _ *core.Refusal, done bool) {
	base, headRowVersion, refusal, done := m.confirmedTree(ctx, c)
	if !done || refusal != nil {
		return Result{}, refusal, done
	}
	next, refusal := base.Apply(c)
	if refusal != nil {
		return Result{}, refusal, true
	}
	nodeVersion, nodeRowVersion, err := m.store.node(ctx, c.Path)
	if err != nil {
		return Result{}, storeUnavailable(err), true
	}
	if nodeVersion != c.BaseVersion {
		return Result{}, nil, false
	}
	logEntry := m.logEntry(c, base, next)
	result, err := m.store.commit(ctx, logEntry, headRowVersion, nodeRowVersion)
	switch result {
	case outcomeAccepted:
		m.install(next, []Entry{logEntry})
		m.announce(logEntry)
		m.logger.Info("settings changed", "path", c.Path, "version", logEntry.Version, "author", c.Author, "change", logEntry.ChangeID)
		return Result{Version: logEntry.Version, Effects: Effects(base, next)}, nil, true
	case outcomeConflict:
		return Result{}, nil, false
	case outcomeUnavailable:
		return Result{}, storeUnavailable(err), true
	default:
		return Result{}, core.Fail(core.CodeStoreUnavailable, fmt.Sprintf(
			"the table service did not confirm the change (change ID %s, version %d); it may take effect now or later: check the history before sending it again", logEntry.ChangeID, logEntry.Version)), true
	}
}

// confirmedTree returns the tree at the version of the head row and the row's
// version. done is false if the table service returned older data than this
// node or the change already knows; the read must then be repeated.
func (m *Manager) confirmedTree(ctx context.Context, c Change) (_ *Tree, headRowVersion uint64, _ *core.Refusal, done bool) {
	base, headRowVersion, err := m.refresh(ctx)
	switch {
	case err != nil && isTransient(err):
		return nil, 0, storeUnavailable(err), true
	case err != nil:
		return nil, 0, nil, false
	case c.BaseVersion > base.version:
		return nil, 0, nil, false
	}
	return base, headRowVersion, nil, true
}

// logEntry returns the log entry of a change that turns base into next.
func (m *Manager) logEntry(c Change, base, next *Tree) Entry {
	e := Entry{
		Version: next.version, Path: c.Path, BaseVersion: c.BaseVersion, Set: c.Set, Unset: c.Unset, Deleted: c.Delete,
		Author: c.Author, Time: time.Now().UTC(), ChangeID: m.newID(), Sum: next.sum,
	}
	if n, ok := next.nodes[c.Path]; ok {
		e.Values = n.Values
	}
	return e
}

// DryRun returns the effects of a change without writing it. It uses the current
// tree of the table service if that can be read, and this node's tree otherwise.
func (m *Manager) DryRun(ctx context.Context, c Change) (Result, *core.Refusal) {
	if _, _, err := m.refresh(ctx); err != nil {
		m.logger.Info("dry run uses local settings: the table service did not confirm the current version", "error", err)
	}
	base, _ := m.state()
	next, refusal := base.Apply(c)
	if refusal != nil {
		return Result{}, refusal
	}
	return Result{Version: next.version, DryRun: true, Effects: Effects(base, next)}, nil
}

// Explain returns the node at a path with its own and its effective values. It
// refuses an invalid path with CodeInvalidRequest, and returns
// CodeStoreUnavailable if no settings were loaded yet and none can be read.
func (m *Manager) Explain(ctx context.Context, path string) (Explanation, *core.Refusal) {
	if _, err := PathKind(path); err != nil {
		return Explanation{}, core.Refuse(core.CodeInvalidRequest, err.Error())
	}
	_, _, err := m.refresh(ctx)
	tree, loaded := m.state()
	if err != nil && !loaded {
		return Explanation{}, storeUnavailable(err)
	}
	out := tree.Explain(path)
	out.Confirmed = err == nil
	return out, nil
}

// storeUnavailable returns the refusal of an operation for which a call to the
// table service failed. The operation was not run.
func storeUnavailable(err error) *core.Refusal {
	return core.Refuse(core.CodeStoreUnavailable, "settings cannot be read or changed at present: "+err.Error())
}
