package jobs

import (
	"context"
	"errors"
	"fmt"

	"gentiantide.example/gentiantide/internal/infra"
)

// maxPageBytes bounds the total text of one page of results.
const maxPageBytes = 900 << 10

// Page is a sequence of results in the order of their positions. Next is the
// position at which the next page starts.
type Page struct {
	Total   int
	Next    int
	Results []Result
}

// Reader serves read and cancel requests for jobs. It works on any node.
type Reader struct {
	store    *store
	cache    *JobCache
	jobItems *itemCache
	// access is what the caller may see. The zero value is that of operators, who see all.
	access Access
}

// Results returns the results from a position on. Errors: infra.ErrNotFound,
// infra.ErrUnavailable.
func (r *Reader) Results(ctx context.Context, job string, from int) (Page, error) {
	entry, err := r.entry(ctx, job)
	if err != nil {
		return Page{}, err
	}
	page := Page{Total: entry.Total, Next: from}
	results, _, err := r.store.results(ctx, job, from)
	if err != nil {
		return Page{}, err
	}
	size := 0
	for i := range results {
		result := &results[i]
		if err := r.loadText(ctx, result); err != nil {
			return Page{}, err
		}
		size += len(result.Text)
		if size > maxPageBytes && i > 0 {
			break
		}
		page.Results = append(page.Results, *result)
	}
	page.Next += len(page.Results)
	return page, nil
}

// loadText loads the text of a result that is stored in an object.
func (r *Reader) loadText(ctx context.Context, result *Result) error {
	if result.Object == "" {
		return nil
	}
	data, err := r.store.objects.Get(ctx, result.Object)
	if err != nil {
		return errors.Join(infra.ErrUnavailable, err)
	}
	if len(data) <= maxInlineText { // a text of this length is kept in its row
		return fmt.Errorf("%w: object %q holds %d bytes, which are no text", infra.ErrUnavailable, result.Object, len(data))
	}
	result.Text = string(data)
	return nil
}

// ItemBody returns the body of an item. Errors: infra.ErrNotFound,
// infra.ErrUnavailable.
func (r *Reader) ItemBody(ctx context.Context, job, item string) ([]byte, error) {
	entry, err := r.entry(ctx, job)
	if err != nil {
		return nil, err
	}
	items, ok := r.jobItems.get(entry.Object)
	if !ok {
		items, err = r.store.itemsOf(ctx, &entry.Record)
		if err != nil {
			// The row refers to the object, so the object exists even if the store
			// does not return it now.
			return nil, errors.Join(infra.ErrUnavailable, err)
		}
		r.jobItems.put(entry.Object, items)
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, infra.ErrNotFound
}

// Cancel cancels a job. Results that are already listed stay listed. A job that
// is not open is left as it is. Errors: infra.ErrNotFound,
// infra.ErrUnavailable, infra.ErrOutcomeUnknown.
func (r *Reader) Cancel(ctx context.Context, job string) error {
	entry, err := r.entry(ctx, job)
	for {
		if err != nil && !retryable(err) {
			return err
		}
		if err == nil && entry.State != StateOpen {
			return nil
		}
		if err == nil {
			if entry, err = r.tryCancel(ctx, entry); err == nil {
				return nil
			}
		}
		if errors.Is(err, infra.ErrConflict) {
			entry, err = r.stored(ctx, job)
			continue
		}
		if !retryable(err) || !sleep(ctx, retryDelay) {
			return err
		}
		entry, err = r.stored(ctx, job)
	}
}

// tryCancel makes one attempt to write the cancelled state. It returns the entry
// unchanged.
func (r *Reader) tryCancel(ctx context.Context, entry Entry) (Entry, error) {
	record := entry.Record
	record.State = StateCancelled
	version, err := r.store.put(ctx, &record, entry.Version)
	if err == nil {
		r.cache.Update(&record, version)
	}
	return entry, err
}
