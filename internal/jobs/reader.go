package jobs

import (
	"context"
	"errors"

	"gentiantide.example/gentiantide/internal/infra"
)

// maxPage bounds the text of one page of results.
const maxPage = 900 << 10

// Page is a run of results in the order of their positions.
type Page struct {
	Total   int
	Next    int
	Results []Result
}

// Reader answers questions about jobs at any node.
type Reader struct {
	store *store
	book  *Book
	cache *itemCache
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
		if size > maxPage && i > 0 {
			break
		}
		page.Results = append(page.Results, *result)
	}
	page.Next += len(page.Results)
	return page, nil
}

// loadText fetches a text that lies in an object.
func (r *Reader) loadText(ctx context.Context, result *Result) error {
	if result.Object == "" {
		return nil
	}
	data, err := r.store.objects.Get(ctx, result.Object)
	if err != nil {
		return errors.Join(infra.ErrUnavailable, err)
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
	items, ok := r.cache.get(entry.Object)
	if !ok {
		items, err = r.store.items(ctx, entry.Object)
		if err != nil {
			// The row refers to the object, so that it cannot be absent for good.
			return nil, errors.Join(infra.ErrUnavailable, err)
		}
		r.cache.put(entry.Object, items)
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, infra.ErrNotFound
}

// entry returns the job's row, from the copy or from the table.
func (r *Reader) entry(ctx context.Context, job string) (Entry, error) {
	if entry, ok := r.book.Get(job); ok {
		return entry, nil
	}
	entry, err := r.store.job(ctx, job)
	if err == nil {
		r.book.Learn(&entry.Record, entry.Version)
	}
	return entry, err
}

// Cancel ends a job. What is listed stays listed. Errors: infra.ErrNotFound,
// infra.ErrUnavailable, infra.ErrUnknown.
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
			if entry, err = r.cancelOnce(ctx, entry); err == nil {
				return nil
			}
		}
		if errors.Is(err, infra.ErrConflict) {
			entry, err = r.store.job(ctx, job)
			continue
		}
		if !retryable(err) || !pause(ctx, retryPause) {
			return err
		}
		entry, err = r.store.job(ctx, job)
	}
}

func (r *Reader) cancelOnce(ctx context.Context, entry Entry) (Entry, error) {
	record := entry.Record
	record.State = StateCancelled
	version, err := r.store.put(ctx, &record, entry.Version)
	if err == nil {
		r.book.Learn(&record, version)
	}
	return entry, err
}
