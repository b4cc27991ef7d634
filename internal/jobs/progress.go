package jobs

import (
	"cmp"
	"context"
	"slices"
)

// Progress is a job with the number of its results by state.
type Progress struct {
	Entry
	Succeeded   int
	DeadLetters int
}

// Progress returns a job and the number of its results by state. Errors:
// infra.ErrNotFound, infra.ErrUnavailable.
func (r *Reader) Progress(ctx context.Context, job string) (Progress, error) {
	entry, err := r.entry(ctx, job)
	if err != nil {
		return Progress{}, err
	}
	results, _, err := r.store.results(ctx, job, 0)
	if err != nil {
		return Progress{}, err
	}
	p := Progress{Entry: entry}
	for i := range results {
		if results[i].State == ItemSucceeded {
			p.Succeeded++
		} else {
			p.DeadLetters++
		}
	}
	return p, nil
}

// Recent returns up to limit of the jobs in this node's cache, the newest first.
// If after is the ID of a cached job, the list starts behind that job. more
// reports whether further jobs follow.
func (r *Reader) Recent(limit int, after string) (found []Entry, more bool) {
	all := r.cache.Select(func(*Entry) bool { return true })
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Accepted, a.Accepted), cmp.Compare(a.ID, b.ID))
	})
	if i := slices.IndexFunc(all, func(e Entry) bool { return e.ID == after }); i >= 0 {
		all = all[i+1:]
	}
	return all[:min(limit, len(all))], len(all) > limit
}
