package settings

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// editTries bounds how often a change is begun again because another
	// change took the head in between, or because the read was old.
	editTries = 20
	editPause = 20 * time.Millisecond
	// editTimeout bounds a change as a whole, read-back of a lost answer
	// included. It is independent of the operator's connection.
	editTimeout = 15 * time.Second
)

// Result is the answer to a change.
type Result struct {
	// Version is the node's and the tree's version after the change; for a dry
	// run it is the version that the change would get.
	Version uint64   `json:"version"`
	DryRun  bool     `json:"dry_run,omitempty"`
	Effects []Effect `json:"effects"`
}

// Apply writes a change. When it returns, the change is accepted and in force
// at this node, or refused: CodeConflict (with the current version),
// CodeInvalidRequest, CodeNotFound, or CodeStoreUnavailable, whose Execution
// says whether the change may have been accepted.
func (m *Manager) Apply(ctx context.Context, c Change) (Result, *core.Refusal) {
	select {
	case m.editing <- struct{}{}:
		defer func() { <-m.editing }()
	case <-ctx.Done():
		return Result{}, core.Refuse(core.CodeStoreUnavailable, "the change was given up while others were written")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), editTimeout)
	defer cancel()
	for try := range editTries {
		if try > 0 && !sleep(ctx, time.Duration(rand.Int64N(int64(editPause)*int64(try))+1)) {
			break
		}
		result, refusal, done := m.tryApply(ctx, c)
		if done {
			return result, refusal
		}
	}
	return Result{}, core.Refuse(core.CodeStoreUnavailable, "other changes kept coming first, or the table service answered with old rows; nothing was changed")
}

// tryApply makes one attempt; done is false if it must begin again.
func (m *Manager) tryApply(ctx context.Context, c Change) (_ Result, _ *core.Refusal, done bool) {
	base, headRow, refusal, done := m.freshTree(ctx, c)
	if !done || refusal != nil {
		return Result{}, refusal, done
	}
	next, refusal := base.Apply(c)
	if refusal != nil {
		return Result{}, refusal, true
	}
	nodeVersion, nodeRow, err := m.store.node(ctx, c.Path)
	if err != nil {
		return Result{}, unavailable(err), true
	}
	if nodeVersion != c.BaseVersion {
		return Result{}, nil, false
	}
	entry := m.entry(c, base, next)
	result, err := m.store.commit(ctx, entry, headRow, nodeRow)
	switch result {
	case outcomeAccepted:
		m.install(next, []Entry{entry})
		m.announce(entry)
		m.logger.Info("settings changed", "path", c.Path, "version", entry.Version, "author", c.Author, "change", entry.ChangeID)
		return Result{Version: entry.Version, Effects: Effects(base, next)}, nil, true
	case outcomeConflict:
		return Result{}, nil, false
	case outcomeUnavailable:
		return Result{}, unavailable(err), true
	default:
		return Result{}, core.Fail(core.CodeStoreUnavailable, fmt.Sprintf(
			"the table service did not confirm the change (change id %s, version %d); it may be in force now or later: read the history before sending it again", entry.ChangeID, entry.Version)), true
	}
}

// freshTree reads the tree at the table's head. done is false if the read was
// older than what is known and must be repeated.
func (m *Manager) freshTree(ctx context.Context, c Change) (_ *Tree, headRow uint64, _ *core.Refusal, done bool) {
	base, headRow, err := m.refresh(ctx)
	switch {
	case err != nil && isPlatformError(err):
		return nil, 0, unavailable(err), true
	case err != nil:
		return nil, 0, nil, false
	case c.BaseVersion > base.version:
		return nil, 0, nil, false
	}
	return base, headRow, nil, true
}

func (m *Manager) entry(c Change, base, next *Tree) Entry {
	e := Entry{
		Version: next.version, Path: c.Path, BaseVersion: c.BaseVersion, Set: c.Set, Unset: c.Unset, Deleted: c.Delete,
		Author: c.Author, Time: time.Now().UTC(), ChangeID: m.newID(), Sum: next.sum,
	}
	if n, ok := next.nodes[c.Path]; ok {
		e.Values = n.Values
	}
	return e
}

// DryRun returns what a change would do. The tree is read from the table
// service if that answers.
func (m *Manager) DryRun(ctx context.Context, c Change) (Result, *core.Refusal) {
	if _, _, err := m.refresh(ctx); err != nil {
		m.logger.Info("dry run on settings that are not confirmed", "error", err)
	}
	base, _ := m.state()
	next, refusal := base.Apply(c)
	if refusal != nil {
		return Result{}, refusal
	}
	return Result{Version: next.version, DryRun: true, Effects: Effects(base, next)}, nil
}

// Explain describes the node at a path.
func (m *Manager) Explain(ctx context.Context, path string) (Explanation, *core.Refusal) {
	if _, err := PathKind(path); err != nil {
		return Explanation{}, core.Refuse(core.CodeInvalidRequest, err.Error())
	}
	_, _, err := m.refresh(ctx)
	tree, loaded := m.state()
	if err != nil && !loaded {
		return Explanation{}, unavailable(err)
	}
	out := tree.Explain(path)
	out.Confirmed = err == nil
	return out, nil
}

func unavailable(err error) *core.Refusal {
	return core.Refuse(core.CodeStoreUnavailable, "the settings cannot be changed or confirmed now: "+err.Error())
}
